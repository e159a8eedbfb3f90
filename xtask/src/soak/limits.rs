//! Targets that name a rate now and then, and a count of what they got meanwhile.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use serde_json::Value;

use super::{faults::Fault, system::System};

/// Rates that targets name, in requests per second.
const RATES: [&str; 3] = ["0.5", "2", "8"];
/// Probability that a target names another rate, or none, after a fault.
const CHANGE_RATE: f64 = 0.2;
/// Time after which a rate holds that was named, whatever happens to instances.
const SETTLING: Duration = Duration::from_secs(5);
/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// A time in which a target named a rate, in milliseconds since 1970.
#[derive(Debug, Clone)]
struct Period {
    target: String,
    rate: f64,
    from: u64,
    to: u64,
}

/// Rates that targets name, and those that they named before.
#[derive(Debug, Default)]
pub(super) struct Limits {
    current: IndexMap<String, (f64, u64)>,
    past: Vec<Period>,
}

impl Limits {
    /// Has the first target of each zone name a rate if it names none, and changes some.
    pub(super) async fn step(&mut self, system: &mut System, random: &mut StdRng) {
        let targets = system.targets.clone();
        for target in targets.iter().filter(|target| target.ends_with("-1")) {
            let is_named = self.current.contains_key(target);
            if is_named && !random.random_bool(CHANGE_RATE) {
                continue;
            }
            self.end(target);
            let rate = RATES.choose(random).filter(|_| !is_named).copied();
            let named = system.cluster.name_rate(target, rate).await;
            if let (Ok(()), Some(rate)) = (named, rate) {
                let rate = rate.parse().unwrap_or_default();
                self.current.insert(target.clone(), (rate, unix_ms()));
            }
        }
    }

    /// Ends the counts that a fault spoils: those of a target that forgets its rate or handles waiting
    /// requests at once, and those of a zone in which requests are held up on their way.
    pub(super) fn before(&mut self, fault: &Fault) {
        let targets: Vec<String> = self.current.keys().cloned().collect();
        let spoils = |target: &String| match fault {
            Fault::Kill(name, _)
            | Fault::Upgrade(name, _)
            | Fault::Freeze(name, _)
            | Fault::Stop(name)
            | Fault::Slow(name, _)
            | Fault::Reset(name) => name == target,
            Fault::OneWay(name, _) => is_in_zone_of(target, name),
            Fault::Cut(entries, is_reset, _) => {
                !is_reset && entries.iter().any(|entry| is_in_zone_of(target, entry))
            }
            Fault::Partition(..) | Fault::Tear(..) => false,
        };
        for target in targets.iter().filter(|target| spoils(target)) {
            self.end(target);
        }
    }

    fn end(&mut self, target: &str) {
        if let Some((rate, from)) = self.current.swap_remove(target) {
            self.past.push(Period {
                target: target.to_owned(),
                rate,
                from,
                to: unix_ms(),
            });
        }
    }

    /// Ends all counts; returns how many targets got more than one and a half times the rate and five
    /// requests in some span.
    pub(super) async fn exceeded(&mut self, system: &mut System) -> eyre::Result<usize> {
        let targets: Vec<String> = self.current.keys().cloned().collect();
        for target in &targets {
            self.end(target);
        }
        let mut exceeded = 0;
        for period in self.past.clone() {
            let ledger = system.cluster.ledger(&period.target).await?;
            let most = most_in_span(&ledger, &period);
            let permitted = period.rate * SPAN.as_secs_f64() * 1.5 + 5.0;
            if f64::from(most) > permitted {
                println!("soak: {most} requests in {SPAN:?} of {permitted}: {period:?}");
                exceeded += 1;
            }
        }
        Ok(exceeded)
    }

    /// Returns the number of periods that were long enough to be counted.
    pub(super) fn counted(&self) -> usize {
        let counts = |period: &&Period| period.to > period.from + millis(SETTLING + SPAN);
        self.past.iter().filter(counts).count()
    }
}

fn most_in_span(ledger: &[Value], period: &Period) -> u32 {
    let counts = period.from + millis(SETTLING)..period.to;
    let starts = ledger.iter().filter_map(|run| run["started"].as_u64());
    let mut starts: Vec<u64> = starts.filter(|at| counts.contains(at)).collect();
    starts.sort_unstable();
    let within = |(at, first): (usize, &u64)| {
        let later = starts[at..].iter();
        let within = later.take_while(|later| **later < first + millis(SPAN));
        u32::try_from(within.count()).unwrap_or(u32::MAX)
    };
    starts.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Returns whether a target is in the zone of an entry instance, by their names.
pub(super) fn is_in_zone_of(target: &str, entry: &str) -> bool {
    let zone = entry.rsplit_once('-').map_or("", |(zone, _)| zone);
    target.contains(zone)
}

pub(super) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, millis)
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
