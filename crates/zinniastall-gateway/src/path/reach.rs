//! Evidence of the paths to targets: from requests, and from probes in the background.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time;
use zinniastall_coord::reach::{Change, Probe, QUESTION_INTERVAL, State};
use zinniastall_http::probe;
use zinniastall_model::id;

use super::Proxy;
use crate::{decide::outlier::Record, reach::Path, view::View};

/// Interval at which due probes are started.
const PROBE_TICK: Duration = Duration::from_millis(25);
/// Longest delay of a probe of a lost path, so that instances that are cut off together don't probe
/// together.
const PROBE_SPREAD: Duration = Duration::from_millis(40);
/// Time that neighbours have to contradict that a target has crashed: two questions and answers, and
/// a probe in between.
const CONTRADICTION_TIME: Duration = Duration::from_millis(50);
/// Interval of the questions meanwhile.
const CONTRADICTION_INTERVAL: Duration = Duration::from_millis(15);

/// Longest wait of a request whose attempt failed for a probe or for neighbours: a few round trips.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Interval at which it checks meanwhile.
const SETTLE_INTERVAL: Duration = Duration::from_millis(2);

/// Probes paths when that is due; never returns.
pub async fn run(proxy: Rc<Proxy>) {
    let mut last_asked = Instant::now();
    loop {
        tokio::select! {
            () = time::sleep(PROBE_TICK) => {}
            () = proxy.reach.probes.notified() => {}
        }
        let now = Instant::now();
        let view = proxy.state.view();
        let near = view.targets.by_name().values().map(|known| &known.report);
        let near = near.filter(|report| report.place.region == view.place.region);
        let near = near.map(|report| report.target.as_str());
        proxy.reach.paths().borrow_mut().doubt_unheard(near, now);
        let dark = proxy.reach.paths().borrow_mut().lose_dark(now);
        for target in dark {
            proxy.record_path(&target, Change::Lost, "all targets are silent");
        }
        let due = proxy.reach.paths().borrow_mut().start_probes(now);
        if !due.is_empty() && last_asked + QUESTION_INTERVAL / 4 < now {
            last_asked = now;
            proxy.reach.questions.notify_one();
        }
        for target in due {
            tokio::task::spawn_local(probe_path(Rc::clone(&proxy), target));
        }
    }
}

async fn probe_path(proxy: Rc<Proxy>, target: id::Target) {
    let view = proxy.state.view();
    let reach = &proxy.reach;
    if reach.paths().borrow().state(&target) == State::Lost {
        time::sleep(PROBE_SPREAD.mul_f64(rand::rng().random())).await;
    }
    let probed = match address(&view, &target) {
        // It wants no requests, and a connection that opens shows as much of the path.
        Some((address, _)) if proxy.is_paused(&target) => {
            probe::stays_open(address).await.map(|()| true)
        }
        Some((address, path)) => probe::answers(address, path).await,
        None => Err(io::Error::other("the target is not known any more")),
    };
    proxy.metrics.count_path("probed");
    let (probe, why) = match probed {
        Ok(true) => (Probe::Answered, String::new()),
        Ok(false) => (Probe::Silent, String::new()),
        Err(error) => {
            proxy.observe_refusal(&target, &error);
            (Probe::Failed, error.to_string())
        }
    };
    let change = {
        let mut paths = reach.paths().borrow_mut();
        paths.probed(&target, probe, Instant::now())
    };
    if probe == Probe::Failed {
        // What neighbours heard in the meantime tells whether only this path is lost.
        reach.questions.notify_one();
    }
    proxy.record_path(&target, change, &why);
}

impl Proxy {
    /// Records that a connection to a target could not be opened.
    pub(super) fn path_failed(&self, target: &str, why: &str) {
        let change = {
            let mut paths = self.reach.paths().borrow_mut();
            paths.failed(target, Instant::now())
        };
        self.record_path(target, change, why);
    }

    /// Records that a target's process has ended if its address refused a connection.
    pub(super) fn observe_refusal(&self, target: &str, error: &io::Error) {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            self.rates.observe_end(target, Instant::now());
        }
    }

    /// Records that part of an answer arrived; `is_new` tells whether the connection was opened for the
    /// request.
    pub(super) fn path_heard(&self, target: &str, is_new: bool) {
        let change = {
            let mut paths = self.reach.paths().borrow_mut();
            paths.heard(target, is_new, Instant::now())
        };
        self.record_path(target, change, "");
    }

    fn record_path(&self, target: &str, change: Change, why: &str) {
        match change {
            Change::None => {}
            Change::Lost => {
                tracing::warn!(event = "path-lost", target, why);
                self.metrics.count_path("lost");
                self.reach.probes.notify_one();
                self.reach.questions.notify_one();
            }
            Change::Back => {
                tracing::info!(event = "path-back", target);
                self.metrics.count_path("back");
                // What failed meanwhile was the path's fault, not the target's.
                if let Some(account) = self.tracker.borrow_mut().find(target) {
                    account.record = Record::default();
                    account.blocked_until = None;
                    account.accepted();
                }
            }
        }
    }

    /// Waits until neighbours could have contradicted that a target crashed at a time, and returns
    /// whether one did.
    pub(super) async fn is_contradicted(&self, target: &str, at: Instant) -> bool {
        self.path_failed(target, "the connection broke and the next one is refused");
        self.rates.observe_end(target, Instant::now());
        let reach = &self.reach;
        reach.ask_since(target, at);
        let until = Instant::now() + CONTRADICTION_TIME;
        let mut is_contradicted = false;
        while !is_contradicted && Instant::now() < until {
            time::sleep(CONTRADICTION_INTERVAL).await;
            reach.questions.notify_one();
            let paths = reach.paths().borrow();
            is_contradicted = paths.is_alive_since(target, Some(at), Instant::now());
        }
        reach.end_asking(target);
        is_contradicted
    }

    /// Waits, for a moment at most, until it is known how a target is reached on whose path an attempt
    /// has just failed.
    pub(super) async fn settle_path(&self, target: &str) {
        let until = Instant::now() + SETTLE_TIME;
        while Instant::now() < until {
            let view = self.state.view();
            let path = self.reach.path(&view, target, |_| true, Instant::now());
            let is_suspect = self.reach.paths().borrow().state(target) == State::Suspect;
            if matches!(path, Path::Detour(_)) || (path == Path::Direct && !is_suspect) {
                return;
            }
            time::sleep(SETTLE_INTERVAL).await;
        }
    }
}

/// Returns the address and the health path of a target.
pub(super) fn address<'a>(view: &'a View, target: &str) -> Option<(&'a str, &'a str)> {
    let report = &view.targets.by_name().get(target)?.report;
    let service = view.table()?.service(&report.service)?;
    Some((&report.address, &service.health_path))
}
