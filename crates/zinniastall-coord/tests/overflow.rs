//! Regions lend each other room: conservation, fairness, and the load that it answers.
#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test, as its own lines do"
)]

#[path = "overflow/conservation.rs"]
mod conservation;
#[path = "overflow/peaks.rs"]
mod peaks;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::overflow::{
    Amount, Borrower, Bucket, GRANT_LIFE, HOLD, Lender, Need, ROUND, Record, Stale,
    room::{self, Target},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn amount(work: u64, requests: u64) -> Amount {
    Amount { work, requests }
}

fn needs(needs: &[(&'static str, u64)]) -> IndexMap<&'static str, Amount> {
    let needs = needs.iter();
    needs
        .map(|(region, need)| (*region, amount(need * 10, *need)))
        .collect()
}

/// Returns what is granted once the steps are done.
fn settled(room: u64, asked: &[(&'static str, u64)]) -> IndexMap<&'static str, Amount> {
    let (mut lender, mut now) = (Lender::default(), Instant::now());
    for _ in 0..20 {
        now += ROUND;
        lender.divide(amount(room * 10, room), &needs(asked), now);
    }
    lender.divide(amount(room * 10, room), &needs(asked), now + ROUND)
}

/// A region that needs little gets all of it, and the others share the rest evenly.
#[test]
fn room_is_divided_max_min_by_need() {
    let granted = settled(900, &[("a", 80), ("b", 4_000), ("c", 9_000)]);
    assert_eq!(granted["a"], amount(1_600, 160), "need and its margin");
    assert_eq!(granted["b"], amount(3_700, 370));
    assert_eq!(granted["c"], amount(3_700, 370));
}

/// Guards against a wave of requests before any load report shows the first of them.
#[test]
fn grants_rise_in_steps() {
    let (mut lender, mut now) = (Lender::default(), Instant::now());
    let mut granted = Vec::new();
    for _ in 0..4 {
        now += ROUND;
        let round = lender.divide(amount(9_000, 900), &needs(&[("a", 900)]), now);
        granted.push(round["a"].requests);
    }
    assert_eq!(granted, [300, 600, 900, 900]);
}

/// Guards against room that is granted twice when a message that lowers a grant is lost.
#[test]
fn room_moves_only_when_the_last_grant_of_it_has_ended() {
    let (mut lender, mut now) = (Lender::default(), Instant::now());
    for _ in 0..10 {
        now += ROUND;
        lender.divide(amount(9_000, 900), &needs(&[("a", 900)]), now);
    }
    let last = now;
    loop {
        now += ROUND;
        let granted = lender.divide(amount(9_000, 900), &needs(&[("b", 900)]), now);
        let to_b = granted["b"].requests;
        if now < last + HOLD {
            assert_eq!(to_b, 0, "a may still use its grant");
        } else {
            assert!(to_b > 0);
            return;
        }
    }
}

/// Guards against a lender that goes on granting what it no longer has.
#[test]
fn grants_fall_at_once_with_the_room() {
    let (mut lender, mut now) = (Lender::default(), Instant::now());
    for _ in 0..10 {
        now += ROUND;
        lender.divide(amount(9_000, 900), &needs(&[("a", 900)]), now);
    }
    let granted = lender.divide(amount(0, 0), &needs(&[("a", 900)]), now + ROUND);
    assert_eq!(granted["a"], amount(0, 0));
}

/// The link repeats and reorders datagrams, or loses all of them.
#[test]
fn only_later_rounds_count_and_grants_end_without_messages() {
    let mut borrower = Borrower::default();
    let now = Instant::now();
    borrower
        .receive("far", u32::MAX, 1, GRANT_LIFE, now)
        .unwrap();
    borrower.receive("far", 1, 2, GRANT_LIFE, now).unwrap();
    for round in [u32::MAX, 1] {
        let late = borrower.receive("far", round, 3, GRANT_LIFE, now + ms(400));
        assert_eq!(late, Err(Stale { round, known: 1 }));
    }
    let held = |at| {
        borrower
            .grants(at)
            .map(|(_, held, _)| *held)
            .collect::<Vec<i32>>()
    };
    assert_eq!(held(now + ms(999)), [2]);
    assert_eq!(held(now + GRANT_LIFE), [0; 0], "cut off for a second");
}

/// A lender's process starts again, with a clock that is behind.
#[test]
fn a_lender_that_starts_again_is_heard_once_its_last_grants_are_forgotten() {
    let mut borrower = Borrower::default();
    let now = Instant::now();
    borrower.receive("far", 100, 1, GRANT_LIFE, now).unwrap();
    assert!(
        borrower
            .receive("far", 7, 2, GRANT_LIFE, now + ms(3_900))
            .is_err()
    );
    assert!(
        borrower
            .receive("far", 7, 2, GRANT_LIFE, now + ms(4_100))
            .is_ok()
    );
}

/// Guards against a burst from an instance that has just started or lost its state.
#[test]
fn a_bucket_begins_empty_and_holds_half_a_second() {
    let now = Instant::now();
    let mut bucket = Bucket::new(now);
    bucket.set(amount(1_000_000, 20_000), now + GRANT_LIFE, now);
    assert!(!bucket.take(1_000, now));
    let later = now + ms(900);
    let taken = (0..100).filter(|_| bucket.take(1_000, later)).count();
    assert_eq!(taken, 10);
    assert!(!bucket.take(0, now + ms(1_900)), "the grant has ended");
}

/// Guards against a small instance that could never send, and one that sends prompts beyond its part.
#[test]
fn a_small_share_sends_now_and_then_and_pays_back_long_prompts() {
    let now = Instant::now();
    let mut bucket = Bucket::new(now);
    let mut sent = 0;
    for at in 0..200 {
        let at = now + ms(100) * at;
        bucket.set(amount(20_000, 500), at + GRANT_LIFE, at);
        sent += u32::from(bucket.take(100_000, at));
    }
    // Twenty seconds of 20 ms of prefill pay for four prompts of 100 ms.
    assert!((4..=5).contains(&sent), "{sent}");
}

/// Guards against lending of full engines, and of slots behind a long queue.
#[test]
fn only_engines_with_both_slots_and_time_have_room() {
    let target = |in_flight, reading| Target {
        slots: 64,
        in_flight,
        reading: ms(reading),
    };
    let room = |targets: &[Target]| room::engines(targets.iter().copied(), ms(200));
    assert_eq!(room(&[target(14, 100)]), amount(400_000, 40_000));
    assert_eq!(room(&[target(64, 0), target(0, 200)]), Amount::default());
    let plain = [target(54, 0)].into_iter();
    assert_eq!(room::plain(plain, ms(20)), amount(0, 400_000));
}

#[test]
fn need_is_that_of_the_last_second() {
    let now = Instant::now();
    let mut need = Need::default();
    for at in 0..30 {
        need.record(2_000, now + ms(50) * at);
    }
    assert_eq!(need.sum(now + ms(1_450)), amount(40_000, 20_000));
    assert_eq!(need.sum(now + ms(2_500)), Amount::default());
}

/// Guards against a region that is given up after one rejection, and one that rejects on and on.
#[test]
fn a_quarter_of_the_last_twenty_rejections_pause_a_region() {
    let now = Instant::now();
    let mut record = Record::default();
    for at in 0..40 {
        assert!(!record.observe(at % 5 == 0, now), "a fifth is rejected");
    }
    assert!(!record.is_paused(now));
    assert!(!record.observe(true, now), "four of the last twenty");
    assert!(record.observe(true, now), "five of the last twenty");
    assert!(record.is_paused(now + ms(499)) && !record.is_paused(now + ms(500)));
}
