//! Learns how fast engines are, from their answers.
//!
//! Two figures are kept for each engine. Its *pace* is the time until an answer begins, divided by
//! the time that was expected at the nominal prefill rate; 1 is nominal, and more is slower. Its
//! *gap* is the time between two events of a running stream, which the pace does not show: an engine
//! that answers in time may still stall its streams during each prefill.
//!
//! A pace is a figure of the service, learned from all answers within about a second, times a factor
//! of the target. An instance sees about two answers per second of each engine, so the factor rests
//! on few samples: it is drawn towards 1, and returns to 1 without answers.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::id;

use super::{gaps::Gaps, line::Line};

/// Smallest and largest pace of a service, and of a single sample.
pub const PACE_RANGE: (f64, f64) = (0.1, 10.0);
/// Smallest and largest pace of a target relative to its service.
pub const FACTOR_RANGE: (f64, f64) = (0.25, 6.0);
/// Answers and events for which the report of one instance counts at most.
pub const MAX_REPORT_SAMPLES: u32 = 50;
/// Time without answers after which a figure has returned to the one that it is derived from.
pub const FIGURE_TTL: Duration = Duration::from_secs(10);
/// Time without answers after which a figure begins to return.
const FIGURE_HOLD: Duration = Duration::from_secs(2);
/// Times after which a sample has lost half of its weight. A service is learned within a second from
/// the answers of all its engines. Slow moments of an engine last for seconds, so its own samples
/// count for twice as long.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(1);
const TARGET_HALF_LIFE: Duration = Duration::from_secs(2);
/// Seconds of expected prefill for which the figure counts from which another one is derived.
const PRIOR_WEIGHT: f64 = 0.3;
/// Seconds of expected prefill for which each answer counts that another instance reports.
const REPORTED_WEIGHT: f64 = 0.03;
/// Least expected prefill, in seconds, of an answer that says something of the pace.
const MIN_EXPECTED: f64 = 0.002;
/// Least factor by which the fixed part of the time until an answer begins is told from the prefill.
/// Requests of others that are known late make the line flatter than it is.
const MIN_LINE_FACTOR: f64 = 0.4;
/// Largest fixed part of the time until an answer begins, in seconds.
const MAX_OVERHEAD: f64 = 0.5;
/// How many times slower a target's streams are at least and at most for what follows from that.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 4.0);
/// Longest time until an answer begins that counts, in seconds.
const MAX_TIME: f64 = 10.0;
/// Longest observed gap, in seconds; callers abandon streams earlier.
const MAX_GAP: f64 = 10.0;
/// Age of a gap reported by other instances at which it expires: two of their reports were lost.
const REPORTED_GAP_TTL: Duration = Duration::from_millis(1_500);
/// Age of the median of a service at which it is computed again.
const MEDIAN_TTL: Duration = Duration::from_millis(100);
/// Fewest targets with a gap of which a median says something.
const MIN_MEDIAN_TARGETS: usize = 3;
/// Change of a target's pace that is logged: a quarter.
const LOGGED_CHANGE: f64 = 1.25;
/// Shortest time between two log lines about one target, and most lines of one call.
const LOG_INTERVAL: Duration = Duration::from_secs(2);
const MAX_LOGGED: usize = 8;
/// Time after a target's start in which reports of others are ignored: they may be about its last
/// run.
const RESTART_GUARD: Duration = Duration::from_secs(1);
/// Time without observations after which a target is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A run of a target, and the service that it belongs to.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Service of the target.
    pub service: &'a str,
    /// Run of its process.
    pub incarnation: id::Incarnation,
}

/// Learned figures of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Factor by which prefills take longer than at the nominal rate.
    pub pace: f64,
    /// Factor for the waits by which requests are admitted. It differs from the pace where the
    /// service as a whole is faster than nominal: engines are then limited by their slots, and
    /// shorter expected waits would only admit more requests than they have slots for.
    pub wait_factor: f64,
    /// How many times slower the target is than the median of its service.
    pub slowness: f64,
    /// Typical time between two events of its streams; zero if unknown.
    pub gap: Duration,
    /// Time by which the typical one exceeds the median of the service.
    pub excess_gap: Duration,
    /// High quantile of that time over the last seconds; zero if unknown.
    pub high_gap: Duration,
    /// Time since the last observation, if there was one.
    pub age: Option<Duration>,
}

