//! Client of `/v1/locate`: asks the system which of its instances to use.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::Client;
use rand::{Rng, rngs::StdRng};
use serde::Deserialize;

use crate::settings::Source;

/// Tickets requested with each answer.
const TICKETS: usize = 32;
/// Shortest time for which an answer is used, so that one with a wrong validity does not cause
/// endless requests.
const MIN_VALIDITY: Duration = Duration::from_millis(100);

/// Longest wait for one instance's answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The latest answer of the system to one source.
#[derive(Debug, Default)]
pub struct Directory {
    instances: Vec<Instance>,
    tickets: Vec<String>,
    valid_until: Option<Instant>,
}

#[derive(Debug, Deserialize)]
struct Instance {
    region: String,
    zone: String,
    callers: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
struct Answer {
    instances: Vec<Instance>,
    valid_ms: u64,
    #[serde(default)]
    tickets: Vec<String>,
}

/// Where to send a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Address.
    pub address: String,
    /// Ticket, for a request that may run at most once.
    pub ticket: Option<String>,
}

impl Directory {
    /// Chooses an instance by weight; asks again when the last answer has expired or its tickets
    /// are used up.
    pub async fn choose(
        &mut self,
        client: &Client,
        entries: &[SocketAddr],
        source: &Source,
        rng: &mut StdRng,
    ) -> Option<Choice> {
        let valid = self
            .valid_until
            .is_some_and(|valid_until| Instant::now() < valid_until);
        let tickets = source.idempotent || !self.tickets.is_empty();
        if !valid || !tickets {
            self.refresh(client, entries, source).await;
        }
        let address = self.pick_weighted(rng)?;
        let ticket = if source.idempotent {
            None
        } else {
            Some(self.tickets.pop()?)
        };
        Some(Choice { address, ticket })
    }

    /// Asks the instances of the last answer, then those of the settings, until one answers.
    async fn refresh(&mut self, client: &Client, entries: &[SocketAddr], source: &Source) {
        let known = self
            .instances
            .iter()
            .map(|instance| instance.callers.clone());
        let entries = entries.iter().map(SocketAddr::to_string);
        for address in known.chain(entries).collect::<Vec<_>>() {
            let Some(mut answer) = locate(client, &address, source).await else {
                continue;
            };
            // A ticket is valid at its issuer only. With one from another region the request would
            // have to go there and back, and it may not be allowed to leave its region.
            let local = answer
                .instances
                .iter()
                .find(|instance| source.is_local(&instance.region));
            if let Some(local) =
                local.filter(|local| !source.idempotent && local.callers != address)
            {
                let issued = locate(client, &local.callers, source).await;
                answer.tickets = issued.map(|answer| answer.tickets).unwrap_or_default();
            }
            let valid = Duration::from_millis(answer.valid_ms).max(MIN_VALIDITY);
            self.valid_until = Some(Instant::now() + valid);
            self.instances = answer.instances;
            self.tickets = answer.tickets;
            return;
        }
    }

    /// Draws by weight among the nearest instances, those in the zone of the first one: the answer
    /// lists the nearest first, and weights are comparable within a zone only.
    fn pick_weighted(&self, rng: &mut StdRng) -> Option<String> {
        let first = self.instances.first()?;
        let in_first_zone =
            |other: &&Instance| (&other.region, &other.zone) == (&first.region, &first.zone);
        let nearest = || self.instances.iter().filter(in_first_zone);
        let sum: f64 = nearest().map(|instance| instance.weight).sum();
        let mut point = rng.random::<f64>() * sum;
        for instance in nearest() {
            point -= instance.weight;
            if point <= 0.0 {
                return Some(instance.callers.clone());
            }
        }
        Some(first.callers.clone())
    }
}

async fn locate(client: &Client, address: &str, source: &Source) -> Option<Answer> {
    let url = format!("http://{address}/v1/locate?{}", query(source));
    let request = async {
        let mut response = client.get(url).bearer_auth(&source.key).send().await.ok()?;
        response.json::<Answer>().await.ok()
    };
    // A frozen or partitioned instance must not delay the request to the next one.
    tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok()?
}

fn query(source: &Source) -> String {
    let mut parts = vec![format!("subject={}", source.model)];
    let place = [("region", &source.region), ("zone", &source.zone)];
    for (name, value) in place {
        parts.extend(value.as_ref().map(|value| format!("{name}={value}")));
    }
    if !source.idempotent {
        parts.push(format!("tickets={TICKETS}"));
    }
    parts.join("&")
}
