//! Exchange of room between regions; the decisions are in [`zinniastall_coord::overflow`].
//!
//! In each region, the two collectors of the first zone by name that has live instances are the
//! region's leaders ([`leaders`]), of which one acts. Instances report their need to their leaders
//! ([`messages::Need`]). Five times a second, the acting leader computes its region's room
//! ([`rooms`]), divides it among the regions that need it, and sends each region's leaders its room,
//! its need and their grants ([`messages::Room`]). Grants that it received itself go to the
//! instances of its zone and, by the collectors of the other zones, to theirs
//! ([`messages::Grant`]). Each instance spends its part as tokens ([`wallet`]).

mod exchange;
pub mod leaders;
pub mod messages;
mod rooms;
pub mod wallet;

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use zinniastall_coord::overflow::Amount;
use zinniastall_model::id;

pub use self::exchange::{Exchange, Inputs};
use self::{messages::Invalid, wallet::Wallet};
use crate::{metrics::Metrics, request_log::millis, view::View};

/// What the request path and the exchange share.
#[derive(Debug, Default)]
pub struct Overflow {
    /// Tokens and need of this instance.
    pub wallet: RefCell<Wallet>,
    metrics: Metrics,
    dropped: RefCell<Dropped>,
}

/// Rate limit of the log lines about dropped messages.
#[derive(Debug, Default)]
struct Dropped {
    logged_at: Option<std::time::Instant>,
    unlogged: u32,
}

/// Shortest time between two log lines about dropped messages.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl Overflow {
    /// Creates the state of an instance that has no grants.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            wallet: RefCell::default(),
            metrics,
            dropped: RefCell::default(),
        }
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Counts and logs a message whose content is not used.
    fn drop_message(&self, sender: SocketAddr, message: &'static str, reason: &Invalid) {
        self.metrics.count_overflow_dropped(reason.as_str());
        let now = std::time::Instant::now();
        let mut dropped = self.dropped.borrow_mut();
        let is_due = |at| now.saturating_duration_since(at) >= DROP_LOG_INTERVAL;
        if !dropped.logged_at.is_none_or(is_due) {
            dropped.unlogged += 1;
            return;
        }
        let unlogged = std::mem::take(&mut dropped.unlogged);
        dropped.logged_at = Some(now);
        tracing::warn!(
            event = "overflow-dropped",
            message,
            %sender,
            reason = %reason,
            unlogged
        );
    }
}

/// What is logged of the room of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Shown {
    room: Amount,
    need: Amount,
    lent: Amount,
    borrowed: Amount,
    targets: usize,
    oldest_report: Duration,
}

impl Shown {
    /// Returns whether an amount differs so much from that logged last that it is logged again.
    fn differs(&self, last: &Self) -> bool {
        let amounts = |shown: &Self| [shown.room, shown.need, shown.lent, shown.borrowed];
        let pairs = amounts(self).into_iter().zip(amounts(last));
        let mut changed = pairs.map(|(new, old)| {
            let (less, more) = (
                new.requests.min(old.requests),
                new.requests.max(old.requests),
            );
            // A change by a quarter.
            (more - less) * 4 > more
        });
        changed.any(|changed| changed)
    }

    fn log(&self, view: &View, service: &id::Service, round: u32) {
        tracing::info!(
            event = "region-room",
            region = view.place.region,
            service,
            round,
            targets = self.targets,
            oldest_report_ms = millis(self.oldest_report),
            room = self.room.requests / 1_000,
            room_work_ms = self.room.work / 1_000,
            need = self.need.requests / 1_000,
            need_work_ms = self.need.work / 1_000,
            lent = self.lent.requests / 1_000,
            lent_work_ms = self.lent.work / 1_000,
            borrowed = self.borrowed.requests / 1_000,
            borrowed_work_ms = self.borrowed.work / 1_000,
        );
    }
}
