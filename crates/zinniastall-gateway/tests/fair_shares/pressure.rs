//! When shares apply.

use std::time::{Duration, Instant};

use zinniastall_gateway::decide::{
    fair_share::{Draw, Known, Member, Members, Pressure, Shares, Unit},
    quota::{Key, Total, Totals, Usage, Usages},
};

const HOT: Key = 1;
const SMALL: Key = 2;

/// Counts requests of which every `interval`th is rejected for lack of room, over a span.
fn play(shares: &mut Shares, from: Instant, span: Duration, interval: u32) -> Instant {
    const STEP: Duration = Duration::from_millis(5);
    let steps = u32::try_from(span.as_millis() / STEP.as_millis()).expect("a short span");
    for step in 0..steps {
        let now = from + STEP * step;
        shares.record_request(now);
        if interval > 0 && step % interval == 0 {
            shares.record_rejection(now);
        }
    }
    from + span
}

fn totals() -> Totals {
    let total = |asked, used| Total {
        usage: Usage { asked, used },
        ..Total::default()
    };
    [(HOT, total(1_000, 100)), (SMALL, total(50, 50))].into()
}

fn members() -> Members {
    let member = Member {
        weight: 1,
        rate: 1_000_000,
    };
    [(HOT, member), (SMALL, member)].into()
}

fn update(shares: &mut Shares, now: Instant) -> Pressure {
    let pressure = shares.pressure(now);
    let known = Known {
        totals: &totals(),
        heard_at: now,
        own: &Usages::default(),
        pressure,
    };
    shares.update(Unit::Tokens, &members(), known);
    pressure
}

/// Returns how many of 100 requests are admitted, with draws that are spread evenly.
fn admitted(shares: &mut Shares, key: Key, now: Instant) -> usize {
    let draw = |at: u32| Draw {
        admission: f64::from(at) / 100.0,
        spread: f64::from(at) / 100.0,
    };
    let admitted = (0..100).filter(|at| shares.admit(Unit::Tokens, key, draw(*at), now).is_ok());
    admitted.count()
}

#[test]
fn shares_apply_while_room_is_lacking() {
    let mut shares = Shares::default();
    let now = play(&mut shares, Instant::now(), Duration::from_secs(1), 5);
    let pressure = update(&mut shares, now);
    assert!(
        pressure.rejected > 0.15 && pressure.strength >= 1.0,
        "{pressure:?}"
    );
    assert!(admitted(&mut shares, HOT, now) < 20);
    assert_eq!(admitted(&mut shares, SMALL, now), 100);
    // An account without totals takes no part.
    assert_eq!(admitted(&mut shares, 3, now), 100);
}

/// Guards against capacity that stays unused: where all requests find room, none is rejected for its
/// account's share.
#[test]
fn nothing_is_rejected_while_there_is_room() {
    let mut shares = Shares::default();
    for interval in [0, 50] {
        let now = play(
            &mut shares,
            Instant::now(),
            Duration::from_secs(1),
            interval,
        );
        update(&mut shares, now);
        assert_eq!(
            admitted(&mut shares, HOT, now),
            100,
            "every {interval}th is rejected"
        );
    }
}

/// Guards against shares that last after room has returned.
#[test]
fn shares_relax_within_a_second_of_room() {
    let mut shares = Shares::default();
    let now = play(&mut shares, Instant::now(), Duration::from_secs(1), 5);
    update(&mut shares, now);
    assert!(admitted(&mut shares, HOT, now) < 20);
    let now = play(&mut shares, now, Duration::from_millis(1_050), 0);
    update(&mut shares, now);
    assert_eq!(admitted(&mut shares, HOT, now), 100);
}

/// Guards against a level that vanishes while nearly all requests are rejected, so that accounts which
/// ask for little are cut as well.
#[test]
fn heavy_overload_leaves_half_of_what_was_served() {
    let mut shares = Shares::default();
    let now = play(&mut shares, Instant::now(), Duration::from_secs(1), 1);
    update(&mut shares, now);
    let share = shares.share(Unit::Tokens, HOT).expect("a share");
    assert!((24.0..=100.0).contains(&share.level), "{share:?}");
}

/// Guards against one rejection among few requests that counts as overload.
#[test]
fn few_requests_decide_nothing() {
    let mut shares = Shares::default();
    let now = Instant::now();
    for _ in 0..3 {
        shares.record_request(now);
    }
    shares.record_rejection(now);
    assert!(shares.pressure(now).strength <= 0.0);
}

/// Guards against callers that are rejected together and return together.
#[test]
fn retry_times_are_spread() {
    let mut shares = Shares::default();
    let now = play(&mut shares, Instant::now(), Duration::from_secs(1), 5);
    update(&mut shares, now);
    let after = |spread| {
        let draw = Draw {
            admission: 0.99,
            spread,
        };
        shares
            .admit(Unit::Tokens, HOT, draw, now)
            .unwrap_err()
            .retry_after
    };
    let [first, last] = [0.0, 1.0].map(after);
    assert!(first >= Duration::from_millis(250) && last <= Duration::from_secs(3));
    assert!(last >= first * 2, "{first:?} {last:?}");
}