impl Default for Figures {
    /// Returns the figures of a target of which nothing is known.
    fn default() -> Self {
        Self {
            pace: 1.0,
            wait_factor: 1.0,
            slowness: 1.0,
            gap: Duration::ZERO,
            excess_gap: Duration::ZERO,
            high_gap: Duration::ZERO,
            age: None,
        }
    }
}

/// What an instance, or several together, observed of a target within a round of reports.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observed {
    /// Pace; meaningless without answers.
    pub pace: f64,
    /// Answers that the pace was learned from.
    pub answers: u32,
    /// High quantile of the time between events, in seconds; meaningless without events.
    pub gap: f64,
    /// Events that it was learned from.
    pub events: u32,
}

impl Observed {
    /// Returns the observations with no more samples than one instance's report counts for.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            answers: self.answers.min(MAX_REPORT_SAMPLES),
            events: self.events.min(MAX_REPORT_SAMPLES),
            ..self
        }
    }

    /// Returns the average of two observations, weighted by their samples.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        Self {
            pace: weighted((self.pace, self.answers), (other.pace, other.answers)),
            answers: self.answers.saturating_add(other.answers),
            gap: weighted((self.gap, self.events), (other.gap, other.events)),
            events: self.events.saturating_add(other.events),
        }
    }
}

/// A target whose pace changed by a quarter since it was logged last.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Name of the target.
    pub target: id::Target,
    /// Service of the target.
    pub service: id::Service,
    /// Pace that was logged last.
    pub before: f64,
    /// Pace of the service.
    pub service_pace: f64,
    /// Figures of the target.
    pub figures: Figures,
}

/// Learned figures of all targets and services that an instance sends requests to.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Reports of other instances, or entries of them, that were dropped so far.
    pub dropped: u64,
    services: IndexMap<id::Service, Service>,
    targets: IndexMap<id::Target, Target>,
}

#[derive(Debug, Default)]
struct Service {
    line: Line,
    pace: Ratio,
    medians: Medians,
}

/// Medians over the targets of a service.
#[derive(Debug, Clone, Copy)]
struct Medians {
    computed_at: Option<Instant>,
    factor: f64,
    /// Median of the typical gaps in seconds, if enough targets have one.
    gap: Option<f64>,
}

impl Default for Medians {
    fn default() -> Self {
        Self {
            computed_at: None,
            factor: 1.0,
            gap: None,
        }
    }
}

#[derive(Debug)]
struct Target {
    service: id::Service,
    incarnation: id::Incarnation,
    started_at: Instant,
    seen_at: Instant,
    pace: Ratio,
    gaps: Gaps,
    reported_gap: Option<ReportedGap>,
    /// Seconds taken and expected of the answers since the last report, and their number.
    unreported: (f64, f64, u32),
    logged: (f64, Option<Instant>),
}

#[derive(Debug, Clone, Copy)]
struct ReportedGap {
    seconds: f64,
    events: u32,
    at: Instant,
}

/// Ratio of two sums of seconds, in which older samples count less.
#[derive(Debug, Clone, Copy, Default)]
struct Ratio {
    taken: f64,
    expected: f64,
    at: Option<Instant>,
}

impl Ratio {
    fn add(&mut self, (taken, expected): (f64, f64), half_life: Duration, now: Instant) {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let left = (-age.as_secs_f64() / half_life.as_secs_f64()).exp2();
        self.taken = self.taken * left + taken;
        self.expected = self.expected * left + expected;
        self.at = Some(now);
    }

    /// Returns the ratio, drawn towards `prior`; without samples for a time it returns to it.
    fn value(&self, prior: f64, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return prior;
        };
        let drawn = (self.taken + prior * PRIOR_WEIGHT) / (self.expected + PRIOR_WEIGHT);
        prior + (drawn - prior) * freshness(now.saturating_duration_since(at))
    }
}

