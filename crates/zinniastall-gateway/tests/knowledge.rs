//! How the reports of several replicas are merged: late, duplicate and contradictory ones.

use std::time::{Duration, Instant};

use zinniastall_gateway::cluster_state::State as ClusterState;
use zinniastall_model::{
    place::Place,
    presence::Presence,
    routing::{Service, Table},
    target::{Report, State},
};
use zinniastall_wire::hub::{Configuration, Instances};

fn state() -> ClusterState {
    ClusterState::new("edge-1".to_owned(), Place::new("patras", "patras-a"))
}

fn report(target: &str, incarnation: u64, sequence: u64, state: State) -> Report {
    Report {
        target: target.to_owned(),
        incarnation,
        sequence,
        service: "api".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        place: Place::new("patras", "patras-a"),
        version: Some("v1".to_owned()),
        slots: 4,
        state,
        cold_ms: 0,
        left_ms: None,
        age_ms: 0,
        run_age_ms: 0,
        sign_off: None,
    }
}

fn names(state: &mut ClusterState, now: Instant) -> Vec<String> {
    state.view(now).targets.by_name().keys().cloned().collect()
}

fn presence(name: &str, incarnation: u64, ready: bool) -> Presence {
    Presence {
        instance: name.to_owned(),
        incarnation,
        place: Place::new("patras", "patras-a"),
        callers: name.to_owned(),
        forward: String::new(),
        ready,
        checks_origins: true,
        capacity: 0,
        load: Vec::new(),
    }
}

fn whole_list(present: Vec<Presence>) -> Instances {
    Instances {
        whole: true,
        present,
        gone: Vec::new(),
    }
}

fn alive(known: &mut ClusterState, now: Instant) -> Vec<String> {
    let view = known.view(now);
    let mut names: Vec<String> = view.instances.by_name().keys().cloned().collect();
    names.sort();
    names
}

fn configuration(revision: u64, evacuated: &[&str]) -> Configuration {
    let mut service = Service::new("api");
    service.cold_ms = 3_000;
    Configuration {
        revision,
        table: Some(Table::new(revision, Vec::new(), vec![service])),
        evacuated: evacuated.iter().map(|zone| (*zone).to_owned()).collect(),
        versions: None,
    }
}

/// A target drains, and an earlier heartbeat arrives later through another replica. If it were
/// believed, requests would go to a target that is about to end.
#[test]
fn a_late_heartbeat_brings_no_draining_target_back() {
    let (mut known, now) = (state(), Instant::now());
    known.apply_reports(vec![report("t", 5, 1, State::Ready)], now);
    known.apply_reports(vec![report("t", 5, 3, State::Draining)], now);
    known.apply_reports(vec![report("t", 5, 2, State::Ready)], now);
    assert!(names(&mut known, now).is_empty());
}

/// A target signs off while a heartbeat of the same run with a higher sequence number is on its
/// way.
#[test]
fn a_target_that_signed_off_stays_gone_in_its_run() {
    let (mut known, now) = (state(), Instant::now());
    known.apply_reports(vec![report("t", 5, 1, State::Ready)], now);
    known.apply_reports(vec![report("t", 5, 1, State::Gone)], now);
    known.apply_reports(vec![report("t", 5, 9, State::Ready)], now);
    assert!(names(&mut known, now).is_empty());
}

/// A target crashes behind a partition and restarts under its old name, with sequence numbers that
/// start over. Reports of its earlier run arrive when the partition heals.
#[test]
fn a_later_run_counts_its_reports_anew() {
    let (mut known, now) = (state(), Instant::now());
    known.apply_reports(vec![report("t", 5, 40, State::Draining)], now);
    known.apply_reports(vec![report("t", 6, 1, State::Ready)], now);
    assert_eq!(names(&mut known, now), ["t"]);
    known.apply_reports(vec![report("t", 5, 41, State::Gone)], now);
    assert_eq!(names(&mut known, now), ["t"]);
}

