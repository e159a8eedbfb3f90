//! Fencing tokens, leases, election timing, and the table of commands.

use std::time::{Duration, Instant};

use zinniastall_coord::command::{Outcome, Table, digest};
use zinniastall_coord::election::{Error, Timing};
use zinniastall_coord::fence::{Fence, Gate, Overflow, Stale};
use zinniastall_coord::lease::Lease;

/// Defines a test.
macro_rules! case {
    ($name:ident, $body:block) => {
        #[test]
        fn $name() {
            $body
        }
    };
}

// A frozen leader resumes and sends an order that it prepared before a newer leader sent its own. A
// target that ran it would undo the newer order.
case!(a_gate_refuses_what_is_older, {
    let fence = |term, sequence| Fence::new(term, sequence).unwrap();
    let mut gate = Gate::default();
    gate.admit(fence(2, 7)).unwrap();
    gate.admit(fence(2, 7)).unwrap();
    gate.admit(fence(3, 0)).unwrap();
    let stale = Stale {
        held: fence(3, 0),
        offered: fence(2, 8),
    };
    assert_eq!(gate.admit(fence(2, 8)), Err(stale));
    assert_eq!(gate.held(), fence(3, 0));
});

case!(a_fence_keeps_its_order_as_a_number, {
    let fence = Fence::new(5, u32::MAX).unwrap();
    assert!(fence.to_u64() < Fence::new(6, 0).unwrap().to_u64());
    assert_eq!((Fence::from_u64(fence.to_u64()), fence.term()), (fence, 5));
    assert_eq!(Fence::new(1 << 32, 0), Err(Overflow { term: 1 << 32 }));
});

case!(a_lease_ends_at_its_instant, {
    let now = Instant::now();
    let lease = Lease {
        term: 1,
        until: now + Duration::from_secs(1),
    };
    assert!(lease.holds(now) && !lease.holds(lease.until));
    assert_eq!(
        lease.left(lease.until + Duration::from_secs(1)),
        Duration::ZERO
    );
});

case!(timings_that_are_not_safe_are_refused, {
    let millis = Duration::from_millis;
    let timing = Timing::new(millis(50), millis(500));
    assert_eq!(timing.check(), Ok(()));
    assert_eq!(
        Timing::new(millis(0), millis(500)).check(),
        Err(Error::Heartbeat)
    );
    assert_eq!(
        Timing::new(millis(50), millis(149)).check(),
        Err(Error::Election)
    );
    let wide = Timing {
        margin: millis(460),
        ..timing
    };
    assert_eq!(wide.check(), Err(Error::Margin));
    assert_eq!(
        Timing {
            margin: millis(0),
            ..timing
        }
        .check(),
        Err(Error::Margin)
    );
});

// An operator's answer is lost and the script sends the command again: it gets the first answer. A
// script that reuses an id for another command is told so instead of getting an unrelated answer.
case!(a_resend_gets_the_recorded_answer, {
    let mut table = Table::new(10, 100);
    assert_eq!(table.look_up("ann", "1", &digest(b"a")), Outcome::New);
    table.record("ann", "1", digest(b"a"), 11);
    table.record("ann", "1", digest(b"a"), 12);
    assert_eq!(
        table.look_up("ann", "1", &digest(b"a")),
        Outcome::Recorded(&11)
    );
    assert_eq!(table.look_up("ann", "1", &digest(b"b")), Outcome::Reused);
    assert_eq!(table.look_up("bob", "1", &digest(b"a")), Outcome::New);
});

// One operator's scripts send commands without end. The table stays within its limits, and another
// operator's last command is still recognised.
case!(the_table_is_bounded_oldest_first, {
    let mut table = Table::new(3, 5);
    table.record("bob", "0", digest(b""), 0);
    for id in 0..100 {
        table.record("ann", &id.to_string(), digest(b""), id);
    }
    assert_eq!(table.len(), 4);
    assert_eq!(
        table.look_up("ann", "97", &digest(b"")),
        Outcome::Recorded(&97)
    );
    assert_eq!(table.look_up("ann", "96", &digest(b"")), Outcome::New);
    assert_eq!(
        table.look_up("bob", "0", &digest(b"")),
        Outcome::Recorded(&0)
    );
    for operator in ["cid", "dan"] {
        table.record(operator, "0", digest(b""), 0);
    }
    assert_eq!(table.len(), 5);
    assert_eq!(table.look_up("bob", "0", &digest(b"")), Outcome::New);
});

case!(the_table_survives_a_snapshot, {
    let mut table = Table::new(2, 3);
    for id in 0..5_u8 {
        table.record(
            ["ann", "bob"][usize::from(id % 2)],
            &id.to_string(),
            digest(&[id]),
            id,
        );
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&table, &mut bytes).unwrap();
    let mut restored: Table<u8> = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(restored, table);
    for held in [&mut table, &mut restored] {
        held.record("cid", "9", digest(&[9]), 9);
    }
    assert_eq!(restored, table);
});
