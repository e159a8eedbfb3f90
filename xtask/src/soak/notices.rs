//! Targets that ask for pauses, or say that they leave, now and then; and a count of what they got
//! meanwhile.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, rngs::StdRng};
use serde_json::json;

use super::{
    faults::Fault,
    limits::{is_in_zone_of, millis, unix_ms},
    system::System,
};

/// Pause that targets ask for.
const PAUSE: (&str, Duration) = ("4", Duration::from_secs(4));
/// Probability that a target begins or ends to ask for something, after a fault.
const CHANGE_RATE: f64 = 0.4;
/// Time after a rejection from which no more than [`WITHIN_PAUSE`] requests may come.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests within a pause of two instances: two each, and four that each had sent when it was asked for
/// the first time meanwhile.
const WITHIN_PAUSE: usize = 2 * (2 + 4);
/// Time after which no instance sends to a target that leaves.
const TOLD: Duration = Duration::from_secs(3);

/// What a target asks for; leaving, since when, in milliseconds since 1970.
#[derive(Debug, Clone, Copy)]
enum Notice {
    Pause,
    Leaving(u64),
}

/// What targets ask for, and how often instances didn't heed it.
#[derive(Debug, Default)]
pub(super) struct Notices {
    current: IndexMap<String, Notice>,
    /// Number of notices that were long enough to be counted.
    pub(super) counted: usize,
    /// Number of notices that were not heeded.
    pub(super) ignored: usize,
}

impl Notices {
    /// Has the second target of each zone begin to ask for something, or end it.
    pub(super) async fn step(
        &mut self,
        system: &mut System,
        random: &mut StdRng,
    ) -> eyre::Result<()> {
        let targets = system.targets.clone();
        for target in targets.iter().filter(|target| target.ends_with("-2")) {
            if !random.random_bool(CHANGE_RATE) {
                continue;
            }
            if self.current.contains_key(target) {
                self.end(system, target).await?;
                // Leaving holds for the run.
                system.cluster.target(target)?.restart().await?;
                continue;
            }
            let (notice, fields) = if random.random() {
                (Notice::Pause, json!({"pause": PAUSE.0}))
            } else {
                (Notice::Leaving(unix_ms()), json!({"leaving": "1"}))
            };
            if system.cluster.have_say(target, &fields).await.is_ok() {
                self.current.insert(target.clone(), notice);
            }
        }
        Ok(())
    }

    /// Ends what a fault spoils: at a target that forgets what it asked for, in a zone whose instances
    /// forget it, or in which requests are held up on their way.
    pub(super) async fn before(&mut self, system: &mut System, fault: &Fault) -> eyre::Result<()> {
        let targets: Vec<String> = self.current.keys().cloned().collect();
        let spoils = |target: &String| match fault {
            Fault::Kill(name, _)
            | Fault::Upgrade(name, _)
            | Fault::Freeze(name, _)
            | Fault::Stop(name)
            | Fault::Slow(name, _)
            | Fault::Reset(name)
            | Fault::OneWay(name, _) => name == target || is_in_zone_of(target, name),
            Fault::Cut(entries, ..) => entries.iter().any(|entry| is_in_zone_of(target, entry)),
            Fault::Partition(..) | Fault::Tear(..) => false,
        };
        for target in targets.iter().filter(|target| spoils(target)) {
            self.end(system, target).await?;
            system.cluster.target(target)?.restart().await?;
        }
        Ok(())
    }

    /// Ends all; returns how many were not heeded.
    pub(super) async fn settle(&mut self, system: &mut System) -> eyre::Result<usize> {
        let targets: Vec<String> = self.current.keys().cloned().collect();
        for target in &targets {
            self.end(system, target).await?;
        }
        Ok(self.ignored)
    }

    async fn end(&mut self, system: &mut System, target: &str) -> eyre::Result<()> {
        let Some(notice) = self.current.swap_remove(target) else {
            return Ok(());
        };
        let is_heeded = match notice {
            Notice::Pause => {
                let rejected = system.cluster.rejected(target).await?;
                self.counted += usize::from(!rejected.is_empty());
                most_within_pause(&rejected) <= WITHIN_PAUSE
            }
            Notice::Leaving(since) => {
                let runs = system.cluster.ledger(target).await?;
                let starts = runs.iter().filter_map(|run| run["started"].as_u64());
                let starts: Vec<u64> = starts.filter(|at| *at >= since).collect();
                let told = starts.iter().min();
                self.counted += usize::from(told.is_some());
                let is_late = |at: &u64| told.is_some_and(|told| *at > told + millis(TOLD));
                !starts.iter().any(is_late)
            }
        };
        if !is_heeded {
            println!("soak: {target} was not left alone: {notice:?}");
            self.ignored += 1;
        }
        Ok(())
    }
}

/// Returns the largest number of requests that came within a pause after one was rejected.
fn most_within_pause(rejected: &[u64]) -> usize {
    let within = |at: &u64| {
        let pause = at + millis(UNDER_WAY)..at + millis(PAUSE.1);
        rejected.iter().filter(|at| pause.contains(at)).count()
    };
    rejected.iter().map(within).max().unwrap_or(0)
}
