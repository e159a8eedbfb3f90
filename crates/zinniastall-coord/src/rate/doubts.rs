//! Doubts about what an instance believes of servers.
//!
//! A belief rests on the last report that arrived. It says nothing of what came later: the server's
//! process may have ended and started again, cold, and the instance may have missed messages. Until a
//! report is heard after that, or any cold start from that time has passed, the belief doesn't count.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Rate;
use crate::news::{News, Scope};

/// Longest time that a report usually takes from its server to an instance. A report that arrives
/// sooner after an event may have been sent before it.
pub const MAX_REPORT_DELAY: Duration = Duration::from_millis(400);
/// Interval at which a doubt that is observed again is renewed, here and at the other instances.
const RENEWAL: Duration = Duration::from_millis(500);
/// Time for which others aren't believed that a server has ended, once it proved that it had not.
const DISTRUST_TIME: Duration = Duration::from_secs(2);
/// Time for which a doubt is kept; no cold start lasts as long.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of servers. The oldest doubts are forgotten first.
const MAX_SERVERS: usize = 4_096;

/// How the servers of a service start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdStart {
    /// Rate that a cold server takes from all instances together; `None` for no limit.
    pub rate: Option<Rate>,
    /// Time for which a server is cold after its start.
    pub time: Duration,
}

/// What an instance can't rely on although no report contradicts it.
#[derive(Debug, Default)]
pub struct Doubts {
    /// When each server's process was last seen to have ended.
    ended: IndexMap<String, Instant>,
    /// When the request was sent by whose answer each server proved that it had not ended.
    contradicted: IndexMap<String, Instant>,
    /// Time before which this instance may have missed messages.
    missed: Option<Instant>,
    news: News<String>,
}

impl Doubts {
    /// Returns whether no server's process is in doubt.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty()
    }

    /// Records that a server's process had ended at a time, for instance because its address refused a
    /// connection; returns whether that is new.
    pub fn observe(&mut self, server: &str, ended: Instant) -> bool {
        self.record(server, ended, Some(Scope::All))
    }

    /// Records an answer to a request sent at a time, on a connection that was opened at a time; returns
    /// whether it contradicts that the server's process had ended. A path may refuse connections, too.
    ///
    /// An answer that is read late may have been written before the end, so the request counts.
    pub fn contradict(&mut self, server: &str, opened: Instant, sent_at: Instant) -> bool {
        let ended = self.ended.get(server).copied();
        let is_contradicted = ended.is_some_and(|ended| opened < ended && sent_at > ended);
        if is_contradicted {
            self.ended.swap_remove(server);
            self.contradicted.insert(server.to_owned(), sent_at);
        }
        is_contradicted
    }

    /// Merges what another instance observed; returns whether it is new.
    ///
    /// News is passed on to the instances in `scope`.
    pub fn merge(&mut self, server: &str, ended: Instant, scope: Option<Scope>) -> bool {
        let contradicted = self.contradicted.get(server);
        if contradicted.is_some_and(|at| ended < *at + DISTRUST_TIME) {
            return false;
        }
        self.record(server, ended, scope)
    }

    fn record(&mut self, server: &str, ended: Instant, scope: Option<Scope>) -> bool {
        let held = self.ended.get(server);
        if held.is_some_and(|held| ended < *held + RENEWAL) {
            return false;
        }
        if held.is_none() && self.ended.len() >= MAX_SERVERS {
            self.evict();
        }
        self.ended.insert(server.to_owned(), ended);
        if let Some(scope) = scope {
            self.news.schedule(server.to_owned(), scope);
        }
        true
    }

    /// Records that messages sent before a time may have been missed: this instance was suspended, was
    /// out of touch, or has just started.
    pub fn miss(&mut self, before: Instant) {
        self.missed = self.missed.max(Some(before));
    }

    /// Returns whether a server may have started again since it was last heard of, so that it may be
    /// cold.
    pub fn may_have_restarted(
        &self,
        server: &str,
        heard_at: Instant,
        start: ColdStart,
        now: Instant,
    ) -> bool {
        let ended = self.ended.get(server).copied();
        ended.is_some_and(|ended| is_open(ended, RENEWAL, heard_at, start, now))
    }

    /// Returns whether this instance may have missed that a server turned cold since it was last heard
    /// of. Others may know.
    pub fn may_have_missed(&self, heard_at: Instant, start: ColdStart, now: Instant) -> bool {
        let missed = self.missed;
        missed.is_some_and(|missed| is_open(missed, Duration::ZERO, heard_at, start, now))
    }

    /// Returns whether messages may have been missed within a time.
    pub fn has_missed_within(&self, time: Duration, now: Instant) -> bool {
        self.missed.is_some_and(|missed| now < missed + time)
    }

    /// Forgets the doubts that no cold start outlasts.
    pub fn expire(&mut self, now: Instant) {
        self.ended
            .retain(|_, ended| now.saturating_duration_since(*ended) < RETENTION);
        self.contradicted.retain(|_, at| now < *at + DISTRUST_TIME);
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the news to send now, with the time since each process had ended.
    pub fn news(&mut self, now: Instant) -> Vec<(Scope, String, Duration)> {
        let ended = &self.ended;
        self.news
            .take(|server| Some(now.saturating_duration_since(*ended.get(server)?)))
    }

    fn evict(&mut self) {
        let oldest = self.ended.values().enumerate().min_by_key(|(_, at)| **at);
        if let Some((at, _)) = oldest {
            self.ended.swap_remove_index(at);
        }
    }
}

/// Returns whether a doubt since a time, renewed at an interval, is neither settled by a later report
/// nor outlasts a cold start.
fn is_open(
    since: Instant,
    renewal: Duration,
    heard_at: Instant,
    start: ColdStart,
    now: Instant,
) -> bool {
    let is_settled = heard_at > since + MAX_REPORT_DELAY;
    let is_limited = start.rate.is_some();
    is_limited && !is_settled && now < since + renewal + start.time + MAX_REPORT_DELAY
}