impl Capacity {
    /// Records that an answer began `took` after its request was sent, where `expected` was the
    /// time to prefill the prompts ahead and its own at the nominal rate.
    pub fn answer_began(&mut self, run: Run<'_>, expected: Duration, took: Duration, now: Instant) {
        let (expected, took) = (expected.as_secs_f64(), took.as_secs_f64());
        let service = self.services.entry(run.service.to_owned()).or_default();
        service.line.add(expected, took.min(MAX_TIME), 1.0, now);
        let (overhead, median) = (service.overhead(), service.medians.gap);
        let Some(target) = self.target(run, now) else {
            return;
        };
        if expected < MIN_EXPECTED {
            return;
        }
        // The first event takes as many steps as any other, and so longer where those are slow.
        let overhead = overhead * target.slowness(median, now);
        let taken = took - overhead;
        let taken = taken.clamp(expected * PACE_RANGE.0, expected * PACE_RANGE.1);
        target.pace.add((taken, expected), TARGET_HALF_LIFE, now);
        target.unreported.0 += taken;
        target.unreported.1 += expected;
        target.unreported.2 += 1;
        let service = self.services.entry(run.service.to_owned()).or_default();
        service.pace.add((taken, expected), SERVICE_HALF_LIFE, now);
    }

    /// Records the time between two events of a stream.
    pub fn event(&mut self, run: Run<'_>, gap: Duration, now: Instant) {
        let seconds = gap.as_secs_f64().min(MAX_GAP);
        if let Some(target) = self.target(run, now) {
            target.gaps.add(seconds, now);
        }
    }

    /// Merges what other instances observed of a target.
    pub fn merge(&mut self, run: Run<'_>, observed: Observed, now: Instant) {
        let observed = observed.bounded();
        let Some(target) = self.target(run, now) else {
            return;
        };
        if now.saturating_duration_since(target.started_at) < RESTART_GUARD {
            return;
        }
        if observed.events > 0 {
            target.reported_gap = Some(ReportedGap {
                seconds: observed.gap.clamp(0.0, MAX_GAP),
                events: observed.events,
                at: now,
            });
        }
        if observed.answers > 0 {
            let expected = f64::from(observed.answers) * REPORTED_WEIGHT;
            let taken = expected * observed.pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
            target.pace.add((taken, expected), TARGET_HALF_LIFE, now);
            let service = self.services.entry(run.service.to_owned()).or_default();
            service.pace.add((taken, expected), SERVICE_HALF_LIFE, now);
        }
    }

    /// Returns what was observed of targets since they were returned here last: of those with the most
    /// samples, at most `limit`.
    pub fn unreported(&mut self, limit: usize, now: Instant) -> Vec<(id::Target, Observed)> {
        let mut all: Vec<_> = self
            .targets
            .iter_mut()
            .filter(|(_, target)| target.samples() > 0)
            .collect();
        all.sort_by_key(|(_, target)| std::cmp::Reverse(target.samples()));
        let news = all
            .into_iter()
            .take(limit)
            .map(|(name, target)| (name.clone(), target.take_unreported(now).bounded()));
        news.filter(|(_, observed)| observed.answers > 0 || observed.events > 0)
            .collect()
    }

