//! HTTP requests of callers, targets and tests.
//!
//! Each request uses its own connection. An HTTP library may silently repeat a request on a stale
//! pooled connection, which would falsify the number of runs that a test counts.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientRequest, http::Method};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use indexmap::IndexMap;
use serde_json::Value;

use crate::{
    error::{Error, Result},
    sse::{DONE, Events},
};

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);
/// Largest accepted response body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Builder for a request.
pub struct Request {
    inner: ClientRequest,
    body: Bytes,
}

impl std::fmt::Debug for Request {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.inner)
    }
}

/// Creates a GET request.
pub fn get(address: SocketAddr, path: &str) -> Request {
    request(Method::GET, address, path)
}

/// Creates a POST request.
pub fn post(address: SocketAddr, path: &str) -> Request {
    request(Method::POST, address, path)
}

/// Creates a request.
pub fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    let client = Client::builder()
        .timeout(RESPONSE_TIMEOUT)
        .disable_redirects()
        .finish();
    Request {
        inner: client
            .request(method, format!("http://{address}{path}"))
            .force_close(),
        body: Bytes::new(),
    }
}

impl Request {
    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.inner = self.inner.insert_header((name, value));
        self
    }

    /// Authenticates the request with a client's key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: &Value) -> Self {
        self.body = body.to_string().into();
        self.header("content-type", "application/json")
    }

    /// Sets the raw body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] if the response is incomplete.
    pub async fn send(self) -> Result<Answer> {
        let mut response = self.inner.send_body(self.body).await.map_err(http_error)?;
        let head = Head::of(&response);
        let body = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(http_error)?;
        Ok(Answer { head, body })
    }

    /// Sends the request and returns the response's server-sent events as they arrive.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] if no response head arrives.
    pub async fn stream(self) -> Result<(Head, Events<impl Stream<Item = Result<Bytes>> + Unpin>)> {
        let response = self.inner.send_body(self.body).await.map_err(http_error)?;
        let head = Head::of(&response);
        let bytes = response.map(|chunk| chunk.map_err(http_error));
        Ok((head, Events::new(bytes)))
    }
}

/// Reads a streamed chat completion; returns its text and whether the final `[DONE]` event arrived.
///
/// # Errors
///
/// Fails if an event is not a chat completion chunk. A broken connection is not an error: the text
/// so far is returned with `false`.
pub async fn content(
    events: Events<impl Stream<Item = Result<Bytes>> + Unpin>,
) -> Result<(String, bool)> {
    content_with(events, |_| {}).await
}

/// Reads a streamed chat completion like [`content`] and calls `on_event` with the number of events
/// received so far after each of them.
///
/// # Errors
///
/// See [`content`].
pub async fn content_with(
    mut events: Events<impl Stream<Item = Result<Bytes>> + Unpin>,
    on_event: impl Fn(usize),
) -> Result<(String, bool)> {
    let (mut text, mut count) = (String::new(), 0);
    while let Ok(Some(event)) = events.next().await {
        if event.data == DONE {
            return Ok((text, true));
        }
        let chunk: Value = serde_json::from_str(&event.data)?;
        text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        count += 1;
        on_event(count);
    }
    Ok((text, false))
}

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: IndexMap<String, String>,
}

impl Head {
    fn of<S>(response: &awc::ClientResponse<S>) -> Self {
        let text = |value: &awc::http::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        let headers = response.headers().iter();
        Self {
            status: response.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.as_str().to_owned(), text(value)))
                .collect(),
        }
    }

    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the status code.
    pub const fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.head.header(name)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON.
    pub fn json(&self) -> Result<Value> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

fn http_error(error: impl std::fmt::Display) -> Error {
    Error::Http(error.to_string())
}
