//! Which orders to send next: a pure decision over what targets hold and what they should.
//!
//! Entry instances report the targets that do not hold what the configuration says. A report is
//! read-back and trigger in one: as long as a target disagrees it is ordered again, and once it
//! agrees nobody mentions it any more.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::{fence::Fence, lease::Lease};
use zinniastall_model::{id, order::Order, state::State};
use zinniastall_wire::follow::Drift;

/// Most targets that are noted at once.
const MAX_TARGETS: usize = 16_384;
/// Time after which a target that is not reported any more is forgotten.
const REPORT_TTL: Duration = Duration::from_secs(10);
/// Time after an answered order within which reports may be older than what it did.
const REPORT_LAG: Duration = Duration::from_secs(4);
/// Seconds of a minute.
const SECONDS_PER_MINUTE: f64 = 60.0;

/// How orders are paced and guarded.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Kinds of targets that refuse an order with an old fencing number.
    pub checks: Vec<String>,
    /// Longest time that an order may take to reach a target.
    pub send: Duration,
    /// Loads a minute that the weight store can take, over the whole deployment.
    pub loads_per_minute: u64,
    /// Loads that may start at once.
    pub burst: u64,
}

/// An order on its way.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Whom it goes to.
    pub astray: Drift,
    /// What it says.
    pub order: Order,
    /// Its number.
    pub fence: Fence,
    /// First instant at which it must not be written any more.
    pub until: Instant,
}

#[derive(Debug)]
struct Entry {
    astray: Drift,
    heard: Instant,
    progress: Progress,
}

/// How far a target has come since it was reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// A report calls for an order.
    Reported,
    /// An order is on its way, or the target works on it.
    Ordered,
    /// The order was answered; reports count again from then on.
    Answered(Instant),
}

/// Targets to be ordered. Made anew by each leader.
#[derive(Debug)]
pub struct Orders {
    rules: Rules,
    entries: IndexMap<id::Target, Entry>,
    sequence: u32,
    leader_since: Instant,
    tokens: f64,
    refilled: Instant,
}

impl Orders {
    /// Starts with an empty budget: a new leader does not know what the last one spent, and two
    /// budgets together would overrun the weight store.
    pub fn new(rules: Rules, now: Instant) -> Self {
        Self {
            rules,
            entries: IndexMap::new(),
            sequence: 0,
            leader_since: now,
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Notes a target that does not hold what it should.
    pub fn note(&mut self, astray: Drift, now: Instant) {
        let known = self.entries.get(&astray.target);
        if known.is_none() && self.entries.len() >= MAX_TARGETS {
            return;
        }
        // A report that was under way while the target obeyed would order it a second time.
        let again = known.filter(|known| known.astray.incarnation == astray.incarnation);
        let progress = match again.map(|known| known.progress) {
            Some(Progress::Answered(since)) if now < since + REPORT_LAG => {
                Progress::Answered(since)
            }
            Some(Progress::Ordered) => Progress::Ordered,
            _ => Progress::Reported,
        };
        let entry = Entry {
            astray,
            heard: now,
            progress,
        };
        self.entries.insert(entry.astray.target.clone(), entry);
    }

    /// Notes that an order was answered, or that no answer will come.
    pub fn answered(&mut self, target: &str, now: Instant) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.progress = Progress::Answered(now);
        }
    }

    /// Returns the orders to send now.
    ///
    /// A target that ignores fencing numbers is ordered only under the lease, and by a new leader
    /// only after the lease before and the longest send are over: an order of the last leader that
    /// came later would undo the new one's.
    pub fn due(
        &mut self,
        state: &State,
        lease: Lease,
        window: Duration,
        now: Instant,
    ) -> Vec<Dispatch> {
        self.refill(now);
        self.entries.retain(|_, entry| {
            now < entry.heard + REPORT_TTL || entry.progress == Progress::Ordered
        });
        let is_settled = now >= self.leader_since + window + self.rules.send;
        let mut due: Vec<(bool, Drift, Order)> = Vec::new();
        for entry in self.entries.values() {
            let reported = entry.progress == Progress::Reported;
            let ready = reported && (is_settled || self.checks(&entry.astray.kind));
            let order = Order::for_target(state, &entry.astray.place, &entry.astray.target);
            let Some(order) = order.filter(|order| ready && !order.matches(&entry.astray.holding))
            else {
                continue;
            };
            let awaited = order
                .missing(&entry.astray.holding)
                .any(|model| Order::is_routed(state, &model.id));
            due.push((awaited, entry.astray.clone(), order));
        }
        // What requests may be waiting for goes before what is only loaded ahead.
        due.sort_by_key(|(awaited, _, _)| !awaited);
        due.into_iter()
            .map_while(|(_, astray, order)| self.dispatch(astray, order, lease))
            .collect()
    }

    fn checks(&self, kind: &str) -> bool {
        self.rules.checks.iter().any(|checks| checks == kind)
    }

    fn dispatch(&mut self, astray: Drift, order: Order, lease: Lease) -> Option<Dispatch> {
        let loads = u32::try_from(order.missing(&astray.holding).count()).unwrap_or(u32::MAX);
        if loads > 0 && self.tokens < 1.0 {
            return None;
        }
        // An order for more loads than the budget ever holds still goes, and is paid off after.
        self.tokens -= f64::from(loads);
        self.sequence += 1;
        let fence = Fence::new(lease.term, self.sequence).ok()?;
        if let Some(entry) = self.entries.get_mut(&astray.target) {
            entry.progress = Progress::Ordered;
        }
        Some(Dispatch {
            astray,
            order,
            fence,
            until: lease.until,
        })
    }

    fn refill(&mut self, now: Instant) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "settings bound both far below 2^52"
        )]
        let (rate, burst) = (self.rules.loads_per_minute as f64, self.rules.burst as f64);
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * rate / SECONDS_PER_MINUTE).min(burst);
        self.refilled = now;
    }
}
