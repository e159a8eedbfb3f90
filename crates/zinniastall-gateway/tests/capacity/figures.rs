//! Pace and gaps of targets.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use zinniastall_gateway::decide::capacity::{
    Capacity, FACTOR_RANGE, FIGURE_TTL, Figures, Observed, PACE_RANGE, Run,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(target: &str, incarnation: u64) -> Run<'_> {
    Run {
        target,
        service: "s",
        incarnation,
    }
}

/// Records answers of prompts of several lengths that take `pace` times as long as expected.
fn answers(capacity: &mut Capacity, target: &str, pace: f64, from: Instant) -> Instant {
    let mut now = from;
    for at in 0..60 {
        now += ms(50);
        answer(capacity, target, pace, at, now);
    }
    now
}

fn answer(capacity: &mut Capacity, target: &str, pace: f64, at: usize, now: Instant) {
    let expected = ms([20, 70, 200][at % 3]);
    let took = expected.mul_f64(pace) + ms(30);
    capacity.answer_began(run(target, 1), expected, took, now);
}

#[test]
fn a_slow_target_is_told_from_its_service() {
    let mut capacity = Capacity::default();
    let mut now = Instant::now();
    for at in 0..80 {
        now += ms(50);
        for (target, pace) in [("a", 1.0), ("b", 1.0), ("c", 1.0), ("slow", 4.0)] {
            answer(&mut capacity, target, pace, at, now);
        }
    }
    let slow = capacity.figures(run("slow", 1), now);
    let usual = capacity.figures(run("b", 1), now);
    assert!(slow.pace > usual.pace * 2.0, "{slow:?} {usual:?}");
    assert!(slow.slowness > 2.0, "{slow:?}");
}

/// Guards against a service that is faster than assumed and so gets more requests than its engines
/// have slots for: a trial with a higher assumed rate lost a fifth of its worth.
#[test]
fn a_fast_service_admits_no_more() {
    let mut capacity = Capacity::default();
    let now = answers(&mut capacity, "a", 0.5, Instant::now());
    let figures = capacity.figures(run("a", 1), now);
    assert!(figures.pace < 0.8, "{figures:?}");
    assert!(figures.wait_factor > 0.9, "{figures:?}");
}

/// A target that has started again, perhaps on another machine, begins without learned figures, and
/// late reports about its last run are not taken for it.
#[test]
fn a_restarted_target_begins_anew() {
    let mut capacity = Capacity::default();
    let mut now = answers(&mut capacity, "a", 4.0, Instant::now());
    for _ in 0..50 {
        now += ms(20);
        capacity.event(run("a", 1), ms(700), now);
    }
    assert!(capacity.figures(run("a", 1), now).high_gap > ms(600));
    assert_eq!(capacity.figures(run("a", 2), now).high_gap, Duration::ZERO);
    capacity.event(run("a", 2), ms(50), now);
    let late = Observed {
        gap: 0.7,
        events: 50,
        ..Observed::default()
    };
    capacity.merge(run("a", 2), late, now + ms(300));
    let figures = capacity.figures(run("a", 2), now + ms(400));
    assert_eq!(figures.high_gap, Duration::ZERO);
    capacity.event(run("a", 1), ms(700), now + ms(500));
    let figures = capacity.figures(run("a", 2), now + ms(600));
    assert!(figures.gap < ms(100), "an event of the last run counts");
}

/// Guards against a gap that keeps streams away for good: without streams there is no new evidence.
#[test]
fn a_stalled_target_gets_streams_again() {
    let mut capacity = Capacity::default();
    let mut now = Instant::now();
    for _ in 0..50 {
        now += ms(20);
        capacity.event(run("a", 1), ms(900), now);
    }
    assert!(capacity.figures(run("a", 1), now).high_gap > ms(800));
    let figures = capacity.figures(run("a", 1), now + ms(2_600));
    assert_eq!(
        (figures.gap, figures.high_gap),
        (Duration::ZERO, Duration::ZERO)
    );
}

/// After a start or a total power loss nothing is known, and all targets count as nominal.
#[test]
fn nothing_is_assumed_without_answers() {
    let figures = Capacity::default().figures(run("a", 1), Instant::now());
    assert_eq!(figures, Figures::default());
}

proptest! {
    /// An estimate stays within its range whatever is observed, and without answers it returns to
    /// the nominal one.
    #[test]
    fn figures_stay_in_range_and_return(
        observed in prop::collection::vec((0..4usize, 0..5_000u64, 0..20_000u64, 0..800u64, any::<bool>()), 1..200),
    ) {
        let mut capacity = Capacity::default();
        let mut now = Instant::now();
        let names = ["a", "b", "c", "d"];
        for (at, expected, took, step, is_report) in observed {
            now += ms(step);
            let run = run(names[at], 1);
            capacity.answer_began(run, ms(expected), ms(took), now);
            capacity.event(run, ms(took), now);
            if is_report {
                let report = Observed { pace: 9.0, answers: 1_000, gap: 60.0, events: 1_000 };
                capacity.merge(run, report, now);
            }
            for name in names {
                let figures = capacity.figures(Run { target: name, ..run }, now);
                let limits = (PACE_RANGE.0 * FACTOR_RANGE.0, PACE_RANGE.1 * FACTOR_RANGE.1);
                prop_assert!((limits.0..=limits.1).contains(&figures.pace), "{:?}", figures);
                prop_assert!(figures.wait_factor >= FACTOR_RANGE.0);
                prop_assert!(figures.slowness.is_finite() && figures.slowness >= 0.0);
                prop_assert!(figures.high_gap <= Duration::from_secs(10));
            }
        }
        now += FIGURE_TTL;
        for name in names {
            let figures = capacity.figures(run(name, 1), now);
            let figures = Figures { age: None, ..figures };
            prop_assert_eq!(figures, Figures::default());
        }
    }
}
