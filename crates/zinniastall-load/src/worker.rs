//! A sending thread: sends each request when the pacing thread hands it over.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use futures_util::{StreamExt, stream::FuturesUnordered};
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::mpsc;

use zinniastall_http::pool::Pool;

use crate::{
    call::{Call, Sample},
    locate::{Choice, Directory},
    outcome::Outcome,
    plan::Arrival,
    prompt,
    settings::{Experiment, Variant},
    tally::{Observation, Tally},
};

/// Time after which idle connections are closed; shorter than the usual keep-alive of HTTP
/// servers, so that a request rarely uses a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// An arrival and the time at which it is due.
pub(crate) type DueArrival = (Arrival, Instant);

/// State of a sending thread.
struct Worker {
    experiment: Arc<Experiment>,
    variant: Variant,
    client: Client,
    pool: Pool,
    /// One for each source.
    directories: Vec<RefCell<Directory>>,
    rng: RefCell<StdRng>,
    tally: RefCell<Tally>,
}

/// Sends requests as they are handed over, until the channel is closed and all of them have ended.
pub(crate) async fn run(
    experiment: Arc<Experiment>,
    variant: Variant,
    number: u64,
    mut due: mpsc::UnboundedReceiver<DueArrival>,
) -> Tally {
    let connector = Connector::new()
        .limit(0)
        .timeout(experiment.timeout)
        .conn_keep_alive(IDLE_TIMEOUT);
    let client = Client::builder()
        .connector(connector)
        .timeout(experiment.timeout)
        .disable_redirects()
        .finish();
    let sources = experiment.sources.len();
    let worker = Rc::new(Worker {
        rng: RefCell::new(StdRng::seed_from_u64(experiment.seed ^ number)),
        directories: (0..sources).map(|_| RefCell::default()).collect(),
        tally: RefCell::default(),
        client,
        pool: Pool::default(),
        variant,
        experiment,
    });
    let mut in_flight = FuturesUnordered::new();
    loop {
        tokio::select! {
            next = due.recv() => match next {
                Some(next) => in_flight.push(Rc::clone(&worker).send(next)),
                None => break,
            },
            Some(()) = in_flight.next() => {}
        }
    }
    while in_flight.next().await.is_some() {}
    worker.tally.take()
}

impl Worker {
    async fn send(self: Rc<Self>, (arrival, due): DueArrival) {
        let experiment = &self.experiment;
        let source = &experiment.sources[arrival.source];
        let prompt = prompt::make(source, &arrival, experiment.seed);
        let digest = blake3::hash(prompt.body.as_bytes()).to_hex().to_string();
        let sample = match self.choose(arrival.source).await {
            None => Sample::new(Outcome::NotRun, due, "no-instance"),
            Some(choice) => {
                let call = Call {
                    address: choice.address,
                    source,
                    prompt: &prompt,
                    ticket: choice.ticket,
                    deadline: experiment.deadline,
                    connect_timeout: experiment.timeout,
                    due,
                };
                let sent = call.send(&self.pool);
                let timed = tokio::time::timeout(experiment.timeout, sent).await;
                timed.unwrap_or_else(|_| Sample::new(Outcome::Unknown, due, "late"))
            }
        };
        let mut tally = self.tally.borrow_mut();
        if arrival.measured {
            tally.add(source, &sample, experiment.deadline);
        }
        tally.observations.push(Observation {
            digest,
            outcome: sample.outcome,
            idempotent: source.idempotent,
            correct: sample.correct,
            mixed: sample.mixed,
        });
    }

    async fn choose(&self, source: usize) -> Option<Choice> {
        if let Some(direct) = self.variant.direct {
            let address = direct.to_string();
            return Some(Choice {
                address,
                ticket: None,
            });
        }
        // A directory is taken out while in use, so requests that choose meanwhile use a new one.
        let mut directory = self.directories[source].take();
        let source_settings = &self.experiment.sources[source];
        let mut rng = StdRng::from_rng(&mut *self.rng.borrow_mut());
        let entries = &self.variant.entries;
        let choice = directory
            .choose(&self.client, entries, source_settings, &mut rng)
            .await;
        self.directories[source].replace(directory);
        choice
    }
}
