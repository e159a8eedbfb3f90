//! Tickets run at most once, whatever arrives.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use zinniastall_coord::ticket::{Address, Invalid, Issuer, Redemption, Registry, Ticket, Use};

const SEED: u64 = 0x7a69_6e6e;
const VALIDITY: Duration = Duration::from_mins(1);

fn issuer(incarnation: u64, key: u8) -> Issuer {
    let address = Address::new("patras", "a", "patras-a-1", incarnation);
    Issuer::new(address, [key; 32], VALIDITY)
}

fn usage(client: &str, digest: u8) -> Use {
    Use {
        client: client.into(),
        digest: [digest; 32],
    }
}

macro_rules! rejected {
    ($($(#[$doc:meta])* $name:ident: $change:expr => $fault:pat,)+) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let ticket = issuer(1, 1).issue(Duration::ZERO, 9);
            let change: fn(String) -> (Issuer, String, Duration) = $change;
            let (issuer, ticket, now) = change(ticket);
            let fault = issuer.check(&ticket, now).unwrap_err();
            assert!(matches!(fault, $fault), "{fault:?}");
        }
    )+};
}

rejected! {
    expired: |ticket| (issuer(1, 1), ticket, VALIDITY) => Invalid::Expired,
    // A restarted issuer has lost its registry. If it accepted its old tickets, billed work would
    // run twice.
    issued_by_earlier_run: |ticket| (issuer(2, 2), ticket, Duration::ZERO) => Invalid::OtherIssuer(_),
    other_key: |ticket| (issuer(1, 2), ticket, Duration::ZERO) => Invalid::Forged,
    // A caller that extends the expiry could run its request after the registry has dropped the
    // ticket.
    stretched: |ticket| (issuer(1, 1), ticket.replace("~ea60~", "~ffffff~"), Duration::ZERO)
        => Invalid::Forged,
    not_a_ticket: |_| (issuer(1, 1), "a~b".into(), Duration::ZERO) => Invalid::Malformed,
    too_long: |ticket| (issuer(1, 1), ticket + &"0".repeat(1000), Duration::ZERO)
        => Invalid::Malformed,
}

#[test]
fn another_use_is_refused() {
    let mut registry = Registry::new(4);
    let mut mark = |usage| registry.redeem("t", usage, VALIDITY, Duration::ZERO, || ());
    assert_eq!(mark(usage("a", 1)), Redemption::First(()));
    assert_eq!(mark(usage("a", 1)), Redemption::Repeated(()));
    assert_eq!(mark(usage("a", 2)), Redemption::Mismatch);
    assert_eq!(mark(usage("b", 1)), Redemption::Mismatch);
}

// A burst of tickets fills the registry. Evicting the oldest entry would let its resend run a
// second time, so new work is refused until entries have expired.
#[test]
fn full_table_refuses_instead_of_forgetting() {
    let mut registry = Registry::new(1);
    let mut mark = |name, now| {
        let until = Duration::from_secs(1);
        registry.redeem(name, usage("a", 1), until, Duration::from_secs(now), || ())
    };
    assert_eq!(mark("first", 0), Redemption::First(()));
    assert_eq!(mark("second", 0), Redemption::Full);
    assert_eq!(mark("first", 0), Redemption::Repeated(()));
    assert_eq!(mark("third", 2), Redemption::First(()));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn parsing_never_panics(text in ".{0,600}") {
        let _ = Ticket::parse(&text);
        prop_assert!(issuer(1, 1).check(&text, Duration::ZERO).is_err());
    }

    /// A few tickets arrive at any times and are checked and then redeemed, as an issuer does. Each
    /// ticket runs at most once, however small the registry is.
    #[test]
    fn each_ticket_runs_at_most_once(
        arrivals in prop::collection::vec((0_u64..6, 0_u64..200), 0..60),
        limit in 1_usize..4,
    ) {
        let issuer = issuer(1, 1);
        let mut registry = Registry::new(limit);
        let mut ran = std::collections::HashMap::new();
        let mut arrivals = arrivals;
        arrivals.sort_by_key(|(_, at)| *at);
        for (id, at) in arrivals {
            let now = Duration::from_secs(at);
            let text = issuer.issue(Duration::from_secs(id * 20), id);
            let Ok(ticket) = issuer.check(&text, now) else { continue };
            let verdict = registry.redeem(&ticket.name, usage("a", 1), ticket.expiry, now, || ());
            if verdict == Redemption::First(()) {
                *ran.entry(id).or_insert(0) += 1;
            }
            prop_assert!(registry.len() <= limit);
        }
        prop_assert!(ran.values().all(|times| *times == 1), "seed {SEED}: {ran:?}");
    }
}
