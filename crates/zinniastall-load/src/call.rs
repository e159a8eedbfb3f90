//! Sends one request and times its answer.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method,
    header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HOST},
};
use serde_json::Value;
use zinniastall_http::{
    body::Decoder,
    client::Exchange,
    connection::{Error, Part},
    ending::Ending,
    head::{Response, write_request},
    pool::{Connection, Pool},
};
use zinniastall_model::header;

use crate::{
    outcome::Outcome,
    prompt::Prompt,
    settings::Source,
    sse::{DONE, Events},
};

/// Longest body of an answer that is not streamed.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Path of all requests.
const PATH: &str = "/v1/chat/completions";

/// A request to send.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address.
    pub address: String,
    /// Source.
    pub source: &'a Source,
    /// Prompt, with the body to send.
    pub prompt: &'a Prompt,
    /// Ticket, for a request that may run at most once.
    pub ticket: Option<String>,
    /// Deadline, sent as a header.
    pub deadline: Duration,
    /// Longest time to connect.
    pub connect_timeout: Duration,
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
    /// Whether a streamed answer, whole or not, holds events of two software versions.
    pub mixed: bool,
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
            mixed: false,
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
    pub async fn send(&self, pool: &Pool) -> Sample {
        let connected = pool
            .connect(&self.address, true, self.connect_timeout)
            .await;
        let Ok(mut connection) = connected else {
            // Without a connection no byte was sent.
            return Sample::new(Outcome::NotRun, self.due, "connect");
        };
        let request = self.encode();
        let Connection { reader, writer, .. } = &mut connection;
        let response = Exchange::start(reader, writer, [request.freeze(), Bytes::new()])
            .next_head()
            .await;
        let framing = response.as_ref().ok().map(|head| head.framing(false));
        let (Ok(head), Some(Ok(framing))) = (response, framing) else {
            return Sample::new(Outcome::Unknown, self.due, "broken");
        };
        let text = |name: &str| {
            let value = head.headers.get(name);
            let value = value.and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (place, instance) = (text(header::PLACE), text(header::INSTANCE));
        let outcome = Outcome::parse(&text(header::OUTCOME));
        let is_success = head.status.is_success();
        let body = Body {
            pool,
            address: &self.address,
            decoder: Decoder::new(framing),
            connection,
            head,
        };
        let sample = if !is_success {
            let error = error_type(body.read().await.map(|(body, _)| body));
            Sample::new(outcome, self.due, &error)
        } else if self.source.stream {
            self.read_events(Events::new(Box::pin(body.parts()))).await
        } else {
            self.check_body(body.read().await)
        };
        Sample {
            place,
            instance,
            ..sample
        }
    }

    fn encode(&self) -> BytesMut {
        let mut headers = HeaderMap::new();
        let mut set = |name: HeaderName, value: &str| {
            headers.extend(HeaderValue::try_from(value).map(|value| (name, value)));
        };
        set(HOST, &self.address);
        set(CONTENT_TYPE, "application/json");
        set(CONTENT_LENGTH, &self.prompt.body.len().to_string());
        let own = HeaderName::from_static;
        set(own(header::CLASS), &self.source.class);
        set(
            own(header::DEADLINE),
            &self.deadline.as_millis().to_string(),
        );
        set(own(header::IDEMPOTENT), &self.source.idempotent.to_string());
        if !self.source.key.is_empty() {
            set(AUTHORIZATION, &format!("Bearer {}", self.source.key));
        }
        if let Some(ticket) = &self.ticket {
            set(own(header::TICKET), ticket);
        }
        let mut output = BytesMut::new();
        write_request(&mut output, &Method::POST, PATH, &headers);
        output.extend_from_slice(self.prompt.body.as_bytes());
        output
    }

    /// Evaluates an answer that is not streamed. One whose end is not known for certain isn't counted
    /// as answered.
    fn check_body(&self, body: Option<(Bytes, Ending)>) -> Sample {
        let parsed = body.and_then(|(body, ending)| {
            let body = serde_json::from_slice::<Value>(&body).ok()?;
            Some((body, ending))
        });
        let Some((body, ending)) = parsed else {
            return Sample::new(Outcome::Unknown, self.due, "broken");
        };
        let content = body["choices"][0]["message"]["content"].as_str();
        let correct = content.is_some_and(|content| self.matches(content));
        let (outcome, error) = match ending {
            Ending::Complete => (Outcome::Answered, ""),
            _ => (Outcome::Unknown, ending.as_str()),
        };
        Sample {
            correct,
            first_token: Some(self.due.elapsed()),
            ..Sample::new(outcome, self.due, error)
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
        let (mut software, mut mixed) = (None, false);
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
            let fingerprint = data["system_fingerprint"].clone();
            mixed |= *software.get_or_insert_with(|| fingerprint.clone()) != fingerprint;
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
            mixed,
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

/// Body of an answer, on its connection.
struct Body<'a> {
    pool: &'a Pool,
    address: &'a str,
    decoder: Decoder,
    connection: Connection,
    head: Response,
}

impl<'a> Body<'a> {
    /// Reads the whole body; returns `None` if it breaks off or is too long.
    async fn read(mut self) -> Option<(Bytes, Ending)> {
        let mut body = BytesMut::new();
        loop {
            match self.connection.reader.part(&mut self.decoder).await {
                Ok(Part::Piece(piece)) => body.extend_from_slice(&piece),
                Ok(Part::End(ending)) => {
                    self.release();
                    return Some((body.freeze(), ending));
                }
                Err(_) => return None,
            }
            if body.len() > MAX_BODY_BYTES {
                return None;
            }
        }
    }

    /// Returns the parts of the body as they arrive.
    fn parts(self) -> impl Stream<Item = Result<Bytes, Error>> + 'a {
        stream::unfold(Some(self), |body| async move {
            let mut body = body?;
            match body.connection.reader.part(&mut body.decoder).await {
                Ok(Part::Piece(piece)) => Some((Ok(piece), Some(body))),
                Ok(Part::End(_)) => {
                    body.release();
                    None
                }
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    fn release(self) {
        self.pool.release(self.address, self.connection, &self.head);
    }
}