/// A new target runs at the address of one that crashed without signing off. Requests for the old
/// one would be sent there.
#[test]
fn a_new_target_at_an_address_ends_the_old_one() {
    let (mut known, now) = (state(), Instant::now());
    known.apply_reports(vec![report("old", 5, 7, State::Ready)], now);
    known.apply_reports(vec![report("new", 6, 1, State::Ready)], now);
    assert_eq!(names(&mut known, now), ["new"]);
    known.apply_reports(vec![report("old", 5, 8, State::Ready)], now);
    assert_eq!(
        names(&mut known, now),
        ["new"],
        "a late heartbeat of the old target"
    );
}

/// A zone is taken back after an evacuation. Its targets may have become cold meanwhile, so they
/// count as cold until they report otherwise, for at most the time of a cold start.
#[test]
fn targets_of_a_zone_that_was_taken_back_count_as_cold() {
    let (mut known, now) = (state(), Instant::now());
    known.apply_configuration(configuration(1, &["patras-a"]), now);
    known.apply_reports(vec![report("t", 5, 1, State::Ready)], now);
    known.apply_configuration(configuration(2, &[]), now);
    let cold =
        |known: &mut ClusterState, now| known.view(now).targets.by_name()["t"].cold_until.is_some();
    assert!(cold(&mut known, now));
    let later = now + Duration::from_millis(900);
    known.apply_reports(vec![report("t", 5, 2, State::Ready)], later);
    assert!(!cold(&mut known, later));
    assert!(!cold(&mut known, now + Duration::from_secs(4)));
}

/// A replica restarts. Its list of instances stays valid for the time that takes; after that, only
/// those of the others count.
#[test]
fn a_replicas_list_outlives_its_link_for_a_moment() {
    let (mut known, now) = (state(), Instant::now());
    known.subscribe("r1", now);
    known.subscribe("r2", now);
    known.apply_instances("r1", whole_list(vec![presence("a", 1, true)]));
    known.apply_instances("r2", whole_list(vec![presence("b", 1, true)]));
    known.unsubscribe("r1", now);
    assert_eq!(alive(&mut known, now), ["a", "b"]);
    let later = now + Duration::from_secs(4);
    assert_eq!(alive(&mut known, later), ["b"]);
    // With no replica left, it is this instance that is partitioned.
    known.unsubscribe("r2", now);
    assert_eq!(alive(&mut known, later), ["a", "b"]);
}

/// An instance drains, and one replica has not heard of it yet.
#[test]
fn a_replica_that_knows_of_a_drain_is_believed() {
    let (mut known, now) = (state(), Instant::now());
    known.subscribe("r1", now);
    known.subscribe("r2", now);
    known.apply_instances("r1", whole_list(vec![presence("a", 1, false)]));
    known.apply_instances("r2", whole_list(vec![presence("a", 1, true)]));
    assert!(!known.view(now).instances.by_name()["a"].ready);
    known.apply_instances("r2", whole_list(vec![presence("a", 2, true)]));
    assert!(
        known.view(now).instances.by_name()["a"].ready,
        "a later run"
    );
}

/// Silence alone takes no target out for a long time: the target may be partitioned from the
/// replicas only.
#[test]
fn silence_alone_takes_no_target_out() {
    let (mut known, now) = (state(), Instant::now());
    known.apply_reports(vec![report("t", 5, 1, State::Ready)], now);
    assert_eq!(names(&mut known, now + Duration::from_secs(15)), ["t"]);
    assert!(names(&mut known, now + Duration::from_secs(40)).is_empty());
}

