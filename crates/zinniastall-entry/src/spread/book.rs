//! Address book: who may be dialled where, and when next.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::Peer;

/// First pause after a failed attempt.
const FIRST: Duration = Duration::from_millis(200);
/// Longest pause between attempts.
const LONGEST: Duration = Duration::from_secs(3);
/// How long a peer is kept that nobody who is alive has named and that isn't linked.
const KEPT: Duration = Duration::from_secs(30);
/// Most peers kept.
const PEERS: usize = 4096;
/// How long the higher name waits for the lower one's attempt.
const COURTESY: Duration = Duration::from_millis(1_200);

/// A peer and what is known of it.
#[derive(Debug)]
struct Entry {
    peer: Peer,
    /// Whether the peer itself said so; hearsay serves for dialling only.
    sworn: bool,
    named: Instant,
    retry: Retry,
}

/// When an address is tried next.
#[derive(Debug, Clone, Copy)]
struct Retry {
    at: Instant,
    pause: Duration,
}

impl Retry {
    const fn from(at: Instant) -> Self {
        Self { at, pause: FIRST }
    }

    /// Takes note of an attempt. The pause is jittered, since after a partition heals everybody
    /// would otherwise dial at the same moment.
    fn attempt(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(0.5..1.5);
        self.at = now + self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(LONGEST);
    }
}

impl Seed {
    const fn from(at: Instant) -> Self {
        Self {
            retry: Retry::from(at),
            place: None,
        }
    }
}

/// Peers and seeds of one instance.
#[derive(Debug)]
pub struct Book {
    own: id::Instance,
    entries: IndexMap<id::Instance, Entry>,
    seeds: IndexMap<String, Seed>,
}

/// An address from the settings.
#[derive(Debug)]
struct Seed {
    retry: Retry,
    /// Place of the instance that answered there last.
    place: Option<Place>,
}

impl Book {
    /// Creates a book with the seeds of the settings.
    pub fn new(own: id::Instance, seeds: impl Iterator<Item = String>, now: Instant) -> Self {
        Self {
            own,
            entries: IndexMap::new(),
            seeds: seeds.map(|seed| (seed, Seed::from(now))).collect(),
        }
    }

    /// Takes in what a peer says of itself. Returns a peer whose address it has taken over.
    pub fn swear(&mut self, peer: Peer, now: Instant) -> Option<id::Instance> {
        let former = self.holder(&peer);
        if let Some(former) = &former {
            self.entries.swap_remove(former);
        }
        let entry = Entry {
            peer,
            sworn: true,
            named: now,
            retry: Retry::from(now),
        };
        self.entries.insert(entry.peer.instance.clone(), entry);
        former
    }

    /// Takes in what one peer says of another: good for an attempt to dial it, no more.
    pub fn hearsay(&mut self, peer: Peer, now: Instant) {
        if peer.instance == self.own {
            return;
        }
        let known = self.entries.get_mut(&peer.instance);
        if let Some(entry) = known
            && entry.peer.incarnation >= peer.incarnation
        {
            entry.named = now;
            return;
        }
        if self.entries.len() == PEERS && !self.entries.contains_key(&peer.instance) {
            return;
        }
        let entry = Entry {
            retry: Retry::from(self.courtesy(&peer.instance, now)),
            sworn: false,
            named: now,
            peer,
        };
        self.entries.insert(entry.peer.instance.clone(), entry);
    }

    /// Returns what a peer has said of itself, to be brought up to date by its heartbeats.
    pub fn sworn(&mut self, instance: &str) -> Option<&mut Peer> {
        let entry = self.entries.get_mut(instance).filter(|entry| entry.sworn)?;
        Some(&mut entry.peer)
    }

    /// Notes that a peer is linked, so that it stays and is dialled at once when the link breaks.
    pub fn linked(&mut self, instance: &str, now: Instant) {
        let retry = Retry::from(self.courtesy(instance, now));
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.named = now;
            entry.retry = retry;
        }
    }

    /// Forgets a peer, such as one whose address answers under another name.
    pub fn forget(&mut self, instance: &str) {
        self.entries.swap_remove(instance);
    }

    /// Returns the peer that was last known at an address.
    pub fn at(&self, address: &str) -> Option<&id::Instance> {
        let mut entries = self.entries.values();
        let entry = entries.find(|entry| entry.peer.links == address)?;
        Some(&entry.peer.instance)
    }

    /// Stops dialling an address that turned out to be this instance's own.
    pub fn drop_seed(&mut self, address: &str) {
        self.seeds.shift_remove(address);
    }

    /// Notes where the instance runs that answers at a seed's address.
    pub fn place_seed(&mut self, address: &str, place: &Place) {
        if let Some(seed) = self.seeds.get_mut(address) {
            seed.place = Some(place.clone());
        }
    }

    /// Drops the peers that are neither linked nor named by anybody any more.
    pub fn sweep(&mut self, linked: impl Fn(&str) -> bool, now: Instant) {
        self.entries.retain(|instance, entry| {
            linked(instance) || now.saturating_duration_since(entry.named) <= KEPT
        });
    }

    /// Returns the addresses of peers to dial now and notes the attempts; `wanted` tells who is to
    /// be linked and isn't.
    pub fn due(&mut self, wanted: impl Fn(&Peer) -> bool, now: Instant) -> Vec<String> {
        let mut due = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.retry.at <= now && wanted(&entry.peer) {
                entry.retry.attempt(now);
                due.push(entry.peer.links.clone());
            }
        }
        due
    }

    /// Returns the seeds to dial now and notes the attempts; `heard` tells of which zones enough is
    /// known.
    pub fn due_seeds(&mut self, heard: impl Fn(&Place) -> bool, now: Instant) -> Vec<String> {
        let mut due = Vec::new();
        for (address, seed) in &mut self.seeds {
            let known = self
                .entries
                .values()
                .any(|entry| entry.peer.links == *address);
            let heard = seed.place.as_ref().is_some_and(&heard);
            if !known && !heard && seed.retry.at <= now {
                seed.retry.attempt(now);
                due.push(address.clone());
            }
        }
        due
    }

    fn courtesy(&self, instance: &str, now: Instant) -> Instant {
        if self.own.as_str() < instance {
            now
        } else {
            now + COURTESY
        }
    }

    /// Returns another peer that is known under the links' address of this one.
    fn holder(&self, peer: &Peer) -> Option<id::Instance> {
        let holds =
            |entry: &&Entry| entry.peer.links == peer.links && entry.peer.instance != peer.instance;
        let holder = self.entries.values().find(holds)?;
        Some(holder.peer.instance.clone())
    }
}
