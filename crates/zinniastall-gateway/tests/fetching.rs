//! Which control replica is asked for the configuration, and when another one is.

use std::time::{Duration, Instant};

use zinniastall_gateway::fetching::{Fetching, PATIENCE};

/// Guards against links filled by several copies of one large routing table.
#[test]
fn one_replica_is_asked_at_a_time() {
    let (mut fetch, now) = (Fetching::default(), Instant::now());
    assert_eq!(fetch.ask("a", now), Ok(()));
    for other in ["b", "c", "d"] {
        assert_eq!(fetch.ask(other, now), Err(now + PATIENCE));
    }
}

/// Guards against a configuration that never arrives because the nearest replica hangs.
#[test]
fn a_silent_replica_is_replaced_by_another() {
    let (mut fetch, now) = (Fetching::default(), Instant::now());
    assert_eq!(fetch.ask("a", now), Ok(()));
    let later = now + PATIENCE;
    assert_eq!(fetch.ask("a", later), Err(now + PATIENCE * 2));
    assert_eq!(fetch.ask("b", later), Ok(()));
    assert_eq!(fetch.ask("a", later), Err(later + PATIENCE));
}

#[test]
fn the_only_replica_is_asked_again() {
    let (mut fetch, now) = (Fetching::default(), Instant::now());
    assert_eq!(fetch.ask("a", now), Ok(()));
    assert_eq!(fetch.ask("a", now + PATIENCE * 2), Ok(()));
}

#[test]
fn a_lost_link_frees_the_fetch_at_once() {
    let (mut fetch, now) = (Fetching::default(), Instant::now());
    assert_eq!(fetch.ask("a", now), Ok(()));
    assert!(!fetch.lose("b"));
    assert!(fetch.lose("a"));
    assert_eq!(fetch.ask("b", now + Duration::from_millis(1)), Ok(()));
}

#[test]
fn the_next_configuration_is_fetched_at_once() {
    let (mut fetch, now) = (Fetching::default(), Instant::now());
    assert_eq!(fetch.ask("a", now), Ok(()));
    fetch.finish();
    assert_eq!(fetch.ask("b", now), Ok(()));
}
