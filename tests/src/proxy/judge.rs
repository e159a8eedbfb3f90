//! Works out the rule of one connection as rules change.

use std::net::SocketAddr;

use tokio::sync::watch;

use super::{Rules, callers::Callers, rule::Rule};

/// The rule of one connection.
pub(super) type Watch = watch::Receiver<Rule>;

/// Works out the rule of one connection.
#[derive(Debug)]
pub(super) struct Judge {
    rules: watch::Receiver<Rules>,
    callers: Callers,
    /// Addresses of the calling end and of the proxy's.
    ends: (SocketAddr, SocketAddr),
    /// Whether it has been asked who calls, and the answer.
    asked: bool,
    caller: Option<String>,
    epoch: u64,
}

impl Judge {
    pub(super) fn new(
        rules: watch::Receiver<Rules>,
        callers: Callers,
        ends: (SocketAddr, SocketAddr),
    ) -> Self {
        let epoch = rules.borrow().epoch;
        Self {
            rules,
            callers,
            ends,
            asked: false,
            caller: None,
            epoch,
        }
    }

    /// Returns the rule as it is now.
    pub(super) async fn rule(&mut self) -> Rule {
        let rules = self.rules.borrow_and_update().clone();
        if !rules.by_caller.is_empty() && !self.asked {
            let (callers, (peer, own)) = (self.callers.clone(), self.ends);
            let finding = tokio::task::spawn_blocking(move || callers.find(peer, own));
            self.caller = finding.await.unwrap_or_default();
            self.asked = true;
        }
        let mut rule = rules.rule(self.caller.as_deref());
        rule.refused |= rules.epoch != self.epoch;
        rule
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
