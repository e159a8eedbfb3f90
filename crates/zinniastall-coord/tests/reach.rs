//! Reachability: when a path is lost and back, who is believed, and how requests are routed.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use zinniastall_coord::reach::{
    Change, DARK_TIMEOUT, EVIDENCE_TTL, Paths, Probe, Route, State, VOUCHER_TTL, longest_age,
};

const TARGET: &str = "engine-1";
const NEIGHBOURS: [&str; 3] = ["edge-1", "edge-2", "edge-3"];

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns paths of which one is lost at a time.
fn lost(now: Instant) -> Paths {
    let mut paths = Paths::default();
    assert_eq!(paths.failed(TARGET, now), Change::Lost);
    paths
}

fn is_detour(route: &Route<'_>) -> bool {
    matches!(route, Route::Detour(_))
}

/// Guards against requests that pay for a path that is known to be lost.
#[test]
fn a_lost_path_is_not_used_until_a_probe_is_answered() {
    let start = Instant::now();
    let mut paths = lost(start);
    let now = start + millis(400);
    assert!(matches!(
        paths.route(TARGET, now, |_| true),
        Route::None { .. }
    ));
    paths.heard(TARGET, false, now);
    assert_eq!(
        paths.state(TARGET),
        State::Lost,
        "an old connection may live on"
    );
    assert_eq!(paths.start_probes(now), [TARGET]);
    assert!(paths.start_probes(now).is_empty(), "one probe at a time");
    assert_eq!(paths.probed(TARGET, Probe::Answered, now), Change::Back);
    assert_eq!(paths.route(TARGET, now, |_| true), Route::Direct);
}

/// Guards against a path that stays unused for long after it is back.
#[test]
fn a_lost_path_is_probed_at_least_every_second() {
    let start = Instant::now();
    let mut paths = lost(start);
    let (mut now, mut last) = (start, start);
    while now < start + Duration::from_secs(30) {
        now += millis(10);
        if !paths.start_probes(now).is_empty() {
            assert!(now - last <= millis(1_010), "{:?}", now - last);
            last = now;
            paths.probed(TARGET, Probe::Failed, now);
        }
    }
}

/// Guards against a target that pauses for a second and loses its requests, or is left alone.
#[test]
fn a_target_that_pauses_for_a_second_keeps_its_requests() {
    let start = Instant::now();
    let mut paths = Paths::default();
    paths.begin(TARGET, start);
    paths.heard(TARGET, true, start);
    for elapsed in (0..1_200).step_by(50).map(millis) {
        let now = start + elapsed;
        for target in paths.start_probes(now) {
            paths.probed(&target, Probe::Failed, now);
        }
        assert!(!paths.is_given_up(TARGET, now), "{elapsed:?}");
    }
    let now = start + millis(1_250);
    paths.heard(TARGET, false, now);
    let again = now + millis(1_000);
    for target in paths.start_probes(again) {
        paths.probed(&target, Probe::Answered, again);
    }
    assert_eq!(paths.route(TARGET, again, |_| true), Route::Direct);
}

/// Guards against probes of each target that prefills a prompt while others are heard.
#[test]
fn a_silent_target_is_not_probed_soon_while_others_are_heard() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for target in [TARGET, "engine-2"] {
        paths.begin(target, start);
        paths.heard(target, true, start);
    }
    let mut now = start;
    while now < start + millis(1_100) {
        paths.heard("engine-2", false, now);
        assert!(paths.start_probes(now).is_empty(), "{:?}", now - start);
        now += millis(50);
    }
    let deaf = now + millis(350);
    assert_eq!(paths.start_probes(deaf).len(), 2, "now nothing is heard");
}

/// Returns paths with a request at a target that was heard at the start, and whose probe has failed.
fn silent(start: Instant) -> Paths {
    let mut paths = Paths::default();
    paths.begin(TARGET, start);
    paths.heard(TARGET, true, start);
    assert_eq!(paths.start_probes(start + millis(400)), [TARGET]);
    paths.probed(TARGET, Probe::Failed, start + millis(520));
    paths
}

/// Guards against a request that is run again because a neighbour heard a target last that then paused
/// for everybody.
#[test]
fn a_neighbour_that_heard_a_pausing_target_last_proves_nothing() {
    let start = Instant::now();
    let mut paths = silent(start);
    let now = start + millis(522);
    // It was heard there 300 ms after it was heard here, and 100 ms before the probe.
    paths.vouch(TARGET, NEIGHBOURS[0], millis(222), now);
    assert!(!paths.is_given_up(TARGET, now));
}

