//! Client of the control group: finds the leader and retries lost calls.
//!
//! A write is retried only under the same command id, which makes the retry safe: the group answers
//! it with the outcome that it recorded the first time.

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

/// Maximum time to connect to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum and maximum time of one attempt, in addition to the time that the call itself may wait
/// at the replica.
const ATTEMPT_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(3));
/// Backoff after the first round in which no address gave an answer.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between rounds.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Client of one replica.
pub type Client = OperatorClient<Channel>;

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A replica refused the call, and every other replica would do the same.
    #[error("{}", .0.message())]
    Refused(Box<Status>),
    /// No replica was reached, or none was the leader, until the timeout.
    #[error("no replica answered in time: {last}")]
    Unreachable {
        /// Failure of the last attempt.
        last: String,
        /// Whether a replica may have received the call.
        sent: bool,
    },
}

/// Client of the control group.
#[derive(Debug)]
pub struct Group {
    addresses: Vec<String>,
    deadline: Instant,
    attempt_timeout: Duration,
}

impl Group {
    /// Creates a client; `wait` is the time that the call itself may wait at the replica.
    pub fn new(addresses: Vec<String>, timeout: Duration, wait: Duration) -> Self {
        // A frozen replica accepts connections but never answers. The timeout is divided so that
        // each address can be tried twice, and one such replica does not use it all up.
        let attempts = u32::try_from(2 * addresses.len()).unwrap_or(u32::MAX);
        let attempt_timeout =
            (timeout / attempts.max(1)).clamp(ATTEMPT_TIMEOUT_RANGE.0, ATTEMPT_TIMEOUT_RANGE.1);
        Self {
            addresses,
            deadline: Instant::now() + timeout.max(wait),
            attempt_timeout: attempt_timeout + wait,
        }
    }

    /// Calls one replica after the other, following redirects to the leader, until one answers.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a replica refuses the call or the timeout has passed.
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

    /// Connects to one replica; returns `None` if it cannot be reached.
    pub async fn connect(&self, address: &str) -> Option<Client> {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(self.attempt_timeout);
        Some(OperatorClient::new(endpoint.connect().await.ok()?))
    }

    /// Returns the addresses of the replicas.
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }
}

/// What follows from the result of one attempt.
#[derive(Debug)]
enum Disposition<T> {
    /// The call is answered.
    Done(T),
    /// The replica is not the leader; names the leader, if it is known.
    NotLeader(Option<String>),
    /// Nothing was done, for a transient reason.
    Unavailable(String),
    /// The call may have been received.
    Unknown(String),
}

/// An answer that may ask for the call to be sent elsewhere or again.
pub trait Answer: Sized {
    /// Returns `Some` if the replica is not the leader, with the leader's address if it is known.
    fn not_leader(&self) -> Option<Option<String>> {
        None
    }

    /// Returns why nothing was done, if the reason is transient.
    fn unavailable(&self) -> Option<String> {
        None
    }

    /// Returns whether the outcome is unknown, so that the call has to be retried.
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
    QuarantineResponse,
    LimitsResponse,
    ReachResponse
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
            // The connection broke or the replica is too slow, so it may have received the call.
            Code::Unavailable
            | Code::Unknown
            | Code::Cancelled
            | Code::DeadlineExceeded
            | Code::Internal => Ok(Disposition::Unknown(status.message().to_owned())),
            _ => Err(Error::Refused(Box::new(status))),
        },
    }
}
