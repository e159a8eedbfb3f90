//! Configuration distribution: which source an instance follows, and what it reports of its
//! followers.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_entry::follow::{
    choice::{Choice, Source},
    confirmations::Collector,
    storage::{self, Error, Snapshot},
};
use zinniastall_model::place::Place;
use zinniastall_wire::{follow::Confirmation, gossip::Peer};

fn peers(names: &[&str]) -> IndexMap<String, Peer> {
    let peer = |name: &&str| {
        let peer = Peer {
            instance: (*name).to_owned(),
            incarnation: 1,
            place: Place::new("patras", &name[..1]),
            links: format!("links-of-{name}"),
            callers: String::new(),
            targets: String::new(),
            up_ms: 1,
            draining: false,
            load: 0,
        };
        ((*name).to_owned(), peer)
    };
    names.iter().map(peer).collect()
}

fn sources(instance: &str, peers: &IndexMap<String, Peer>) -> (bool, Vec<Source>) {
    let (instance, place) = (instance.to_owned(), Place::new("patras", &instance[..1]));
    let choice = Choice {
        instance: &instance,
        place: &place,
        peers,
        control: &["control".to_owned()],
    };
    (choice.is_relay(), choice.sources())
}

fn relays<'a>(names: &[&'a str]) -> Vec<&'a str> {
    let peers = peers(names);
    let is_relay = |name: &&&str| sources(name, &peers).0;
    names.iter().filter(is_relay).copied().collect()
}

#[test]
fn each_zone_has_two_relays_and_the_others_follow_them() {
    let names = ["a1", "a2", "a3", "a4", "b1"];
    let peers = peers(&names);
    let relays = relays(&names);
    assert_eq!(relays.len(), 3, "{relays:?}");
    for name in names {
        let (is_relay, sources) = sources(name, &peers);
        assert_eq!(sources[0].is_control(), is_relay, "{name}: {sources:?}");
        assert!(sources.contains(&Source::Control("control".to_owned())));
        assert!(!sources.contains(&Source::Entry(format!("links-of-{name}"))));
    }
}

#[test]
fn a_lost_relay_is_replaced_by_one_instance() {
    let names = ["a1", "a2", "a3", "a4"];
    let before = relays(&names);
    let left: Vec<&str> = names
        .into_iter()
        .filter(|name| *name != before[0])
        .collect();
    let after = relays(&left);
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]), "{before:?} became {after:?}");
}

fn confirmation(instance: &str, revision: u64) -> Confirmation {
    Confirmation {
        instance: instance.to_owned(),
        incarnation: 1,
        revision,
        draining: false,
    }
}

/// A relay reports for its followers. It must stop reporting one that has died, or operators would
/// see that one as alive for as long as the relay lives.
#[test]
fn a_silent_follower_is_not_reported() {
    let now = Instant::now();
    let mut confirmations = Collector::default();
    confirmations.record(confirmation("a1", 3), now);
    assert_eq!(confirmations.take(now, true), [confirmation("a1", 3)]);
    assert_eq!(confirmations.take(now, false), []);
    confirmations.record(confirmation("a1", 4), now);
    confirmations.record(confirmation("a1", 2), now);
    assert_eq!(confirmations.take(now, false), [confirmation("a1", 4)]);
    let later = now + Duration::from_mins(1);
    assert_eq!(confirmations.take(later, true), []);
}

/// The disk returns other bytes than were written. A damaged configuration could permit what no
/// configuration ever permitted, so it must not be used.
#[test]
fn a_damaged_configuration_is_refused() -> Result<(), Error> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let held = Snapshot {
        cluster: "c".to_owned(),
        state: std::sync::Arc::default(),
    };
    assert_eq!(storage::load(folder.path())?, None);
    storage::save(folder.path(), &held)?;
    assert_eq!(storage::load(folder.path())?, Some(held));
    let file = folder.path().join("configuration");
    let whole = std::fs::read(&file).expect("the file");
    for at in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 1;
        std::fs::write(&file, &damaged).expect("a write");
        assert!(matches!(
            storage::load(folder.path()),
            Err(Error::Damaged { .. })
        ));
        std::fs::write(&file, &whole[..at]).expect("a write");
        assert!(matches!(
            storage::load(folder.path()),
            Err(Error::Damaged { .. })
        ));
    }
    Ok(())
}