    /// Returns the figures of a target; those of an earlier run are not used.
    pub fn figures(&mut self, run: Run<'_>, now: Instant) -> Figures {
        self.refresh_medians(run.service, now);
        let service = self.services.get(run.service);
        let service_pace = service.map_or(1.0, |service| service.pace(now));
        let medians = service.map_or(Medians::default(), |service| service.medians);
        let target = self.targets.get_mut(run.target);
        let target = target.filter(|target| target.incarnation == run.incarnation);
        let Some(target) = target else {
            return Figures {
                pace: service_pace,
                wait_factor: service_pace.max(1.0),
                ..Figures::default()
            };
        };
        let factor = target.factor(service_pace, medians.gap, now);
        let gap = target.gaps.typical(now);
        let by_gap = medians
            .gap
            .zip(gap)
            .map_or(0.0, |(median, gap)| gap / median);
        Figures {
            pace: service_pace * factor,
            wait_factor: service_pace.max(1.0) * factor,
            slowness: (factor / medians.factor).max(by_gap),
            gap: seconds(gap),
            excess_gap: seconds(
                medians
                    .gap
                    .zip(gap)
                    .map(|(median, gap)| (gap - median).max(0.0)),
            ),
            high_gap: seconds(target.high_gap(now)),
            age: Some(now.saturating_duration_since(target.seen_at)),
        }
    }

    /// Returns the pace of each service.
    pub fn services(&self, now: Instant) -> impl Iterator<Item = (&id::Service, f64)> {
        let services = self.services.iter();
        services.map(move |(name, service)| (name, service.pace(now)))
    }

    /// Returns the figures of all targets, with their services.
    pub fn all(&mut self, now: Instant) -> Vec<(id::Target, id::Service, Figures)> {
        let runs = self
            .targets
            .iter()
            .map(|(name, target)| (name.clone(), target.service.clone(), target.incarnation));
        let runs: Vec<_> = runs.collect();
        let figures = runs.into_iter().map(|(target, service, incarnation)| {
            let run = Run {
                target: &target,
                service: &service,
                incarnation,
            };
            let figures = self.figures(run, now);
            (target, service, figures)
        });
        figures.collect()
    }

    /// Returns the targets whose pace changed by a quarter since it was returned here last.
    pub fn changes(&mut self, now: Instant) -> Vec<Change> {
        let is_due = |at: Option<Instant>| at.is_none_or(|at| at + LOG_INTERVAL <= now);
        let mut changes = Vec::new();
        for (name, service, figures) in self.all(now) {
            let service_pace = self.services.get(&service).map_or(1.0, |it| it.pace(now));
            let Some(target) = self.targets.get_mut(&name) else {
                continue;
            };
            let (before, at) = target.logged;
            let change = (figures.pace / before).max(before / figures.pace);
            if change < LOGGED_CHANGE || !is_due(at) || changes.len() >= MAX_LOGGED {
                continue;
            }
            target.logged = (figures.pace, Some(now));
            changes.push(Change {
                target: name,
                service,
                before,
                service_pace,
                figures,
            });
        }
        changes
    }

    /// Returns the entry of a run, which replaces an earlier run; `None` if a later one is known.
    fn target(&mut self, run: Run<'_>, now: Instant) -> Option<&mut Target> {
        let held = self.targets.get(run.target).map(|held| held.incarnation);
        if held.is_some_and(|held| held > run.incarnation) {
            return None;
        }
        if held != Some(run.incarnation) {
            let is_recent =
                |held: &Target| now.saturating_duration_since(held.seen_at) < IDLE_TIMEOUT;
            self.targets.retain(|_, held| is_recent(held));
            let is_restart = held.is_some();
            let new = Target::new(run, is_restart, now);
            self.targets.insert(run.target.to_owned(), new);
        }
        let target = self.targets.get_mut(run.target)?;
        target.seen_at = now;
        Some(target)
    }

    fn refresh_medians(&mut self, name: &str, now: Instant) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let computed_at = service.medians.computed_at;
        if computed_at.is_some_and(|at| now.saturating_duration_since(at) < MEDIAN_TTL) {
            return;
        }
        let pace = service.pace(now);
        let near = self
            .targets
            .values()
            .filter(|target| target.service == name);
        let gaps = near.clone().filter_map(|target| target.gaps.typical(now));
        let gaps: Vec<f64> = gaps.collect();
        let has_enough = gaps.len() >= MIN_MEDIAN_TARGETS;
        let gap = median(gaps).filter(|_| has_enough);
        let factors = near.map(|target| target.factor(pace, gap, now));
        let factor = median(factors.collect()).unwrap_or(1.0);
        service.medians = Medians {
            computed_at: Some(now),
            factor,
            gap,
        };
    }
}

