//! The plan of an experiment: when each request starts and which prompt it sends.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::settings::{Experiment, Source};

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number in the plan; makes its prompt unique.
    pub number: u64,
    /// When it starts, counted from the start of the warm-up.
    pub at: Duration,
    /// Index of its source.
    pub source: usize,
    /// Number of the shared prefix that its prompt has.
    pub prefix: u64,
    /// Whether it starts in the measured time.
    pub measured: bool,
}

/// Makes the plan of an experiment, sorted by time; equal seeds give equal plans.
pub fn make(experiment: &Experiment) -> Vec<Arrival> {
    let sources = experiment.sources.iter().enumerate();
    let mut plan: Vec<Arrival> = sources
        .flat_map(|(index, source)| arrivals(experiment, index, source))
        .collect();
    plan.sort_by_key(|arrival| (arrival.at, arrival.source));
    for (number, arrival) in (0..).zip(&mut plan) {
        arrival.number = number;
    }
    plan
}

fn arrivals(experiment: &Experiment, index: usize, source: &Source) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(experiment.seed ^ ((index as u64 + 1) << 32));
    let end = experiment.warmup + experiment.duration;
    let end = source.until.map_or(end, |until| until.min(end));
    let mut at = source.from;
    let mut arrivals = Vec::new();
    if source.rate <= 0.0 {
        return arrivals;
    }
    loop {
        at += interarrival_time(source, &mut rng);
        if at >= end {
            return arrivals;
        }
        arrivals.push(Arrival {
            number: 0,
            at,
            source: index,
            prefix: rng.random_range(0..source.prefixes.max(1)),
            measured: at >= experiment.warmup,
        });
    }
}

/// Returns the time to the next arrival: exponentially distributed for Poisson arrivals.
fn interarrival_time(source: &Source, rng: &mut StdRng) -> Duration {
    let mean = 1.0 / source.rate;
    if source.poisson {
        let uniform: f64 = rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() * mean)
    } else {
        Duration::from_secs_f64(mean)
    }
}
