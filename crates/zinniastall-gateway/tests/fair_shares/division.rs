//! The division of capacity by given demand and use.

use indexmap::IndexMap;
use proptest::{collection::vec, prelude::*};
use zinniastall_gateway::decide::{
    fair_share::{Claimant, Flow, Member, Share, divide, level},
    quota::{Key, Usage},
};

/// Difference that rounding makes, relative to a sum.
const ROUNDING: f64 = 1e-9;

fn claimant(key: Key, asked: u64, used: u64, weight: u32) -> Claimant {
    let flow = Flow::from(Usage { asked, used });
    Claimant {
        key,
        flow,
        asked: flow.asked(),
        member: Member {
            weight,
            rate: 1_000_000_000,
        },
    }
}

prop_compose! {
    /// Accounts with any use, also impossible use above demand.
    fn claimants()(
        figures in vec((0_u64..2_000_000, 0_u64..2_000_000, 1_u32..5), 1..24)
    ) -> Vec<Claimant> {
        let figures = figures.into_iter().zip(0..);
        figures.map(|((asked, used, weight), key)| claimant(key, asked, used, weight)).collect()
    }
}

fn served(claimants: &[Claimant]) -> f64 {
    claimants.iter().map(|claimant| claimant.flow.used()).sum()
}

fn kept(shares: &IndexMap<Key, Share>) -> f64 {
    shares
        .values()
        .map(|share| share.demand.min(share.level))
        .sum()
}

proptest! {
    /// Guards against shares that add up to more room than there is.
    #[test]
    fn shares_never_exceed_what_was_served(claimants in claimants(), part in 0.0_f64..1.2) {
        let shares = divide(&claimants, part, 1.0);
        prop_assert!(kept(&shares) <= served(&claimants) * (1.0 + ROUNDING));
    }

    /// Guards against capacity that is given to no account.
    #[test]
    fn all_that_was_served_is_given_out(claimants in claimants()) {
        let shares = divide(&claimants, 1.0, 1.0);
        let is_divided = !shares.is_empty();
        prop_assert!(!is_divided || kept(&shares) >= served(&claimants) * (1.0 - ROUNDING));
    }

    /// Guards against an account that is cut although it keeps to its level.
    #[test]
    fn no_account_at_or_below_its_level_is_cut(
        claimants in claimants(), part in 0.1_f64..1.0, strength in 0.0_f64..=1.0,
    ) {
        for share in divide(&claimants, part, strength).values() {
            prop_assert!((0.0..=1.0).contains(&share.fraction));
            prop_assert!(share.demand > share.level || share.fraction >= 1.0);
        }
    }

    /// Guards against a division that depends on the order in which accounts are listed.
    #[test]
    fn a_permutation_of_accounts_changes_nothing(
        (claimants, shuffled) in claimants().prop_flat_map(|claimants| {
            (Just(claimants.clone()), Just(claimants).prop_shuffle())
        }),
    ) {
        prop_assert_eq!(divide(&claimants, 0.9, 1.0), divide(&shuffled, 0.9, 1.0));
    }

    /// Guards against an account that gains by asking for more than it is given.
    #[test]
    fn demand_above_the_level_does_not_move_it(claimants in claimants(), more in 1.0_f64..10.0) {
        let demands = claimants.iter().map(|claimant| (claimant.demand(), 1.0));
        let mut demands: Vec<(f64, f64)> = demands.collect();
        let capacity = served(&claimants) * 0.8;
        let Some(before) = level(&demands, capacity) else {
            return Ok(());
        };
        for (demand, _) in demands.iter_mut().filter(|(demand, _)| *demand > before) {
            *demand *= more;
        }
        let after = level(&demands, capacity).unwrap_or(f64::INFINITY);
        prop_assert!((before - after).abs() <= before * ROUNDING, "{} {}", before, after);
    }
}

#[test]
fn small_demands_are_met_and_the_rest_is_divided_by_weight() {
    let demands = [(10.0, 1.0), (100.0, 1.0), (300.0, 2.0)];
    assert_eq!(level(&demands, 160.0), Some(50.0));
    assert_eq!(level(&demands, 410.0), None);
}

/// Guards against use above demand, which an instance may report, counting as room.
#[test]
fn use_above_demand_is_clipped() {
    let flow = Flow::from(Usage {
        asked: 100,
        used: 5_000,
    });
    assert_eq!((flow.used(), flow.demand()), (100.0, 100.0));
    let claimants = [claimant(1, 100, 5_000, 1), claimant(2, 900, 200, 1)];
    let shares = divide(&claimants, 1.0, 1.0);
    assert!((kept(&shares) - 300.0).abs() < 1e-6, "{shares:?}");
}

/// Guards against accounts that exceed the level only by their own retries: each rejected attempt is
/// asked for a second time.
#[test]
fn retries_do_not_count_as_demand() {
    let demand = 1_000_000.0;
    for admitted in [1.0, 0.75, 0.5, 0.0] {
        let asked = demand * (2.0 - admitted);
        let usage = Usage {
            asked: asked as u64,
            used: (asked * admitted) as u64,
        };
        assert!(
            (Flow::from(usage).demand() - demand).abs() < 10.0,
            "{usage:?}"
        );
    }
}

/// Guards against an account that is limited by its quota and counts with all that it asks for, so
/// that the others get less than there is.
#[test]
fn demand_beyond_the_quota_does_not_count() {
    let mut limited = claimant(1, 900, 100, 1);
    limited.member.rate = 100;
    let shares = divide(&[limited, claimant(2, 600, 400, 1)], 1.0, 1.0);
    assert!((shares[&2].level - 400.0).abs() < 1e-6, "{shares:?}");
    assert!(shares[&1].fraction >= 1.0, "{shares:?}");
}

/// Guards against shares that keep requests out after an outage in which nothing was served.
#[test]
fn nothing_served_is_not_divided() {
    assert!(divide(&[claimant(1, 900, 0, 1), claimant(2, 10, 0, 1)], 1.0, 1.0).is_empty());
}
