//! What is learned of the requests that plain targets take.

use zinniastall_gateway::decide::concurrency::Limit;

/// Sends requests to a target with room for so many as long as it is expected to take them; the target finishes
/// some in each of a number of rounds. Returns how many it took and how many it refused.
fn play(room_for: u32, finishes: u32, rounds: u32) -> (u32, u32) {
    let mut room = Limit::default();
    let (mut there, mut taken, mut refused) = (0_u32, 0, 0);
    for _ in 0..rounds {
        for _ in 0..2 * finishes {
            if !room.allows(there) {
                break;
            }
            if there < room_for {
                room.on_accepted(there);
                there += 1;
                taken += 1;
            } else {
                room.on_refused(there, 6);
                refused += 1;
            }
        }
        there = there.saturating_sub(finishes);
    }
    (taken, refused)
}

/// Twice as many requests come as a target finishes. Without a bound half of them are refused there, each after a
/// trip and with its caller's only attempt gone.
#[test]
fn hardly_a_request_is_sent_to_a_full_target() {
    let (taken, refused) = play(30, 10, 100);
    assert!(taken >= 1_000, "{taken}");
    assert!(refused * 20 < taken, "{refused} of {taken}");
}

/// A target comes back with a longer queue. It is found out within forty requests.
#[test]
fn room_that_has_grown_is_found() {
    let mut room = Limit::default();
    room.on_refused(10, 6);
    assert!(!room.allows(10));
    for _ in 0..40 {
        room.on_accepted(10);
    }
    assert!(room.allows(10));
}

/// A target refuses for reasons of its own while it is idle. It still gets as many as it has slots.
#[test]
fn slots_are_always_used() {
    let mut room = Limit::default();
    room.on_refused(0, 6);
    assert!(room.allows(5));
    assert!(!room.allows(6));
}