/// Guards against a request that leaves its target in the moment in which that goes on after a pause.
#[test]
fn a_target_that_has_just_ended_its_pause_keeps_its_requests() {
    let start = Instant::now();
    let mut paths = silent(start);
    let now = start + millis(1_100);
    paths.vouch(TARGET, NEIGHBOURS[0], Duration::ZERO, now);
    assert!(!paths.is_given_up(TARGET, now), "no probe since");
    assert_eq!(paths.start_probes(now), [TARGET]);
    paths.probed(TARGET, Probe::Answered, now + millis(2));
    assert!(!paths.is_given_up(TARGET, now + millis(2)));
}

/// Guards against requests that wait for a target that others reach, or that nobody does.
#[test]
fn a_request_gives_up_a_lost_target_that_others_hear_or_nobody_does() {
    let start = Instant::now();
    let mut paths = silent(start);
    let now = start + millis(522);
    assert!(!paths.is_given_up(TARGET, now));
    // A neighbour heard it while the probe got no connection.
    paths.vouch(TARGET, NEIGHBOURS[0], millis(30), now);
    assert!(paths.is_given_up(TARGET, now));
    let mut dark = silent(start);
    let last = start + DARK_TIMEOUT;
    assert!(!dark.is_given_up(TARGET, start + millis(1_500)));
    assert!(dark.is_given_up(TARGET, last));
    dark.end(TARGET);
    assert!(!dark.is_given_up(TARGET, start + VOUCHER_TTL * 3));
    paths.end(TARGET);
    paths.probed(TARGET, Probe::Answered, now);
    assert!(!paths.is_given_up(TARGET, now + VOUCHER_TTL));
}

/// Guards against a cut that is not recognised where neighbours hear from a target only when they probe
/// it.
#[test]
fn a_neighbour_that_heard_a_target_between_two_failed_probes_contradicts() {
    let start = Instant::now();
    let mut paths = silent(start);
    let heard = start + millis(560);
    paths.vouch(TARGET, NEIGHBOURS[0], Duration::ZERO, heard);
    assert!(!paths.is_given_up(TARGET, heard));
    let next = start + millis(630);
    assert_eq!(paths.start_probes(next), [TARGET]);
    paths.probed(TARGET, Probe::Failed, next + millis(120));
    assert!(paths.is_given_up(TARGET, next + millis(120)));
}

/// Returns paths with requests at two targets that have said nothing since the start, nor to a probe.
fn mute(start: Instant) -> Paths {
    let mut paths = Paths::default();
    for target in [TARGET, "engine-2"] {
        paths.begin(target, start);
        paths.heard(target, true, start);
    }
    let probed = start + millis(400);
    assert_eq!(paths.start_probes(probed).len(), 2);
    for target in [TARGET, "engine-2"] {
        assert!(!paths.is_doubtful(target));
        paths.probed(target, Probe::Silent, start + millis(800));
    }
    paths
}

/// Guards against a region that is cut off as a whole and waits for its targets for as long as that lasts.
#[test]
fn targets_that_are_all_silent_are_doubtful_and_then_lost() {
    let start = Instant::now();
    let mut paths = mute(start);
    assert!(paths.is_doubtful(TARGET));
    let pausing = start + millis(1_500);
    assert!(paths.lose_dark(pausing).is_empty());
    assert!(!paths.is_given_up(TARGET, pausing));
    assert_eq!(paths.lose_dark(start + DARK_TIMEOUT).len(), 2);
    assert!(paths.is_given_up(TARGET, start + DARK_TIMEOUT));
    let back = start + DARK_TIMEOUT * 3;
    assert_eq!(paths.probed(TARGET, Probe::Answered, back), Change::Back);
    assert_eq!(paths.route(TARGET, back, |_| true), Route::Direct);
}

/// Guards against sending requests to the targets that are left, one after the other, where all that had
/// any are silent.
#[test]
fn targets_without_requests_are_as_doubtful_as_those_that_are_silent() {
    let start = Instant::now();
    let mut paths = mute(start);
    let now = start + millis(810);
    let known = || [TARGET, "engine-2", "idle"].into_iter();
    paths.doubt_unheard(known(), now);
    assert!(paths.is_doubtful("idle"));
    assert_eq!(paths.start_probes(now), ["idle"]);
    paths.probed("idle", Probe::Answered, now);
    for elapsed in (820..5_000).step_by(10).map(millis) {
        paths.doubt_unheard(known(), start + elapsed);
        assert!(!paths.is_doubtful("idle"), "after {elapsed:?}");
    }
    assert!(paths.lose_dark(start + DARK_TIMEOUT).is_empty());
}

