//! Rate limits: how many permits are issued in any span of time, and how knowledge of rates merges.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use zinniastall_coord::rate::{
    Change, Demand, Invalid, Issuer, Limit, Limits, MAX_PATIENCE, MIN_RATE, Named, PERMIT_TTL,
    Permits, Rate, Said, Slots, TAKEOVER_DELAY, Verdict,
};

const SERVER: &str = "engine-1";
/// Length of the spans in which permits are counted.
const SPAN: Duration = Duration::from_secs(4);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the largest number of times within any span.
fn most_in_span(times: &[Instant]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let within = |(at, first): (usize, &Instant)| {
        let later = times[at..].iter();
        later.take_while(|later| **later < *first + SPAN).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a count of permits"))
}

/// Returns how many requests a server may get in any span: what the rate gives, and two.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small"
)]
fn permitted(per_second: f64) -> usize {
    (per_second * SPAN.as_secs_f64() + 2.0).floor() as usize
}

/// Returns when permits are due that are demanded without a pause over a time.
fn issue(
    issuer: &mut Issuer,
    per_second: f64,
    patience: Duration,
    from: Instant,
    time: Duration,
) -> Vec<Instant> {
    let demand = Demand {
        rate: Rate::per_second(per_second),
        patience,
    };
    let mut due = Vec::new();
    let mut now = from;
    while now < from + time {
        if let Verdict::Granted { wait, .. } = issuer.acquire(SERVER, demand, now) {
            due.push(now + wait);
        }
        now += millis(1);
    }
    due
}

macro_rules! rates {
    ($($name:ident: $rate:expr;)*) => {$(
        /// Guards against more permits in a span than the rate gives, and against an idle server
        /// while requests wait for it.
        #[test]
        fn $name() {
            for patience in [Duration::ZERO, millis(200), MAX_PATIENCE] {
                let (mut issuer, start) = (Issuer::default(), Instant::now());
                let time = Duration::from_secs(40);
                let due = issue(&mut issuer, $rate, patience, start, time);
                let most = most_in_span(&due);
                assert!(most <= permitted($rate), "{most} at {} a second", $rate);
                let first = *due.first().unwrap();
                let used = as_f64(due.len()) / (start + time - first).as_secs_f64();
                assert!(used > 0.9 * $rate, "{used} of {}", $rate);
            }
        }
    )*};
}

rates! {
    three_requests_in_ten_seconds: 0.3;
    one_request_a_second: 1.0;
    seven_requests_a_second: 7.0;
    fifty_requests_a_second: 50.0;
    five_hundred_requests_a_second: 500.0;
}

/// Guards against a former coordinator's permits and a new one's that come together.
#[test]
fn a_coordinator_that_takes_over_stays_under_the_bound() {
    for rate in [0.3, 1.0, 2.6, 20.0, 500.0] {
        let start = Instant::now();
        let (mut former, mut next) = (Issuer::default(), Issuer::default());
        let moment = start + Duration::from_secs(10);
        let mut due = issue(
            &mut former,
            rate,
            MAX_PATIENCE,
            start,
            Duration::from_secs(10),
        );
        due.extend(issue(
            &mut next,
            rate,
            MAX_PATIENCE,
            moment,
            Duration::from_secs(10),
        ));
        let most = most_in_span(&due);
        assert!(most <= permitted(rate), "{most} at {rate} a second");
    }
}

/// Guards against two coordinators, of which each sees the other as gone for two seconds, that
/// together exceed one and a half times the rate and five requests.
#[test]
fn two_coordinators_for_two_seconds_stay_under_the_looser_bound() {
    for rate in [0.3_f64, 1.0, 2.6, 20.0, 500.0] {
        let start = Instant::now();
        let (mut former, mut next) = (Issuer::default(), Issuer::default());
        let moment = start + Duration::from_secs(10);
        let mut due = issue(
            &mut former,
            rate,
            MAX_PATIENCE,
            start,
            Duration::from_secs(12),
        );
        due.extend(issue(
            &mut next,
            rate,
            MAX_PATIENCE,
            moment,
            Duration::from_secs(10),
        ));
        let (most, looser) = (most_in_span(&due), rate * 4.0 * 1.5 + 5.0);
        assert!(as_f64(most) <= looser, "{most} at {rate} a second");
    }
}

