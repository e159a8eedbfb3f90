//! Announces a target to an entry instance of its zone, renews its lease and withdraws it.
//!
//! One instance at a time receives the announcements. When it does not answer, the next of the
//! instances that the last answer named is tried, so that the loss of an instance does not lose the
//! target.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{ledger::unix_ms, settings::Announce, slots::Slots};

/// Longest wait for an entry instance's answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next instance is tried after one did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Shortest and longest time between two announcements, whatever an answer asks for.
const RENEWAL_BOUNDS_MS: (u64, u64) = (10, 60_000);

/// Path that answers whether the process is alive.
pub(crate) const HEALTH_PATH: &str = "/health";

/// What a target announces besides its load.
pub trait Capabilities: Send + Sync {
    /// Returns the role.
    fn role(&self) -> String;
    /// Returns the models or the service that it serves, in the form of the announcement.
    fn serves(&self) -> Value;
    /// Returns the digests of cached prefixes, most recently used last.
    fn prefixes(&self) -> Vec<u64>;
}

/// Announces one target and renews its lease.
#[derive(Clone)]
pub struct Announcer {
    settings: Announce,
    address: SocketAddr,
    slots: Slots,
    capabilities: Arc<dyn Capabilities>,
    incarnation: u64,
    leaving: Arc<AtomicBool>,
}

impl std::fmt::Debug for Announcer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Announcer({})", self.settings.target)
    }
}

/// Answer of an entry instance to an announcement.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    lease_ms: u64,
    renew_ms: u64,
    instances: Vec<SocketAddr>,
}

impl Announcer {
    /// Creates an announcer of a target that is bound to `address`.
    pub fn new(
        settings: &Announce,
        address: SocketAddr,
        slots: Slots,
        capabilities: Arc<dyn Capabilities>,
    ) -> Self {
        Self {
            address: settings.advertise.unwrap_or(address),
            settings: settings.clone(),
            slots,
            capabilities,
            incarnation: unix_ms(),
            leaving: Arc::default(),
        }
    }

    /// Announces the target and renews its lease until the task is aborted.
    pub async fn run(self) {
        let mut instances = self.settings.instances.clone();
        let mut sequence = 0;
        let mut announced = false;
        while !instances.is_empty() {
            sequence += 1;
            let Some(answer) = self.announce(instances[0], sequence).await else {
                instances.rotate_left(1);
                announced = false;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            if !announced {
                announced = true;
                tracing::info!(event = "announced", instance = %instances[0]);
            }
            instances = self.candidates(instances[0], answer.instances);
            let renew_ms = answer
                .renew_ms
                .clamp(RENEWAL_BOUNDS_MS.0, RENEWAL_BOUNDS_MS.1);
            tokio::time::sleep(Duration::from_millis(renew_ms)).await;
        }
    }

    /// Tells the first entry instance that answers, of those in the settings, to send the target no
    /// new requests.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        let body = json!({"target": self.settings.target, "incarnation": self.incarnation});
        for instance in &self.settings.instances {
            if post(*instance, "/v1/targets/leave", &body).await.is_some() {
                tracing::info!(event = "left", instance = %instance);
                return;
            }
        }
    }

    async fn announce(&self, instance: SocketAddr, sequence: u64) -> Option<Answer> {
        let body = self.body(sequence);
        let answer = post(instance, "/v1/targets/announce", &body).await?;
        serde_json::from_value(answer).ok()
    }

    fn body(&self, sequence: u64) -> Value {
        let hex = |digest: &u64| format!("{digest:016x}");
        let prefixes: Vec<String> = self.capabilities.prefixes().iter().map(hex).collect();
        json!({
            "target": self.settings.target,
            "incarnation": self.incarnation,
            "sequence": sequence,
            "address": self.address,
            "health_path": HEALTH_PATH,
            "kind": self.settings.kind,
            "software": self.settings.software,
            "role": self.capabilities.role(),
            "serves": self.capabilities.serves(),
            "slots": self.slots.slots(),
            "busy": self.slots.lagged_load(self.settings.report_lag),
            "price": self.settings.price,
            "leaving": self.leaving.load(Ordering::Acquire),
            "cache": {"gap": self.settings.cache_gap, "prefixes": prefixes},
        })
    }

    /// Returns the instances to try, in order: `first`, which has answered, the ones `known` from
    /// its answer, then those of the settings.
    fn candidates(&self, first: SocketAddr, known: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut instances = vec![first];
        for instance in known.into_iter().chain(self.settings.instances.clone()) {
            if !instances.contains(&instance) {
                instances.push(instance);
            }
        }
        instances
    }
}

async fn post(instance: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = client.post(format!("http://{instance}{path}"));
    let mut answer = match request.force_close().send_json(body).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::debug!(event = "announce-failed", instance = %instance, error = %error);
            return None;
        }
    };
    let status = answer.status();
    let body = answer.json().await.ok();
    if !status.is_success() {
        tracing::warn!(event = "announce-refused", instance = %instance, status = status.as_u16());
        return None;
    }
    body
}