/// Guards against a target that is never lost because the other one was first.
#[test]
fn a_silent_target_is_lost_after_the_other_one() {
    let start = Instant::now();
    let mut paths = mute(start);
    paths.end("engine-2");
    let dark = start + DARK_TIMEOUT;
    assert_eq!(paths.lose_dark(dark), [TARGET]);
    assert!(paths.is_doubtful("engine-2"));
    paths.begin("engine-2", dark);
    assert!(paths.lose_dark(dark + millis(1_599)).is_empty());
    assert_eq!(paths.lose_dark(dark + DARK_TIMEOUT), ["engine-2"]);
}

/// Guards against a pause of a second that counts as a cut, or costs requests that are at the target.
#[test]
fn targets_that_all_pause_for_a_second_keep_their_requests() {
    let start = Instant::now();
    let mut paths = mute(start);
    let end = start + Duration::from_secs(1);
    assert!(paths.lose_dark(end).is_empty());
    assert!(!paths.is_given_up(TARGET, end));
    paths.heard(TARGET, false, end);
    assert!(!paths.is_doubtful(TARGET));
    // The other one is still silent, but this instance is not cut off.
    assert!(paths.lose_dark(start + DARK_TIMEOUT).is_empty());
    assert!(paths.lose_dark(end + millis(399)).is_empty());
}

/// Guards against taking a cut for a crash because a neighbour, asked at once, answers with what it heard
/// too soon after.
#[test]
fn a_neighbour_that_probes_quickly_contradicts_a_crash() {
    for (question_interval, time) in [(15, 50), (40, 90)] {
        let start = Instant::now();
        let (mut asking, mut neighbour) = (lost(start), Paths::default());
        let mut is_contradicted = false;
        for elapsed in (0..=time).step_by(question_interval).map(millis) {
            let now = start + elapsed;
            let longest = longest_age(Some(start), now);
            if let Some(age) = neighbour.evidence(TARGET, longest, now) {
                asking.vouch(TARGET, NEIGHBOURS[0], age, now + millis(1));
            }
            if !neighbour.start_probes(now).is_empty() {
                neighbour.probed(TARGET, Probe::Answered, now + millis(2));
            }
            is_contradicted |= asking.is_alive_since(TARGET, Some(start), now + millis(1));
        }
        assert!(is_contradicted, "asked every {question_interval} ms");
    }
}

/// Guards against two instances that are both cut off and vouch for each other.
#[test]
fn instances_without_a_path_convince_nobody() {
    let start = Instant::now();
    let (mut one, mut other) = (lost(start), lost(start));
    one.vouch(TARGET, "edge-9", Duration::ZERO, start);
    for elapsed in (0..5_000).step_by(100).map(millis) {
        let now = start + elapsed;
        assert_eq!(one.evidence(TARGET, EVIDENCE_TTL, now), None);
        assert_eq!(other.evidence(TARGET, EVIDENCE_TTL, now), None);
    }
    let now = start + VOUCHER_TTL;
    assert!(!is_detour(&one.route(TARGET, now, |_| true)), "expired");
}

/// Guards against an instance that starts inside a partition and claims to reach what it never heard.
#[test]
fn an_instance_vouches_only_for_what_it_has_heard() {
    let start = Instant::now();
    let mut paths = Paths::default();
    assert_eq!(paths.evidence(TARGET, EVIDENCE_TTL, start), None);
    assert_eq!(paths.start_probes(start), [TARGET], "it is probed instead");
    paths.probed(TARGET, Probe::Answered, start);
    assert_eq!(
        paths.evidence(TARGET, EVIDENCE_TTL, start),
        Some(Duration::ZERO)
    );
    let late = start + EVIDENCE_TTL + millis(1);
    assert_eq!(paths.evidence(TARGET, EVIDENCE_TTL, late), None);
}

/// Guards against a partition that is discovered anew by a request at each target.
#[test]
fn a_failed_path_puts_unused_ones_under_suspicion() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for target in [TARGET, "engine-2", "engine-3"] {
        paths.begin(target, start);
        paths.heard(target, true, start);
        paths.end(target);
    }
    let now = start + millis(400);
    paths.heard("engine-3", false, now);
    paths.failed(TARGET, now);
    assert_eq!(paths.state("engine-2"), State::Suspect);
    assert_eq!(
        paths.state("engine-3"),
        State::Open,
        "it was heard just now"
    );
    assert_eq!(paths.route("engine-2", now, |_| true), Route::Direct);
    paths.vouch("engine-2", NEIGHBOURS[0], Duration::ZERO, now);
    assert!(is_detour(&paths.route("engine-2", now, |_| true)));
}

