//! Tests of one replica and of small groups, step by step.

use std::time::{Duration, Instant};

use zinniastall_coord::election::Timing;
use zinniastall_coord::log::Payload;
use zinniastall_coord::replica::{Replica, Restored};

fn timing() -> Timing {
    Timing::new(Duration::from_millis(50), Duration::from_millis(500))
}

#[test]
fn a_founder_alone_commits_what_it_is_given() {
    let mut now = Instant::now();
    let restored = Restored::founding([7; 16], 1, "127.0.0.1:1");
    let mut replica = Replica::builder(1, timing())
        .restored(restored)
        .build(now)
        .unwrap();
    let mut applied = Vec::new();
    let mut proposed = None;
    for _ in 0..40 {
        now += Duration::from_millis(50);
        replica.tick(now);
        if proposed.is_none() {
            proposed = replica.propose(b"one".to_vec(), now).ok();
        }
        while let Some(ready) = replica.ready() {
            applied.extend(ready.committed);
            replica.synced(ready.batch, now);
        }
    }
    let (term, index) = proposed.unwrap();
    let found = applied.iter().find(|entry| entry.index == index).unwrap();
    assert_eq!(
        (found.term, &found.payload),
        (term, &Payload::Command(b"one".to_vec()))
    );
    assert!(replica.lease(now).is_some());
}
