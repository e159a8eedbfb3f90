//! Suspicion of requests that crash the processes that run them: which are quarantined, which are
//! cleared, and whether tables converge.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use zinniastall_coord::quarantine::{CRASH_LIMIT, Run, Suspicion, Table};

type Key = [u8; 1];

const KEY: Key = [7];
const CAPACITY: usize = 64;

fn table() -> Table<Key> {
    Table::new(CAPACITY)
}

/// What happens to a request, in order.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A run crashes with a copy that was sent before the request was suspected.
    First(Run),
    /// A run crashes with a copy that was sent while the request was suspected.
    Later(Run),
    Finish,
}

use Event::{Finish, First, Later};

fn apply(table: &mut Table<Key>, key: Key, event: Event, now: Instant) {
    match event {
        First(run) => table.crash(key, run, false, now),
        Later(run) => table.crash(key, run, true, now),
        Finish => table.finish(key, now),
    };
}

macro_rules! crashes {
    ($($(#[$about:meta])* $name:ident: $events:expr => $count:expr;)*) => {
        $($(#[$about])* #[test] fn $name() {
            let (mut table, now) = (table(), Instant::now());
            for event in $events {
                apply(&mut table, KEY, event, now);
            }
            assert_eq!(table.crashes(KEY), $count);
            assert_eq!(table.is_quarantined(KEY), $count == CRASH_LIMIT);
        })*
    };
}

crashes! {
    one_crash_after_the_other_quarantines: [First(1), Later(2), Later(3)] => 3;
    /// Guards against refusing a popular request, of which copies run everywhere, because many
    /// targets crash at once.
    copies_that_run_when_many_crash_count_once: [First(1), First(2), First(3), First(4)] => 1;
    a_crash_that_is_told_twice_counts_once: [First(1), Later(2), Later(2)] => 2;
    a_run_that_is_the_first_and_a_later_one_counts_once: [First(1), Later(1)] => 1;
    /// Guards against refusing a request that ran on crashed targets, finished later, and meets
    /// another crash.
    a_finish_clears: [First(1), Later(2), Finish, First(3)] => 1;
    a_finish_ends_a_quarantine: [First(1), Later(2), Later(3), Finish] => 0;
    more_crashes_change_nothing: [First(1), Later(2), Later(3), Later(4), Later(5)] => 3;
}

#[test]
fn a_finish_of_a_request_without_suspicion_is_not_kept() {
    let mut table = table();
    assert!(!table.finish(KEY, Instant::now()));
    assert!(table.is_empty());
}

/// Guards against a late report of crashes from before a finish that makes the request a suspect
/// again.
#[test]
fn what_was_known_before_a_finish_counts_no_more() {
    let (mut one, mut other, now) = (table(), table(), Instant::now());
    one.crash(KEY, 1, false, now);
    one.crash(KEY, 2, true, now);
    let late = one.suspicion(KEY).cloned().unwrap();
    other.merge(KEY, &late, now);
    other.finish(KEY, now);
    let merged = other.merge(KEY, &late, now);
    assert!(!merged.is_changed && merged.is_behind);
    assert_eq!(other.crashes(KEY), 0);
}

/// Guards against an attacker that pushes a quarantined request out of the table with a million
/// different bodies.
#[test]
fn a_full_table_forgets_those_with_the_fewest_crashes() {
    let (mut table, start) = (Table::new(1_000), Instant::now());
    let poison = 0_u32.to_le_bytes();
    for run in 0..3 {
        table.crash(poison, run, run > 0, start);
    }
    for other in 1..10_000_u32 {
        let now = start + Duration::from_millis(u64::from(other));
        table.crash(other.to_le_bytes(), 9, false, now);
    }
    assert!(table.is_quarantined(poison));
    assert_eq!(table.crashes(9_999_u32.to_le_bytes()), 1);
    assert_eq!(table.crashes(1_u32.to_le_bytes()), 0);
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6_u64).prop_map(First),
        (0..6_u64).prop_map(Later),
        Just(Finish),
    ]
}

/// A suspicion as events on one instance may produce it.
fn suspicion() -> impl Strategy<Value = Suspicion> {
    proptest::collection::vec(event(), 0..8).prop_map(|events| {
        let (mut table, now) = (table(), Instant::now());
        for event in events {
            apply(&mut table, KEY, event, now);
        }
        table.suspicion(KEY).cloned().unwrap_or_default()
    })
}

fn merged(suspicions: &[&Suspicion]) -> Option<Suspicion> {
    let (mut table, now) = (table(), Instant::now());
    for suspicion in suspicions {
        table.merge(KEY, suspicion, now);
    }
    table.suspicion(KEY).cloned()
}

/// A message to one of the tables: which one, to which table, and how often it is delivered.
type Delivery = (usize, usize, u8);

proptest! {
    #[test]
    fn merging_is_commutative(a in suspicion(), b in suspicion()) {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
    }

    #[test]
    fn merging_is_associative_and_idempotent(a in suspicion(), b in suspicion(), c in suspicion()) {
        let ab = merged(&[&a, &b]).unwrap_or_default();
        let bc = merged(&[&b, &c]).unwrap_or_default();
        prop_assert_eq!(merged(&[&ab, &c]), merged(&[&a, &bc]));
        prop_assert_eq!(merged(&[&a, &a]), merged(&[&a]));
    }

    /// Guards against instances that disagree forever because messages were lost, duplicated or
    /// late.
    #[test]
    fn tables_agree_once_all_have_heard_of_all(
        events in proptest::collection::vec((0..4_usize, event()), 0..20),
        deliveries in proptest::collection::vec((0..4_usize, 0..4_usize, 0..3_u8), 0..30),
    ) {
        let now = Instant::now();
        let mut tables: Vec<Table<Key>> = (0..4).map(|_| table()).collect();
        let mut messages = Vec::new();
        let mut deliveries: Vec<Delivery> = deliveries;
        for (at, event) in events {
            apply(&mut tables[at], KEY, event, now);
            messages.extend(tables[at].suspicion(KEY).cloned());
            if let Some((which, to, times)) = deliveries.pop() {
                let message = messages.get(which % messages.len().max(1)).cloned();
                for message in message.iter().cycle().take(usize::from(times)) {
                    tables[to].merge(KEY, message, now);
                }
            }
        }
        let all: Vec<Suspicion> = tables.iter().filter_map(|table| table.suspicion(KEY).cloned()).collect();
        for table in &mut tables {
            for suspicion in &all {
                table.merge(KEY, suspicion, now);
            }
        }
        let sums: Vec<u64> = tables.iter().map(Table::digest).collect();
        prop_assert!(sums.windows(2).all(|pair| pair[0] == pair[1]), "{tables:?}");
    }
}
