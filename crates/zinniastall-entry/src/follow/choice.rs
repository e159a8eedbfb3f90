//! Chooses the sources that an instance follows, in order of preference.
//!
//! Two instances of each zone act as relays and follow control; the other instances of the zone
//! follow the relays. Every instance computes the same relays from the same set of live peers, so
//! no agreement is needed, and when a relay is lost the next one in rank replaces it. While the
//! sets differ, there may be a few relays more or fewer, which costs no more than a link.

use indexmap::IndexMap;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::Peer;

/// Relays per zone.
const RELAYS_PER_ZONE: usize = 2;

/// A source of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// Link address of a control instance.
    Control(String),
    /// Link address of an entry instance.
    Entry(String),
}

impl Source {
    /// Returns the address to dial.
    pub fn address(&self) -> &str {
        match self {
            Self::Control(address) | Self::Entry(address) => address,
        }
    }

    /// Returns whether the source is a control instance.
    pub const fn is_control(&self) -> bool {
        matches!(self, Self::Control(_))
    }
}

/// Inputs of the choice.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// This instance.
    pub instance: &'a id::Instance,
    /// Place of this instance.
    pub place: &'a Place,
    /// Entry instances that are alive.
    pub peers: &'a IndexMap<id::Instance, Peer>,
    /// Link addresses of control instances.
    pub control: &'a [String],
}

impl Choice<'_> {
    /// Returns whether this instance is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.relays(self.place).contains(&self.instance.as_str())
    }

    /// Returns the sources to try, best first.
    ///
    /// If the best sources can't be reached, all others follow: relays of the own zone, then those
    /// of other zones. A zone that is cut off from control thus still receives what its neighbors
    /// have received.
    pub fn sources(&self) -> Vec<Source> {
        let near = self.entries(|place| place == self.place);
        let far = self.entries(|place| place != self.place);
        let control = self.control();
        if self.is_relay() {
            [control, near, far].concat()
        } else {
            [near, control, far].concat()
        }
    }

    /// Returns all control instances and all live entry instances.
    pub fn all(&self) -> Vec<Source> {
        let others = self
            .peers
            .values()
            .filter(|peer| peer.instance != *self.instance);
        let entries = others.map(|peer| Source::Entry(peer.links.clone()));
        self.control().into_iter().chain(entries).collect()
    }

    fn control(&self) -> Vec<Source> {
        let mut control = self.control.to_vec();
        // Each instance starts with a different control instance, so that the links are spread
        // evenly.
        control.sort_by_key(|address| rank(&[self.instance, address]));
        control.into_iter().map(Source::Control).collect()
    }

    fn entries(&self, wanted: impl Fn(&Place) -> bool) -> Vec<Source> {
        let mut places: Vec<&Place> = self.peers.values().map(|peer| &peer.place).collect();
        places.sort_unstable();
        places.dedup();
        let mut relays: Vec<&str> = places
            .into_iter()
            .filter(|place| wanted(place))
            .flat_map(|place| self.relays(place))
            .filter(|relay| relay != self.instance)
            .collect();
        relays.sort_by_key(|relay| rank(&[self.instance, relay]));
        let address = |relay: &str| Some(Source::Entry(self.peers.get(relay)?.links.clone()));
        relays.into_iter().filter_map(address).collect()
    }

    fn relays(&self, place: &Place) -> Vec<&str> {
        let mut zone: Vec<&str> = self
            .peers
            .values()
            .filter(|peer| peer.place == *place && !peer.draining)
            .map(|peer| peer.instance.as_str())
            .collect();
        if place == self.place && !zone.contains(&self.instance.as_str()) {
            zone.push(self.instance);
        }
        zone.sort_by_key(|instance| rank(&[&place.region, &place.zone, instance]));
        zone.truncate(RELAYS_PER_ZONE);
        zone
    }
}

/// Ranks by rendezvous hashing, which changes as little as possible when the set changes.
fn rank(parts: &[&str]) -> [u8; blake3::OUT_LEN] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().into()
}