/// Guards against an instance that comes back as coordinator with permits saved from before.
#[test]
fn a_coordinator_that_returns_starts_anew() {
    let (mut issuer, start) = (Issuer::default(), Instant::now());
    issue(
        &mut issuer,
        10.0,
        Duration::ZERO,
        start,
        Duration::from_secs(3),
    );
    let later = start + Duration::from_secs(5);
    issuer.retain(|_| false, later);
    let demand = Demand {
        rate: Rate::per_second(10.0),
        patience: Duration::ZERO,
    };
    let verdict = issuer.acquire(SERVER, demand, later);
    assert_eq!(
        verdict,
        Verdict::Denied {
            next: TAKEOVER_DELAY
        }
    );
}

/// Guards against a rate that is raised and stays out of use for as long as the old one's interval.
#[test]
fn a_raised_rate_counts_at_once() {
    let (mut issuer, start) = (Issuer::default(), Instant::now());
    issue(
        &mut issuer,
        0.3,
        Duration::ZERO,
        start,
        Duration::from_secs(8),
    );
    let due = issue(
        &mut issuer,
        100.0,
        Duration::ZERO,
        start + Duration::from_secs(8),
        Duration::from_secs(1),
    );
    assert!(due.len() > 80, "{}", due.len());
}

/// A demand is denied at once if its permit would come later than it can wait.
#[test]
fn demands_beyond_the_patience_are_denied_with_the_true_time() {
    let (mut issuer, start) = (Issuer::default(), Instant::now());
    issue(
        &mut issuer,
        2.0,
        Duration::ZERO,
        start,
        Duration::from_secs(3),
    );
    let mut now = start + Duration::from_secs(3);
    let demand = Demand {
        rate: Rate::per_second(2.0),
        patience: Duration::ZERO,
    };
    let next = loop {
        match issuer.acquire(SERVER, demand, now) {
            Verdict::Granted { next, .. } => break next,
            Verdict::Denied { next } => now += next,
        }
    };
    let denied = issuer.acquire(SERVER, demand, now);
    assert_eq!(denied, Verdict::Denied { next });
    let granted = issuer.acquire(SERVER, demand, now + next);
    assert!(matches!(
        granted,
        Verdict::Granted {
            wait: Duration::ZERO,
            ..
        }
    ));
}

macro_rules! texts {
    ($($name:ident: $text:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            let read = Rate::parse($text).map(Rate::as_milli);
            assert!(matches!(read, $expected), "{read:?}");
        }
    )*};
}

texts! {
    a_whole_number_is_a_rate: "12" => Ok(12_000),
    a_decimal_number_is_a_rate: "0.3" => Ok(300),
    blanks_around_it_are_ignored: " \t2.5 " => Ok(2_500),
    zero_is_the_lowest_rate: "0" => Ok(100),
    a_tiny_number_is_the_lowest_rate: "0.00001" => Ok(100),
    a_huge_number_is_the_highest_rate: "99999999999999999999" => Ok(1_000_000_000),
    an_empty_text_is_none: "" => Err(Invalid::Length),
    a_long_text_is_none: &"1".repeat(10_240) => Err(Invalid::Length),
    a_negative_number_is_none: "-1" => Err(Invalid::Range),
    not_a_number_is_none: "NaN" => Err(Invalid::Range),
    infinity_is_none: "inf" => Err(Invalid::Range),
    a_number_without_end_is_none: "1e999" => Err(Invalid::Range),
    a_decimal_comma_is_none: "2,5" => Err(Invalid::Number),
    a_unit_is_none: "5/s" => Err(Invalid::Number),
}

fn said(rate: Option<f64>, sent_at: Instant) -> Said {
    Said {
        incarnation: 1,
        rate: rate.map(Rate::per_second),
        sent_at: Some(sent_at),
    }
}

/// Guards against a late answer that lifts or raises a rate which the server has named since.
#[test]
fn answers_out_of_order_only_lower_a_rate() {
    let (mut limits, start) = (Limits::default(), Instant::now());
    assert_eq!(
        limits.observe(SERVER, said(Some(2.0), start), start + millis(10)),
        Change::Lowered
    );
    let early = said(None, start + millis(5));
    assert_eq!(
        limits.observe(SERVER, early, start + millis(20)),
        Change::None
    );
    let higher = said(Some(9.0), start + millis(5));
    assert_eq!(
        limits.observe(SERVER, higher, start + millis(20)),
        Change::None
    );
    let slightly_lower = said(Some(1.9), start + millis(5));
    let change = limits.observe(SERVER, slightly_lower, start + millis(20));
    assert_eq!(change, Change::Slight);
    let lower = said(Some(1.0), start + millis(5));
    assert_eq!(
        limits.observe(SERVER, lower, start + millis(20)),
        Change::Lowered
    );
    let later = said(Some(9.0), start + millis(30));
    assert_eq!(
        limits.observe(SERVER, later, start + millis(40)),
        Change::Raised
    );
    assert_eq!(
        limits.rate(SERVER, 1, start + millis(40)),
        Some(Rate::per_second(9.0))
    );
}

