//! Residency, hops and retries.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use zinniastall_model::{
    object::{Residency, Subject},
    place::Place,
};
use zinniastall_route::{
    dispatch::{self, ATTEMPT_LIMIT, Next, Progress},
    hops,
    outcome::{Outcome, Reason, Refusal},
    request::Request,
    residency,
};

use super::config;

fn place(text: &str) -> Place {
    let (region, zone) = text.split_once('/').unwrap();
    Place::new(region, zone)
}

macro_rules! hops {
    ($($name:ident: [$($hop:literal),*] => $fits:literal;)+) => {$(
        #[test]
        fn $name() {
            let places: Vec<Place> = [$($hop),*].into_iter().map(place).collect();
            assert_eq!(hops::check(&places).is_ok(), $fits);
        }
    )+};
}

hops! {
    single_place: ["patras/a"] => true;
    crosses_a_zone: ["patras/a", "patras/b"] => true;
    crosses_a_region: ["patras/a", "athens/a"] => true;
    crosses_a_zone_in_each_region: ["patras/a", "patras/b", "athens/a", "athens/b"] => true;
    crosses_two_zones_of_a_region: ["patras/a", "patras/b", "patras/c"] => false;
    crosses_two_regions: ["patras/a", "athens/a", "nantes/a"] => false;
    returns_to_a_place: ["patras/a", "athens/a", "patras/a"] => false;
    empty_list: [] => false;
}

#[test]
fn forwarded_requests_are_not_forwarded_again() {
    let here = [place("patras/a")];
    let there = hops::check_next(&here, &place("athens/a")).unwrap();
    assert!(hops::check_arrived(&there, &place("patras/a"), &place("athens/a")).is_ok());
    assert!(hops::check_next(&there, &place("athens/b")).is_err());
    // A forged or misrouted list does not end with the receiving place.
    assert!(hops::check_arrived(&there, &place("patras/a"), &place("patras/a")).is_err());
    // The sender claims that the request was received in another place than its own.
    assert!(hops::check_arrived(&there, &place("nantes/a"), &place("athens/a")).is_err());
    assert!(hops::check_arrived(&[], &place("patras/a"), &place("patras/a")).is_err());
}

fn rule(subject: Option<&str>, regions: &[String]) -> Residency {
    Residency {
        id: "rule".into(),
        client: "studio".into(),
        subject: subject.map(ToOwned::to_owned),
        regions: regions.to_vec(),
    }
}

fn regions() -> impl Strategy<Value = Vec<String>> {
    let names = ["brittany", "nantes", "paris", "athens"];
    prop::sample::subsequence(names.to_vec(), 0..=4)
        .prop_map(|names| names.into_iter().map(ToOwned::to_owned).collect())
}

fn request(idempotent: bool, deadline: Instant) -> Request {
    Request {
        id: "r".into(),
        client: "studio".into(),
        weight: 1,
        class: "interactive".into(),
        subject: Subject::Model("names".into()),
        version: None,
        idempotent,
        ticket: None,
        deadline,
        events: false,
        prefixes: vec![],
        regions: vec![],
        hops: vec![],
        detoured: false,
        revision: 1,
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whichever of two instances holds the newer rules, only regions that both permit remain.
    #[test]
    fn regions_permitted_by_both_revisions_remain(old in regions(), new in regions()) {
        let subject = Subject::Model("names".into());
        let here = place("paris/a");
        let permitted = |regions: &[String]| {
            residency::permitted(&[rule(None, regions)], &subject, &here)
        };
        let (old, new) = (permitted(&old), permitted(&new));
        let both = residency::stricter(&old, &new);
        prop_assert!(both.iter().all(|region| old.contains(region) && new.contains(region)));
        prop_assert_eq!(both.len(), old.iter().filter(|region| new.contains(region)).count());
    }

    /// All matching rules must permit a region; a rule for another model has no effect.
    #[test]
    fn all_matching_rules_must_permit(all in regions(), one in regions(), other in regions()) {
        let subject = Subject::Model("names".into());
        let rules = [rule(None, &all), rule(Some("names"), &one), rule(Some("logos"), &other)];
        let permitted = residency::permitted(&rules, &subject, &place("paris/a"));
        for region in ["brittany", "nantes", "paris", "athens"].map(ToOwned::to_owned) {
            let expected = all.contains(&region) && one.contains(&region);
            prop_assert_eq!(permitted.contains(&region), expected);
        }
    }

    /// A request that is not idempotent is retried only if it did not run. No retry starts after
    /// the deadline, beyond the budget or the maximum number of attempts, or after part of a
    /// response was relayed.
    #[test]
    fn retries_respect_idempotency_budget_and_deadline(
        idempotent: bool, not_run: bool, relayed: bool, has_budget: bool, attempts in 0_u32..6,
        late: bool,
    ) {
        let now = Instant::now();
        let deadline = if late { now } else { now + Duration::from_secs(1) };
        let failure = if not_run {
            Refusal::not_run(Reason::TargetRefused)
        } else {
            Refusal::unknown(Reason::TargetLost)
        };
        let progress = Progress { attempts, relayed, has_budget };
        let next = dispatch::next(&request(idempotent, deadline), &failure, progress, now);
        if next == Next::Retry {
            prop_assert!(not_run || idempotent);
            prop_assert!(has_budget && !relayed && !late && attempts < ATTEMPT_LIMIT);
        }
    }

    /// Once an attempt may have run, the request is never reported as not run.
    #[test]
    fn unknown_outcome_is_never_merged_to_not_run(
        outcomes in prop::collection::vec(any::<bool>(), 1..6),
    ) {
        let refusal = |unknown: &bool| match unknown {
            true => Refusal::unknown(Reason::TargetLost),
            false => Refusal::not_run(Reason::TargetRefused),
        };
        let merge = |earlier, later| Some(dispatch::merge(earlier, later));
        let merged = outcomes.iter().map(refusal).fold(None, merge).unwrap();
        prop_assert_eq!(merged.outcome == Outcome::Unknown, outcomes.contains(&true));
    }
}

#[test]
fn without_rules_requests_stay_in_their_region() {
    let subject = Subject::Service("portal".into());
    let permitted = residency::permitted(&[], &subject, &place("paris/a"));
    assert_eq!(permitted, ["paris"]);
    assert!(residency::check_place(&permitted, &place("nantes/a")).is_err());
    assert!(residency::check(&[]).is_err());
}
