//! Which control replica is asked for the configuration, and when another one is.

use std::time::{Duration, Instant};

use zinniastall_gateway::config_fetch::{Fetch, TIMEOUT};

/// Guards against links filled by several copies of one large routing table.
#[test]
fn one_replica_is_asked_at_a_time() {
    let (mut fetch, now) = (Fetch::default(), Instant::now());
    assert_eq!(fetch.begin("a", now), Ok(()));
    for other in ["b", "c", "d"] {
        assert_eq!(fetch.begin(other, now), Err(now + TIMEOUT));
    }
}

/// Guards against a configuration that never arrives because the nearest replica hangs.
#[test]
fn a_silent_replica_is_replaced_by_another() {
    let (mut fetch, now) = (Fetch::default(), Instant::now());
    assert_eq!(fetch.begin("a", now), Ok(()));
    let later = now + TIMEOUT;
    assert_eq!(fetch.begin("a", later), Err(now + TIMEOUT * 2));
    assert_eq!(fetch.begin("b", later), Ok(()));
    assert_eq!(fetch.begin("a", later), Err(later + TIMEOUT));
}

#[test]
fn the_only_replica_is_asked_again() {
    let (mut fetch, now) = (Fetch::default(), Instant::now());
    assert_eq!(fetch.begin("a", now), Ok(()));
    assert_eq!(fetch.begin("a", now + TIMEOUT * 2), Ok(()));
}

#[test]
fn a_lost_link_frees_the_fetch_at_once() {
    let (mut fetch, now) = (Fetch::default(), Instant::now());
    assert_eq!(fetch.begin("a", now), Ok(()));
    assert!(!fetch.abandon("b"));
    assert!(fetch.abandon("a"));
    assert_eq!(fetch.begin("b", now + Duration::from_millis(1)), Ok(()));
}

#[test]
fn the_next_configuration_is_fetched_at_once() {
    let (mut fetch, now) = (Fetch::default(), Instant::now());
    assert_eq!(fetch.begin("a", now), Ok(()));
    fetch.finish();
    assert_eq!(fetch.begin("b", now), Ok(()));
}