/// Guards against a rush of all instances to a server that names no rate any more.
#[test]
fn a_lifted_rate_rises_within_two_seconds() {
    let (mut limits, start) = (Limits::default(), Instant::now());
    limits.observe(SERVER, said(Some(1.0), start), start);
    let at = start + millis(100);
    assert_eq!(limits.observe(SERVER, said(None, at), at), Change::Raised);
    let soon = limits.rate(SERVER, 1, at + millis(100)).unwrap();
    assert!(soon < Rate::per_second(10.0), "{soon}");
    let later = limits.rate(SERVER, 1, at + millis(1_000)).unwrap();
    assert!(later > Rate::per_second(100.0), "{later}");
    assert_eq!(limits.rate(SERVER, 1, at + Duration::from_secs(2)), None);
}

/// A server that starts again is not bound to what its former run named, and a late answer of that
/// run says nothing.
#[test]
fn a_rate_ends_with_the_run_that_named_it() {
    let (mut limits, now) = (Limits::default(), Instant::now());
    limits.observe(SERVER, said(Some(1.0), now), now);
    assert_eq!(limits.rate(SERVER, 2, now), None);
    let later_run = Said {
        incarnation: 2,
        ..said(Some(5.0), now)
    };
    limits.observe(SERVER, later_run, now);
    assert_eq!(
        limits.observe(SERVER, said(Some(0.5), now), now),
        Change::None
    );
    assert_eq!(limits.rate(SERVER, 2, now), Some(Rate::per_second(5.0)));
}

/// Guards against news without end from a server that names another number in each answer.
#[test]
fn small_changes_are_no_news() {
    let (mut limits, start) = (Limits::default(), Instant::now());
    limits.observe(SERVER, said(Some(100.0), start), start);
    limits.news();
    limits.news();
    for at in 1..1_000 {
        let now = start + millis(at);
        let rate = 100.0 + f64::from(u32::try_from(at % 3).unwrap()) * 0.5;
        assert_eq!(
            limits.observe(SERVER, said(Some(rate), now), now),
            Change::None
        );
    }
    assert!(!limits.has_news());
}

/// Guards against memory without bound where an instance reports servers that do not exist.
#[test]
fn servers_are_bounded() {
    let (mut limits, mut issuer, now) = (Limits::default(), Issuer::default(), Instant::now());
    let limit = Limit {
        incarnation: 1,
        version: 1,
        rate: Some(MIN_RATE),
    };
    let demand = Demand {
        rate: MIN_RATE,
        patience: Duration::ZERO,
    };
    for number in 0..20_000 {
        let server = format!("s{number}");
        limits.merge(&server, limit, None, now);
        issuer.acquire(&server, demand, now);
    }
    assert!(limits.all().len() <= 16_384);
    limits.retain(|_| false, now + Duration::from_mins(2));
    assert!(limits.is_empty());
}

/// An instance asks a coordinator only when a permit may be available.
#[test]
fn permits_are_not_asked_for_before_their_time() {
    let (mut permits, now) = (Permits::default(), Instant::now());
    assert_eq!(permits.wait(SERVER, now), Duration::ZERO);
    permits.record(SERVER, Some(Verdict::Denied { next: millis(700) }), now);
    assert_eq!(permits.wait(SERVER, now + millis(200)), millis(500));
    permits.record(SERVER, None, now);
    assert!(permits.wait(SERVER, now) > PERMIT_TTL);
    permits.expire(now + Duration::from_secs(1));
    assert_eq!(permits.wait(SERVER, now), Duration::ZERO);
    assert_eq!(Permits::patience(Duration::ZERO), Duration::ZERO);
    assert!(Permits::patience(millis(100)) > millis(100));
    assert_eq!(Permits::patience(Duration::from_secs(9)), MAX_PATIENCE);
}

fn limits() -> impl Strategy<Value = Vec<(u8, Limit)>> {
    let limit = (0..3_u8, 0..3_u64, 0..4_u32, proptest::option::of(0..4_u64));
    let limit = limit.prop_map(|(server, incarnation, version, rate)| {
        let rate = rate.map(|rate| Rate::milli(rate * 1_000));
        (
            server,
            Limit {
                incarnation,
                version,
                rate,
            },
        )
    });
    proptest::collection::vec(limit, 0..12)
}

