//! Works out the rule of one connection as rules change.

use std::net::SocketAddr;

use tokio::sync::watch;

use super::{Rules, callers::Callers, rule::Rule};

/// The rule of one connection.
pub(super) type Watch = watch::Receiver<Rule>;

/// Works out the rule of one connection.
#[derive(Debug)]
pub(super) struct Resolver {
    rules: watch::Receiver<Rules>,
    /// Rules at the time at which the connection was taken.
    accepted_under: Rules,
    callers: Callers,
    /// Addresses of the calling end and of the proxy's.
    ends: (SocketAddr, SocketAddr),
    /// Whether it has been asked who calls, and the answer.
    identified: bool,
    caller: Option<String>,
}

impl Resolver {
    pub(super) fn new(
        rules: watch::Receiver<Rules>,
        callers: Callers,
        ends: (SocketAddr, SocketAddr),
    ) -> Self {
        let accepted_under = rules.borrow().clone();
        Self {
            rules,
            accepted_under,
            callers,
            ends,
            identified: false,
            caller: None,
        }
    }

    /// Tells whether the connection was dialled while its way up was stalled.
    ///
    /// Rules may have changed since: a task that starts late on a busy machine would take a connection
    /// of the cut for one that came after it, and pass on what its caller has written off.
    pub(super) async fn dialled_during_stall(&mut self) -> bool {
        let rules = self.accepted_under.clone();
        self.identify_caller(&rules).await;
        rules.rule(self.caller.as_deref()).up.stalled
    }

    /// Returns the rule as it is now.
    pub(super) async fn rule(&mut self) -> Rule {
        let rules = self.rules.borrow_and_update().clone();
        self.identify_caller(&rules).await;
        let mut rule = rules.rule(self.caller.as_deref());
        rule.refused |= rules.epoch != self.accepted_under.epoch;
        rule
    }

    /// Finds out who calls, once and only if these rules tell callers apart.
    async fn identify_caller(&mut self, rules: &Rules) {
        if rules.by_caller.is_empty() || self.identified {
            return;
        }
        let (callers, (peer, own)) = (self.callers.clone(), self.ends);
        let finding = tokio::task::spawn_blocking(move || callers.find(peer, own));
        self.caller = finding.await.unwrap_or_default();
        self.identified = true;
    }

    /// Keeps the rule up to date; ends with the proxy.
    pub(super) async fn run(mut self, sender: watch::Sender<Rule>) {
        while self.rules.changed().await.is_ok() {
            let rule = self.rule().await;
            if sender.send(rule).is_err() {
                return;
            }
        }
    }
}
