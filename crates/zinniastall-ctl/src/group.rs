//! Finds the replica that can answer, and sends again what got lost.
//!
//! A write is sent again only under the same command id, which makes a resend safe: the group
//! answers it with what it recorded the first time.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;
use tokio::time::{self, Instant};
use tonic::{
    Code, Status,
    transport::{Channel, Endpoint},
};
use zinniastall_api::{
    metadata,
    operator::{ChangeResponse, Outcome, operator_client::OperatorClient},
};

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest time of one attempt, beside what the call itself waits.
const ATTEMPT_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(3));
/// First wait after all addresses were tried in vain.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait between rounds.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A client of one replica.
pub type Client = OperatorClient<Channel>;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A replica answered with a refusal that asking another one would not change.
    #[error("{}", .0.message())]
    Refused(Box<Status>),
    /// Nobody could be reached, or nobody led, until the time was up.
    #[error("no replica answered in time: {last}")]
    Unreachable {
        /// What the last attempt said.
        last: String,
        /// Whether a write may have been received by a replica.
        sent: bool,
    },
}

/// The control group, as a client sees it.
#[derive(Debug)]
pub struct Group {
    addresses: Vec<String>,
    deadline: Instant,
    attempt_timeout: Duration,
}

impl Group {
    /// Creates a group; `wait` is what the call itself may take at the replica.
    pub fn new(addresses: Vec<String>, timeout: Duration, wait: Duration) -> Self {
        // A frozen replica takes the connection and never answers. Each address gets its turn twice
        // within the time, so that one such replica does not use all of it up.
        let attempts = u32::try_from(2 * addresses.len()).unwrap_or(u32::MAX);
        let attempt_timeout =
            (timeout / attempts.max(1)).clamp(ATTEMPT_TIMEOUT_RANGE.0, ATTEMPT_TIMEOUT_RANGE.1);
        Self {
            addresses,
            deadline: Instant::now() + timeout.max(wait),
            attempt_timeout: attempt_timeout + wait,
        }
    }

    /// Calls one replica after the other until one answers, following the hint who leads.
    ///
    /// # Errors
    ///
    /// [`Fault`] when a replica refuses or the time is up.
    pub async fn call<T: Answer>(
        &self,
        call: impl AsyncFn(Client) -> Result<T, Status>,
    ) -> Result<T, Error> {
        let mut backoff = MIN_BACKOFF;
        let mut last = "not tried".to_owned();
        let mut sent = false;
        while Instant::now() < self.deadline {
            let mut pending: VecDeque<String> = self.addresses.iter().cloned().collect();
            let mut redirects_left = self.addresses.len();
            while let Some(address) = pending.pop_front() {
                let Some(client) = self.connect(&address).await else {
                    last = format!("{address} cannot be reached");
                    continue;
                };
                let answer = time::timeout_at(self.deadline, call(client)).await;
                let answer = answer.unwrap_or_else(|_| Err(Status::deadline_exceeded("timeout")));
                match classify(answer)? {
                    Disposition::Done(answer) => return Ok(answer),
                    Disposition::NotLeader(Some(leader))
                        if redirects_left > 0 && leader != address =>
                    {
                        redirects_left -= 1;
                        pending.push_front(leader);
                        "another replica leads".clone_into(&mut last);
                    }
                    Disposition::NotLeader(_) => "no replica leads".clone_into(&mut last),
                    Disposition::Unavailable(reason) => last = reason,
                    Disposition::Unknown(reason) => {
                        sent = true;
                        last = format!("{address}: {reason}");
                    }
                }
            }
            time::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        Err(Error::Unreachable { last, sent })
    }

    /// Connects to one replica, or says that it can't be reached.
    pub async fn connect(&self, address: &str) -> Option<Client> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(self.attempt_timeout);
        Some(OperatorClient::new(endpoint.connect().await.ok()?))
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }
}

#[derive(Debug)]
enum Disposition<T> {
    Done(T),
    NotLeader(Option<String>),
    Unavailable(String),
    Unknown(String),
}

/// An answer that may say that another replica has to be asked.
pub trait Answer: Sized {
    /// Tells whether the replica led, and if not, which one does.
    fn not_leader(&self) -> Option<Option<String>> {
        None
    }

    /// Tells why nothing was done, if the reason will pass.
    fn unavailable(&self) -> Option<String> {
        None
    }

    /// Tells whether the outcome is unknown, so that the call is to be sent again.
    fn is_unknown(&self) -> bool {
        false
    }
}

impl Answer for ChangeResponse {
    fn not_leader(&self) -> Option<Option<String>> {
        let leader = (!self.leader.is_empty()).then(|| self.leader.clone());
        (self.outcome() == Outcome::NotLeader).then_some(leader)
    }

    fn unavailable(&self) -> Option<String> {
        (self.outcome() == Outcome::Unavailable).then(|| self.reason.clone())
    }

    fn is_unknown(&self) -> bool {
        self.outcome() == Outcome::Unknown
    }
}

macro_rules! answers {
    ($($type:ident),*) => {
        $(impl Answer for zinniastall_api::operator::$type {})*
    };
}

answers!(
    BootstrapResponse,
    Record,
    ListResponse,
    SystemStatus,
    InstanceStatus,
    ChangeStatus,
    HistogramsResponse,
    RoutingResponse,
    QuarantineResponse
);

impl<T> Answer for tonic::Streaming<T> {}

fn classify<T: Answer>(answer: Result<T, Status>) -> Result<Disposition<T>, Error> {
    match answer {
        Ok(answer) => Ok(if let Some(leader) = answer.not_leader() {
            Disposition::NotLeader(leader)
        } else if let Some(reason) = answer.unavailable() {
            Disposition::Unavailable(reason)
        } else if answer.is_unknown() {
            Disposition::Unknown("unknown outcome".to_owned())
        } else {
            Disposition::Done(answer)
        }),
        Err(status) => match status.code() {
            Code::FailedPrecondition => {
                let leader = status.metadata().get(metadata::LEADER);
                let leader = leader.and_then(|leader| leader.to_str().ok());
                Ok(Disposition::NotLeader(leader.map(str::to_owned)))
            }
            // The connection broke or the replica is too slow: it may have taken the call.
            Code::Unavailable
            | Code::Unknown
            | Code::Cancelled
            | Code::DeadlineExceeded
            | Code::Internal => Ok(Disposition::Unknown(status.message().to_owned())),
            _ => Err(Error::Refused(Box::new(status))),
        },
    }
}
