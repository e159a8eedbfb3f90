//! What is learned about the number of requests that plain targets accept.

use zinniastall_gateway::decide::concurrency::Limit;

/// Sends requests to a target as long as it is expected to accept them. The target holds up to
/// `capacity` requests and finishes some in each round. Returns how many it accepted and how many
/// it refused.
fn simulate(capacity: u32, finishes: u32, rounds: u32) -> (u32, u32) {
    let mut limit = Limit::default();
    let (mut in_flight, mut taken, mut refused) = (0_u32, 0, 0);
    for _ in 0..rounds {
        for _ in 0..2 * finishes {
            if !limit.allows(in_flight) {
                break;
            }
            if in_flight < capacity {
                limit.on_accepted(in_flight);
                in_flight += 1;
                taken += 1;
            } else {
                limit.on_refused(in_flight, 6);
                refused += 1;
            }
        }
        in_flight = in_flight.saturating_sub(finishes);
    }
    (taken, refused)
}

/// Requests arrive at twice the rate at which a target finishes them. Without a bound, half of them
/// are refused there, each after a round trip and with its caller's only attempt used up.
#[test]
fn hardly_a_request_is_sent_to_a_full_target() {
    let (taken, refused) = simulate(30, 10, 100);
    assert!(taken >= 1_000, "{taken}");
    assert!(refused * 20 < taken, "{refused} of {taken}");
}

/// A target comes back with a longer queue. Its capacity is discovered within forty requests.
#[test]
fn grown_capacity_is_discovered() {
    let mut limit = Limit::default();
    limit.on_refused(10, 6);
    assert!(!limit.allows(10));
    for _ in 0..40 {
        limit.on_accepted(10);
    }
    assert!(limit.allows(10));
}

/// A target refuses for reasons of its own while it is idle. It still gets as many requests as it
/// has slots.
#[test]
fn an_idle_target_gets_as_many_as_it_has_slots() {
    let mut limit = Limit::default();
    limit.on_refused(0, 6);
    assert!(limit.allows(5));
    assert!(!limit.allows(6));
}
