//! How well a request fits an engine, and which engines get it.

use std::time::Duration;

use proptest::prelude::*;
use zinniastall_gateway::decide::{
    capacity::Figures,
    fit::{Fit, Measure, Need, choose_fitting, paced},
    place::{Candidate, Choice, Constraints, choose},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const CANDIDATE: Candidate = Candidate {
    wait: ms(20),
    permit_wait: Duration::ZERO,
    prefill_ahead: ms(10),
    occupancy: 0.5,
    prefill: ms(20),
    is_ejected: false,
    tie_breaker: 0,
};
const CONSTRAINTS: Constraints = Constraints {
    left: ms(10_000),
    objective: ms(1_000),
    rank: 0,
    route_rank: 0,
    gap: ms(400),
    opens_soon: true,
    urgent_objective: None,
};
const NEED: Need = Need {
    own_gap: ms(400),
    service_gap: ms(400),
    prefill: ms(20),
    prefill_ahead: ms(10),
    is_full: false,
};

fn measure(figures: Figures, memory: f64) -> Measure {
    Measure {
        figures,
        memory,
        nominal: ms(30),
    }
}

fn stalling(high_gap: u64) -> Figures {
    Figures {
        gap: ms(90),
        high_gap: ms(high_gap),
        ..Figures::default()
    }
}

#[test]
fn what_is_observed_decides_the_fit() {
    let fit = |figures, memory| NEED.fit(&measure(figures, memory));
    assert_eq!(fit(Figures::default(), 0.0), Fit::Good);
    assert_eq!(fit(stalling(350), 0.0), Fit::Reluctant);
    assert_eq!(fit(stalling(420), 0.0), Fit::Unsteady);
    assert_eq!(fit(Figures::default(), 0.96), Fit::Overfull);
    let full = Need {
        is_full: true,
        ..NEED
    };
    assert_eq!(full.fit(&measure(Figures::default(), 0.5)), Fit::Full);
    let slow = Figures {
        slowness: 3.5,
        ..Figures::default()
    };
    assert_eq!(fit(slow, 0.0), Fit::Reluctant);
}

/// A prompt without a bound of its own still stalls the streams that run beside it.
#[test]
fn a_long_prompt_heeds_the_gaps_of_streams() {
    let long = Need {
        own_gap: Duration::ZERO,
        prefill: ms(209),
        ..NEED
    };
    let short = Need {
        own_gap: Duration::ZERO,
        ..NEED
    };
    let slow = Figures {
        gap: ms(150),
        wait_factor: 1.6,
        pace: 1.1,
        ..Figures::default()
    };
    assert_eq!(long.fit(&measure(slow, 0.0)), Fit::Unsteady);
    assert_eq!(long.fit(&measure(stalling(120), 0.0)), Fit::Good);
    assert_eq!(short.fit(&measure(stalling(900), 0.0)), Fit::Good);
}

/// A better target gets the request however long the others' waits are; a full one only if all are.
#[test]
fn better_targets_go_first() {
    let idle = Candidate {
        wait: Duration::ZERO,
        ..CANDIDATE
    };
    let chosen = |fits: &[Fit]| choose_fitting(&[CANDIDATE, idle], fits, &[], CONSTRAINTS);
    for worse in [Fit::Reluctant, Fit::Unsteady, Fit::Full, Fit::Overfull] {
        assert_eq!(chosen(&[Fit::Good, worse]), Choice::Local(0), "{worse:?}");
    }
    assert_eq!(chosen(&[Fit::Full, Fit::Full]), Choice::Local(1));
    assert_eq!(chosen(&[Fit::Unsteady, Fit::Full]), Choice::Local(0));
    // No target has the memory: the request is held, as it is if all targets are full.
    assert!(matches!(chosen(&[Fit::Overfull; 2]), Choice::Wait(_)));
}

/// A slow target is better than a rejection, and a failing one is no better than a slow one.
#[test]
fn reluctant_targets_are_used_last() {
    let busy = Candidate {
        wait: ms(2_000),
        ..CANDIDATE
    };
    let fits = [Fit::Good, Fit::Reluctant];
    let choice = choose_fitting(&[busy, CANDIDATE], &fits, &[], CONSTRAINTS);
    assert_eq!(choice, Choice::Local(1));
    let failing = Candidate {
        is_ejected: true,
        ..CANDIDATE
    };
    let choice = choose_fitting(&[failing, CANDIDATE], &fits, &[], CONSTRAINTS);
    assert_eq!(choice, Choice::Local(1));
}

fn candidate() -> impl Strategy<Value = Candidate> {
    let values = (0..900u64, 0..400u64, 0..250u64, any::<bool>(), any::<u64>());
    values.prop_map(
        |(wait, ahead, prefill, is_ejected, tie_breaker)| Candidate {
            wait: ms(wait),
            prefill_ahead: ms(ahead),
            prefill: ms(prefill),
            is_ejected,
            tie_breaker,
            ..CANDIDATE
        },
    )
}

proptest! {
    /// Guards against a part that is switched off and still changes decisions: without figures the
    /// candidates are the same, and so is the choice among them.
    #[test]
    fn without_figures_the_decision_is_the_same(
        local in prop::collection::vec(candidate(), 0..12),
    ) {
        let same: Vec<Candidate> = local.iter().map(|one| paced(*one, &Figures::default())).collect();
        prop_assert_eq!(&same, &local);
        let before = choose(&local, &[], CONSTRAINTS);
        prop_assert_eq!(choose_fitting(&local, &[], &[], CONSTRAINTS), before);
    }

    /// A request never goes to a target whose memory it overfills, nor to a full one while a better
    /// one is known.
    #[test]
    fn full_targets_get_nothing_while_others_fit(
        local in prop::collection::vec((candidate(), 0..5usize), 1..12),
    ) {
        let kinds = [Fit::Good, Fit::Reluctant, Fit::Unsteady, Fit::Full, Fit::Overfull];
        let fits: Vec<Fit> = local.iter().map(|(_, kind)| kinds[*kind]).collect();
        let local: Vec<Candidate> = local.into_iter().map(|(candidate, _)| candidate).collect();
        if let Choice::Local(at) = choose_fitting(&local, &fits, &[], CONSTRAINTS) {
            prop_assert!(fits[at] != Fit::Overfull);
            let best = fits.iter().min().unwrap();
            prop_assert!(fits[at] < Fit::Unsteady || fits[at] == *best);
        }
    }
}