fn merged<'a>(news: impl Iterator<Item = &'a (u8, Limit)>) -> Limits {
    let (mut limits, now) = (Limits::default(), Instant::now());
    for (server, limit) in news {
        limits.merge(&server.to_string(), *limit, None, now);
    }
    limits
}

proptest! {
    /// Instances that hear the same news in any order, once or more often, know the same.
    #[test]
    fn merging_is_independent_of_order_and_repeats(news in limits(), repeated in limits()) {
        let both: Vec<_> = news.iter().chain(&repeated).copied().collect();
        let forwards = merged(both.iter());
        let backwards = merged(both.iter().rev().chain(&news));
        prop_assert_eq!(forwards.digest(), backwards.digest());
        let known = |limits: &Limits| {
            let mut all = limits.all();
            all.sort_by(|one, two| one.0.cmp(&two.0));
            all
        };
        prop_assert_eq!(known(&forwards), known(&backwards));
    }

    /// However demands come, the permits in any span stay under the bound.
    #[test]
    fn permits_stay_under_the_bound(
        rate in 0.3_f64..500.0,
        steps in proptest::collection::vec((0..400_u64, 0..600_u64), 1..400),
    ) {
        let (mut issuer, mut now) = (Issuer::default(), Instant::now());
        let mut due = Vec::new();
        for (step, patience) in steps {
            now += millis(step / 8);
            let demand = Demand { rate: Rate::per_second(rate), patience: millis(patience) };
            if let Verdict::Granted { wait, .. } = issuer.acquire(SERVER, demand, now) {
                prop_assert!(wait <= millis(patience));
                due.push(now + wait);
            }
        }
        prop_assert!(most_in_span(&due) <= permitted(rate));
    }
}

/// Guards against a rate of zero in a message, whose interval is infinite, and against one beyond all
/// bounds.
#[test]
fn rates_in_messages_are_clamped() {
    for (sent, kept) in [(0, MIN_RATE), (u64::MAX, Rate::milli(u64::MAX))] {
        let mut bytes = Vec::new();
        let message = std::collections::BTreeMap::from([("i", 1), ("v", 1), ("r", sent)]);
        ciborium::into_writer(&message, &mut bytes).expect("encodes");
        let limit: Limit = ciborium::from_reader(&bytes[..]).expect("decodes");
        assert_eq!(limit.rate, Some(kept));
        assert!(kept.interval() <= Duration::from_secs(10));
    }
}

/// Guards against more requests at a brittle target than it has slots, and against slots that are lost
/// for good.
#[test]
fn a_slot_is_lent_to_one_request_at_a_time() {
    let start = Instant::now();
    let mut slots: Slots<u32> = Slots::default();
    let time = Duration::from_secs(2);
    let mut lend = |holder, now| slots.lend(SERVER, holder, (3, 1), time, now);
    assert!(lend(1, start) && lend(2, start), "one was there before");
    assert!(!lend(3, start));
    assert!(lend(2, start), "a question that is asked again");
    let later = start + time;
    assert!(lend(3, later) && lend(4, later) && lend(5, later));
    assert!(!lend(6, later));
    slots.take_back(SERVER, &4);
    slots.take_back(SERVER, &4);
    assert!(slots.lend(SERVER, 6, (3, 0), time, later));
    assert!(!slots.lend(SERVER, 7, (3, 0), time, later));
}

fn read(rates: &[&str], rejections: &[&str], is_rejection: bool) -> Result<Named, Invalid> {
    let rates = rates.iter().map(|text| text.as_bytes());
    let rejections = rejections.iter().map(|text| text.as_bytes());
    Named::read(rates, rejections, is_rejection)
}

/// Guards against a brittle target that is not limited after a rejection, or limited without one.
#[test]
fn a_rejection_limits_a_brittle_target() {
    let rate = |named: Named| named.rate.map(Rate::as_f64);
    assert_eq!(read(&[], &["8"], false).map(rate), Ok(None));
    assert_eq!(read(&[], &["8"], true).map(rate), Ok(Some(2.0)));
    assert_eq!(read(&["1"], &["8"], true).map(rate), Ok(Some(1.0)));
    assert_eq!(read(&[], &["8", "4"], true).map(rate), Ok(Some(1.0)));
    assert_eq!(
        read(&[], &["0"], true).map(rate),
        Ok(Some(MIN_RATE.as_f64()))
    );
    assert_eq!(read(&["3"], &[], true).map(rate), Ok(Some(3.0)));
    let long = "9".repeat(10_000);
    for bad in ["", "-1", "NaN", "inf", "many", long.as_str()] {
        assert!(read(&[], &[bad], true).is_err(), "{bad}");
    }
}
