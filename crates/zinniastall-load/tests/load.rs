//! Experiments: settings, plans and audits.

use std::time::Duration;

use zinniastall_load::{
    audit::{self, Run},
    outcome::Outcome,
    plan,
    settings::Experiment,
    tally::Observation,
};
use zinniastall_settings::load;

const EXAMPLE: &str = include_str!("../examples/experiment.json");

#[test]
fn the_example_is_valid() {
    let experiment: Experiment = load::parse(EXAMPLE).unwrap();
    assert_eq!(experiment.variants.len(), 2);
    assert!(!experiment.sources[1].idempotent);
}

#[test]
fn every_fault_is_listed() {
    let text =
        r#"{"threads": 0, "variants": [{"name": "a"}], "sources": [{"rate": -1}], "spread": 1}"#;
    let problems = load::parse::<Experiment>(text).unwrap_err();
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    let expected = [
        "threads",
        "variants[0].direct",
        "sources[0].client",
        "sources[0].model",
        "sources[0].rate",
        "spread",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn plans_repeat_for_the_same_seed_only() {
    let mut experiment: Experiment = load::parse(EXAMPLE).unwrap();
    let plan = plan::make(&experiment);
    assert_eq!(plan, plan::make(&experiment));
    experiment.seed += 1;
    assert_ne!(plan, plan::make(&experiment));
}

#[test]
fn plans_keep_rate_order_and_end() {
    let experiment: Experiment = load::parse(EXAMPLE).unwrap();
    let plan = plan::make(&experiment);
    let ends = experiment.warmup + experiment.duration;
    assert!(plan.is_sorted_by_key(|arrival| arrival.at));
    assert!(plan.iter().all(|arrival| arrival.at < ends));
    let fixed = plan.iter().filter(|arrival| arrival.source == 1).count();
    assert_eq!(fixed, 54);
    let poisson = plan.len() - fixed;
    // 550 expected; five standard deviations are 117.
    assert!((433..667).contains(&poisson), "{poisson}");
}

macro_rules! audit_cases {
    ($($name:ident: $outcome:expr, $idempotent:expr, runs $runs:expr => $violations:expr;)*) => {$(
        #[test]
        fn $name() {
            let observation = Observation {
                digest: "d".to_owned(),
                outcome: $outcome,
                idempotent: $idempotent,
                correct: true,
                mixed: false,
            };
            let run = Run {
                body_digest: "d".to_owned(),
                started: 0,
                finished: Some(1),
                offset: 0,
                cached: 0,
                blocks: 0,
            };
            let audit = audit::compare(&[observation], &vec![run; $runs], 1);
            assert_eq!(audit.violations(), $violations);
        }
    )*};
}

audit_cases! {
    answered_and_ran: Outcome::Answered, false, runs 1 => 0;
    answered_without_a_run: Outcome::Answered, true, runs 0 => 1;
    not_run_and_did_not: Outcome::NotRun, false, runs 0 => 0;
    not_run_but_ran: Outcome::NotRun, true, runs 1 => 1;
    unknown_and_ran: Outcome::Unknown, false, runs 1 => 0;
    unknown_and_ran_twice: Outcome::Unknown, false, runs 2 => 1;
    repeatable_and_ran_twice: Outcome::Answered, true, runs 2 => 0;
}

#[test]
fn an_answer_to_another_prompt_is_wrong() {
    let observation = Observation {
        digest: "d".to_owned(),
        outcome: Outcome::Answered,
        idempotent: true,
        correct: false,
        mixed: false,
    };
    assert_eq!(audit::compare(&[observation], &[], 0).violations(), 1);
}

/// Guards against a stream of two software versions that counts as fine because it breaks off.
#[test]
fn a_mixed_stream_is_a_violation_also_if_it_is_not_whole() {
    let observation = Observation {
        digest: "d".to_owned(),
        outcome: Outcome::Unknown,
        idempotent: true,
        correct: false,
        mixed: true,
    };
    assert_eq!(audit::compare(&[observation], &[], 0).violations(), 1);
}

#[test]
fn warm_up_is_not_measured() {
    let experiment: Experiment = load::parse(EXAMPLE).unwrap();
    let plan = plan::make(&experiment);
    let early = plan.iter().filter(|arrival| !arrival.measured);
    assert!(early.clone().count() > 0);
    assert!(
        early
            .clone()
            .all(|arrival| arrival.at < Duration::from_secs(1))
    );
}