/// Of hundreds of instances, one ends and one starts. A replica sends only that change, and all
/// other instances stay as they were.
#[test]
fn a_change_leaves_the_other_instances_as_they_were() {
    let (mut known, now) = (state(), Instant::now());
    let first = vec![presence("a", 1, true), presence("b", 1, true)];
    known.subscribe("r1", now);
    known.apply_instances("r1", whole_list(first));
    let change = Instances {
        whole: false,
        present: vec![presence("c", 1, true)],
        gone: vec!["a".to_owned()],
    };
    known.apply_instances("r1", change);
    assert_eq!(alive(&mut known, now), ["b", "c"]);
    // A whole list replaces everything before.
    known.apply_instances("r1", whole_list(vec![presence("d", 1, true)]));
    assert_eq!(alive(&mut known, now), ["d"]);
}

/// The instance turns to a nearer replica. Until that replica's list has arrived, the farther one's
/// stays valid: without it, callers would be directed to no instance for a moment.
#[test]
fn another_source_takes_over_without_a_gap() {
    let (mut known, now) = (state(), Instant::now());
    known.subscribe("far", now);
    known.apply_instances("far", whole_list(vec![presence("a", 1, true)]));
    known.unsubscribe("far", now);
    known.subscribe("near", now);
    assert_eq!(alive(&mut known, now), ["a"]);
    known.apply_instances("near", whole_list(vec![presence("b", 1, true)]));
    assert_eq!(alive(&mut known, now + Duration::from_secs(1)), ["a", "b"]);
    assert_eq!(alive(&mut known, now + Duration::from_secs(4)), ["b"]);
}

/// A farther replica's list is in transit when the instance turns to a nearer one. The farther
/// replica sends no changes from then on. If its last list were kept, an instance that was still
/// starting in it would never count as ready.
#[test]
fn a_list_that_comes_too_late_is_not_kept() {
    let (mut known, now) = (state(), Instant::now());
    known.subscribe("far", now);
    known.apply_instances("far", whole_list(vec![presence("a", 1, false)]));
    known.subscribe("near", now);
    known.unsubscribe("far", now);
    known.apply_instances("far", whole_list(vec![presence("a", 1, false)]));
    known.apply_instances("near", whole_list(vec![presence("a", 1, true)]));
    let later = now + Duration::from_secs(4);
    assert!(known.view(later).instances.by_name()["a"].ready);
}

/// Guards against lists from long ago that count again once no replica is linked: instances that were
/// starting at that time would count as not ready.
#[test]
fn a_list_from_long_ago_stays_forgotten_without_any_replica() {
    let start = Instant::now();
    let mut known = state();
    known.subscribe("far", start);
    known.apply_instances("far", whole_list(vec![presence("edge-2", 1, false)]));
    known.unsubscribe("far", start);
    known.subscribe("near", start);
    known.apply_instances("near", whole_list(vec![presence("edge-2", 1, true)]));
    let later = start + Duration::from_mins(1);
    known.unsubscribe("near", later);
    for now in [later, later + Duration::from_mins(1)] {
        let view = known.view(now);
        let is_ready = view
            .instances
            .by_name()
            .get("edge-2")
            .map(|held| held.ready);
        assert_eq!(
            is_ready,
            Some(true),
            "it was ready when the last replica was lost"
        );
    }
}

/// Guards against an instance that forgets the table by which others still send on requests, or keeps it
/// for good.
#[test]
fn a_replaced_table_is_known_for_a_time() {
    let (mut known, now) = (state(), Instant::now());
    let mut evacuated = configuration(1, &["patras-a"]);
    evacuated.revision = 2;
    known.apply_configuration(configuration(1, &[]), now);
    known.apply_configuration(evacuated, now);
    let view = known.view(now);
    assert!(view.replaced.is_empty(), "the table is the same");
    known.apply_configuration(configuration(7, &[]), now);
    let view = known.view(now + Duration::from_secs(5));
    assert_eq!(view.replaced_table(1).map(|held| held.revision), Some(2));
    assert!(view.replaced_table(7).is_none(), "it is in force");
    let view = known.view(now + Duration::from_secs(7));
    assert!(view.replaced_table(1).is_none());
}