impl Service {
    fn pace(&self, now: Instant) -> f64 {
        let pace = self.pace.value(1.0, now);
        pace.clamp(PACE_RANGE.0, PACE_RANGE.1)
    }

    /// Returns the fixed part of the time until an answer begins, in seconds.
    fn overhead(&self) -> f64 {
        let factor = self.line.factor().clamp(MIN_LINE_FACTOR, PACE_RANGE.1);
        self.line.fixed(factor).clamp(0.0, MAX_OVERHEAD)
    }
}

impl Target {
    fn new(run: Run<'_>, is_restart: bool, now: Instant) -> Self {
        // The first run that is seen here has no earlier one whose reports might arrive late.
        let guard_start = now.checked_sub(RESTART_GUARD).filter(|_| !is_restart);
        Self {
            service: run.service.to_owned(),
            incarnation: run.incarnation,
            started_at: guard_start.unwrap_or(now),
            seen_at: now,
            pace: Ratio::default(),
            gaps: Gaps::default(),
            reported_gap: None,
            unreported: (0.0, 0.0, 0),
            logged: (1.0, None),
        }
    }

    /// Returns the number of samples that were not reported yet.
    const fn samples(&self) -> u32 {
        self.unreported.2.saturating_add(self.gaps.unreported())
    }

    fn take_unreported(&mut self, now: Instant) -> Observed {
        let (taken, expected, answers) = std::mem::take(&mut self.unreported);
        let (gap, events) = self.gaps.take_unreported(now);
        let pace = if answers > 0 { taken / expected } else { 1.0 };
        Observed {
            pace,
            answers,
            gap,
            events,
        }
    }

    /// Returns the pace relative to that of the service, whose median gap is given.
    ///
    /// Streams show within a moment that an engine has become slower, and answers begin rarely; so
    /// the answers are weighed against what the streams show.
    fn factor(&self, service_pace: f64, median_gap: Option<f64>, now: Instant) -> f64 {
        let prior = service_pace * self.slowness(median_gap, now);
        let factor = self.pace.value(prior, now) / service_pace;
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }

    /// Returns how many times slower its streams are than those of the median target; 1 if unknown.
    fn slowness(&self, median_gap: Option<f64>, now: Instant) -> f64 {
        let gap = self.gaps.typical(now);
        let slowness = median_gap
            .zip(gap)
            .map_or(1.0, |(median, gap)| gap / median);
        slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
    }

    /// Returns the high quantile of the gaps in seconds, from own observations and those of others.
    fn high_gap(&mut self, now: Instant) -> Option<f64> {
        let own = self.gaps.high(now);
        let is_fresh =
            |held: &ReportedGap| now.saturating_duration_since(held.at) < REPORTED_GAP_TTL;
        let reported = self.reported_gap.filter(is_fresh);
        let reported = reported.map(|held| (held.seconds, held.events));
        match (own, reported) {
            (Some((own, events)), Some(reported)) => {
                let own = (own, events.min(MAX_REPORT_SAMPLES));
                Some(weighted(own, reported))
            }
            (own, reported) => own.or(reported).map(|(seconds, _)| seconds),
        }
    }
}

fn seconds(gap: Option<f64>) -> Duration {
    gap.map_or(Duration::ZERO, Duration::from_secs_f64)
}

/// Returns the average of two figures, weighted by their samples.
fn weighted((one, ones): (f64, u32), (other, others): (f64, u32)) -> f64 {
    let all = f64::from(ones) + f64::from(others);
    if all == 0.0 {
        return one;
    }
    (one * f64::from(ones) + other * f64::from(others)) / all
}

/// Returns how much of a figure of some age still counts.
fn freshness(age: Duration) -> f64 {
    let fading = FIGURE_TTL.saturating_sub(FIGURE_HOLD).as_secs_f64();
    let left = FIGURE_TTL.saturating_sub(age).as_secs_f64();
    (left / fading).min(1.0)
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
