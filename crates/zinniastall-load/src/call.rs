//! Sends one request and times its answer.

use std::time::{Duration, Instant};

use awc::{
    Client,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde_json::Value;
use zinniastall_model::header;

use crate::{
    outcome::Outcome,
    prompt::Prompt,
    settings::Source,
    sse::{DONE, Events},
};

/// Longest body of an answer that is not streamed.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A request to send.
#[derive(Debug)]
pub struct Call<'a> {
    /// URL.
    pub url: String,
    /// Source.
    pub source: &'a Source,
    /// Prompt, with the body to send.
    pub prompt: &'a Prompt,
    /// Ticket, for a request that may run at most once.
    pub ticket: Option<String>,
    /// Deadline, sent as a header.
    pub deadline: Duration,
    /// Planned start.
    pub due: Instant,
}

/// Result of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the answer was whole and the one to this prompt.
    pub correct: bool,
    /// From the planned start to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// From the planned start to the end.
    pub total: Duration,
    /// Region and availability zone that served it.
    pub place: String,
    /// Instance that received it.
    pub instance: String,
    /// Type of the error; empty without one.
    pub error: String,
}

impl Sample {
    /// Creates a sample, without content, of a request that ends now.
    pub fn new(outcome: Outcome, due: Instant, error: &str) -> Self {
        Self {
            outcome,
            correct: false,
            first_token: None,
            token_gaps: Vec::new(),
            total: due.elapsed(),
            place: String::new(),
            instance: String::new(),
            error: error.to_owned(),
        }
    }
}

impl Call<'_> {
    /// Sends the request and waits for the end of its answer.
    pub async fn send(&self, client: &Client) -> Sample {
        let mut request = client
            .post(&self.url)
            .insert_header(("content-type", "application/json"))
            .insert_header((header::CLASS, self.source.class.as_str()))
            .insert_header((header::DEADLINE, self.deadline.as_millis().to_string()))
            .insert_header((header::IDEMPOTENT, self.source.idempotent.to_string()));
        if !self.source.key.is_empty() {
            request = request.bearer_auth(&self.source.key);
        }
        if let Some(ticket) = &self.ticket {
            request = request.insert_header((header::TICKET, ticket.as_str()));
        }
        let body = Bytes::copy_from_slice(self.prompt.body.as_bytes());
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            // The HTTP library also reports this for a connection that broke while in use, so the
            // request may have run.
            Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
                return Sample::new(Outcome::Unknown, self.due, "broken");
            }
            // Without a connection no byte was sent.
            Err(SendRequestError::Connect(_)) => {
                return Sample::new(Outcome::NotRun, self.due, "connect");
            }
            Err(_) => return Sample::new(Outcome::Unknown, self.due, "broken"),
        };
        let text = |name: &str| {
            let value = response.headers().get(name);
            let value = value.and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (place, instance) = (text(header::PLACE), text(header::INSTANCE));
        let sample = if !response.status().is_success() {
            let outcome = Outcome::parse(&text(header::OUTCOME));
            let error = error_type(response.body().limit(MAX_BODY_BYTES).await.ok());
            Sample::new(outcome, self.due, &error)
        } else if self.source.stream {
            self.read_events(Events::new(response)).await
        } else {
            let body = response.body().limit(MAX_BODY_BYTES).await.ok();
            self.check_body(body)
        };
        Sample {
            place,
            instance,
            ..sample
        }
    }

    /// Evaluates an answer that is not streamed.
    fn check_body(&self, body: Option<Bytes>) -> Sample {
        let body = body.and_then(|body| serde_json::from_slice::<Value>(&body).ok());
        let Some(body) = body else {
            return Sample::new(Outcome::Unknown, self.due, "broken");
        };
        let content = body["choices"][0]["message"]["content"].as_str();
        let correct = content.is_some_and(|content| self.matches(content));
        Sample {
            correct,
            first_token: Some(self.due.elapsed()),
            ..Sample::new(Outcome::Answered, self.due, "")
        }
    }

    /// Reads a streamed answer to its end.
    async fn read_events<S, E>(&self, mut events: Events<S>) -> Sample
    where
        S: Stream<Item = Result<Bytes, E>> + StreamExt + Unpin,
    {
        let mut first_token = None;
        let mut token_gaps = Vec::new();
        let mut last = Instant::now();
        let mut content = String::new();
        let mut end = (Outcome::Unknown, "broken".to_owned());
        while let Ok(Some(event)) = events.next().await {
            if event.data == DONE {
                end = (Outcome::Answered, String::new());
                break;
            }
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            if event.name == "error" {
                let outcome = data["error"]["outcome"].as_str().unwrap_or_default();
                let error_type = data["error"]["type"].as_str().unwrap_or("broken");
                end = (Outcome::parse(outcome), error_type.to_owned());
                break;
            }
            let Some(token) = data["choices"][0]["delta"]["content"].as_str() else {
                continue;
            };
            content += token;
            let now = Instant::now();
            match first_token {
                None => first_token = Some(now.duration_since(self.due)),
                Some(_) => token_gaps.push(now.duration_since(last)),
            }
            last = now;
        }
        let sample = Sample {
            correct: end.0 == Outcome::Answered && self.matches(&content),
            first_token,
            token_gaps,
            ..Sample::new(end.0, self.due, &end.1)
        };
        // The HTTP library closes a connection whose body was not read to its end. Each stream
        // would then need a new connection, whose setup would count as latency of the system.
        while let Ok(Some(_)) = events.next().await {}
        sample
    }

    /// Returns whether a text is the stand-in's whole answer to this prompt.
    fn matches(&self, content: &str) -> bool {
        let mut tokens = content.split_ascii_whitespace();
        let correct = |index| {
            let token = tokens.next()?;
            let number = token
                .strip_prefix(&self.prompt.token_prefix)?
                .strip_prefix('-')?;
            (number.parse() == Ok(index)).then_some(())
        };
        let all = (0..self.source.tokens)
            .map(correct)
            .all(|token| token.is_some());
        all && tokens.next().is_none()
    }
}

/// Returns the type of an error answer.
fn error_type(body: Option<Bytes>) -> String {
    let body: Option<Value> = body.and_then(|body| serde_json::from_slice(&body).ok());
    let error_type = body.and_then(|body| Some(body["error"]["type"].as_str()?.to_owned()));
    error_type.unwrap_or_else(|| "untyped".to_owned())
}
