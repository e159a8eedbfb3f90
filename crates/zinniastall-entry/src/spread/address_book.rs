//! Address book: peers and seeds that may be dialed, and when.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::Peer;

/// Delay after the first failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// How long a peer is kept that is neither linked nor mentioned by any live peer.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of peers.
const MAX_PEERS: usize = 4096;
/// How long the instance with the higher name waits for the one with the lower name to dial first.
const TIE_BREAK_DELAY: Duration = Duration::from_millis(1_200);

/// A known peer.
#[derive(Debug)]
struct Entry {
    peer: Peer,
    /// Whether the peer itself sent this. Data from other peers may only be used to dial it.
    confirmed: bool,
    last_mentioned: Instant,
    retry: Retry,
}

/// When an address is dialed next.
#[derive(Debug, Clone, Copy)]
struct Retry {
    at: Instant,
    backoff: Duration,
}

impl Retry {
    const fn new(at: Instant) -> Self {
        Self {
            at,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Schedules the next attempt. The delay is jittered because all instances would otherwise dial
    /// at the same moment after a partition heals.
    fn record_attempt(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(0.5..1.5);
        self.at = now + self.backoff.mul_f64(jitter);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

impl Seed {
    const fn new(at: Instant) -> Self {
        Self {
            retry: Retry::new(at),
            place: None,
        }
    }
}

/// Peers and seeds known to an instance.
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
    /// Place of the instance that last answered at the address.
    place: Option<Place>,
}

impl Book {
    /// Creates an address book that contains only the configured seeds.
    pub fn new(own: id::Instance, seeds: impl Iterator<Item = String>, now: Instant) -> Self {
        Self {
            own,
            entries: IndexMap::new(),
            seeds: seeds.map(|seed| (seed, Seed::new(now))).collect(),
        }
    }

    /// Records what a peer says about itself. Returns the former owner of its address, if another
    /// peer was known there.
    pub fn confirm(&mut self, peer: Peer, now: Instant) -> Option<id::Instance> {
        let former = self.address_holder(&peer);
        if let Some(former) = &former {
            self.entries.swap_remove(former);
        }
        let entry = Entry {
            peer,
            confirmed: true,
            last_mentioned: now,
            retry: Retry::new(now),
        };
        self.entries.insert(entry.peer.instance.clone(), entry);
        former
    }

    /// Records what one peer says about another. This is good enough to dial it, and nothing else.
    pub fn report(&mut self, peer: Peer, now: Instant) {
        if peer.instance == self.own {
            return;
        }
        let known = self.entries.get_mut(&peer.instance);
        if let Some(entry) = known
            && entry.peer.incarnation >= peer.incarnation
        {
            entry.last_mentioned = now;
            return;
        }
        if self.entries.len() == MAX_PEERS && !self.entries.contains_key(&peer.instance) {
            return;
        }
        let entry = Entry {
            retry: Retry::new(self.first_attempt(&peer.instance, now)),
            confirmed: false,
            last_mentioned: now,
            peer,
        };
        self.entries.insert(entry.peer.instance.clone(), entry);
    }

    /// Returns what a peer has said about itself, so that its heartbeats can update it.
    pub fn confirmed(&mut self, instance: &str) -> Option<&mut Peer> {
        let entry = self
            .entries
            .get_mut(instance)
            .filter(|entry| entry.confirmed)?;
        Some(&mut entry.peer)
    }

    /// Records that a peer is linked. It is then kept, and dialed at once if the link breaks.
    pub fn mark_linked(&mut self, instance: &str, now: Instant) {
        let retry = Retry::new(self.first_attempt(instance, now));
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.last_mentioned = now;
            entry.retry = retry;
        }
    }

    /// Removes a peer, such as one whose address now belongs to another instance.
    pub fn remove(&mut self, instance: &str) {
        self.entries.swap_remove(instance);
    }

    /// Returns the peer last known at an address.
    pub fn find_by_address(&self, address: &str) -> Option<&id::Instance> {
        let mut entries = self.entries.values();
        let entry = entries.find(|entry| entry.peer.links == address)?;
        Some(&entry.peer.instance)
    }

    /// Removes a seed, because its address is this instance's own.
    pub fn remove_seed(&mut self, address: &str) {
        self.seeds.shift_remove(address);
    }

    /// Records the place of the instance that answers at a seed's address.
    pub fn set_seed_place(&mut self, address: &str, place: &Place) {
        if let Some(seed) = self.seeds.get_mut(address) {
            seed.place = Some(place.clone());
        }
    }

    /// Removes peers that are neither linked nor still mentioned by others.
    pub fn sweep(&mut self, linked: impl Fn(&str) -> bool, now: Instant) {
        self.entries.retain(|instance, entry| {
            linked(instance) || now.saturating_duration_since(entry.last_mentioned) <= RETENTION
        });
    }

    /// Returns the addresses of peers to dial now and records the attempts. `wanted` selects the
    /// peers that need a link and have none.
    pub fn due(&mut self, wanted: impl Fn(&Peer) -> bool, now: Instant) -> Vec<String> {
        let mut due = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.retry.at <= now && wanted(&entry.peer) {
                entry.retry.record_attempt(now);
                due.push(entry.peer.links.clone());
            }
        }
        due
    }

    /// Returns the seeds to dial now and records the attempts. `is_known` selects the zones whose
    /// seeds need not be dialed, because enough is known about them.
    pub fn due_seeds(&mut self, is_known: impl Fn(&Place) -> bool, now: Instant) -> Vec<String> {
        let mut due = Vec::new();
        for (address, seed) in &mut self.seeds {
            let has_entry = self
                .entries
                .values()
                .any(|entry| entry.peer.links == *address);
            let zone_known = seed.place.as_ref().is_some_and(&is_known);
            if !has_entry && !zone_known && seed.retry.at <= now {
                seed.retry.record_attempt(now);
                due.push(address.clone());
            }
        }
        due
    }

    fn first_attempt(&self, instance: &str, now: Instant) -> Instant {
        if self.own.as_str() < instance {
            now
        } else {
            now + TIE_BREAK_DELAY
        }
    }

    /// Returns another peer that is known under the same link address.
    fn address_holder(&self, peer: &Peer) -> Option<id::Instance> {
        let holds =
            |entry: &&Entry| entry.peer.links == peer.links && entry.peer.instance != peer.instance;
        let holder = self.entries.values().find(holds)?;
        Some(holder.peer.instance.clone())
    }
}