/// Guards against a neighbour that keeps getting requests although it can't be reached itself.
#[test]
fn a_neighbour_that_broke_its_word_is_left_out_for_a_while() {
    let start = Instant::now();
    let mut paths = lost(start);
    paths.vouch(TARGET, NEIGHBOURS[0], Duration::ZERO, start);
    paths.distrust(NEIGHBOURS[0], start);
    paths.vouch(TARGET, NEIGHBOURS[0], Duration::ZERO, start);
    assert!(!is_detour(&paths.route(TARGET, start, |_| true)));
    let later = start + VOUCHER_TTL;
    paths.vouch(TARGET, NEIGHBOURS[0], Duration::ZERO, later);
    assert!(is_detour(&paths.route(TARGET, later, |_| true)));
}

/// Something that happens to a path.
#[derive(Debug, Clone, Copy)]
enum Event {
    Begin,
    End,
    Heard(bool),
    Failed,
    Broke,
    Probed(usize),
    Vouch(usize, u64),
    Distrust(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Begin),
        Just(Event::End),
        any::<bool>().prop_map(Event::Heard),
        Just(Event::Failed),
        Just(Event::Broke),
        (0..4_usize).prop_map(Event::Probed),
        (0..3_usize, 0..2_000_u64).prop_map(|(at, age)| Event::Vouch(at, age)),
        (0..3_usize).prop_map(Event::Distrust),
    ]
}

fn apply(paths: &mut Paths, event: Event, now: Instant) {
    match event {
        Event::Begin => paths.begin(TARGET, now),
        Event::End => paths.end(TARGET),
        Event::Heard(is_new) => drop(paths.heard(TARGET, is_new, now)),
        Event::Failed => drop(paths.failed(TARGET, now)),
        Event::Broke => paths.broke(TARGET, now),
        Event::Probed(at) => {
            let results = [Probe::Answered, Probe::Opened, Probe::Silent, Probe::Failed];
            paths.start_probes(now);
            paths.probed(TARGET, results[at], now);
        }
        Event::Vouch(at, age) => paths.vouch(TARGET, NEIGHBOURS[at], millis(age), now),
        Event::Distrust(at) => paths.distrust(NEIGHBOURS[at], now),
    }
}

proptest! {
    /// Guards against a request that is handed on twice, or to a neighbour that may not get it.
    #[test]
    fn requests_are_handed_on_once_and_to_usable_neighbours(
        events in prop::collection::vec((event(), 0..500_u64), 0..60),
        usable in 0..3_usize,
    ) {
        let mut now = Instant::now();
        let mut paths = Paths::default();
        for (event, elapsed) in events {
            now += millis(elapsed);
            apply(&mut paths, event, now);
            prop_assert!(!is_detour(&paths.route(TARGET, now, |_| false)));
            let route = paths.route(TARGET, now, |name| name == NEIGHBOURS[usable]);
            if let Route::Detour(by) = &route {
                prop_assert_eq!(by, &vec![NEIGHBOURS[usable]]);
                prop_assert!(paths.state(TARGET) != State::Open);
            }
            if paths.state(TARGET) == State::Open {
                prop_assert_eq!(route, Route::Direct);
            }
            if paths.evidence(TARGET, EVIDENCE_TTL, now).is_some() {
                prop_assert_eq!(paths.state(TARGET), State::Open);
            }
        }
    }

    /// Guards against a path that stays lost, whatever happened before.
    #[test]
    fn every_path_is_open_soon_after_its_target_answers_again(
        events in prop::collection::vec((event(), 0..500_u64), 0..60),
    ) {
        let mut now = Instant::now();
        let mut paths = Paths::default();
        for (event, elapsed) in events {
            now += millis(elapsed);
            apply(&mut paths, event, now);
        }
        for _ in 0..40 {
            now += millis(50);
            for target in paths.start_probes(now) {
                paths.probed(&target, Probe::Answered, now);
            }
        }
        prop_assert_eq!(paths.state(TARGET), State::Open);
    }
}

/// Guards against a silent target that gets requests for as long as its silence lasts, because its path was
/// suspect for another reason before.
#[test]
fn a_target_that_falls_silent_behind_a_broken_connection_is_lost() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for target in [TARGET, "engine-2"] {
        paths.begin(target, start);
        paths.heard(target, true, start);
    }
    paths.broke("engine-2", start + millis(10));
    let (mut probes, mut lost) = (Vec::new(), Vec::new());
    for elapsed in (20..4_000).step_by(10).map(millis) {
        let now = start + elapsed;
        let due = paths.start_probes(now);
        probes.extend(due.into_iter().map(|target| (now + millis(400), target)));
        probes.retain(|(end, target)| {
            if *end <= now {
                paths.probed(target, Probe::Silent, now);
            }
            *end > now
        });
        lost.extend(paths.lose_dark(now));
    }
    lost.sort();
    assert_eq!(lost, [TARGET, "engine-2"]);
}
