//! Raw callers: connections that send bytes and read responses.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use zinniastall_http::ending::Ending;

use crate::harness::HOST;

/// A caller's connection.
pub(crate) struct Caller {
    stream: TcpStream,
    input: Vec<u8>,
    /// Whether the connection ended with an error.
    is_broken: bool,
}

/// A response as a caller reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    /// Status.
    pub(crate) status: u16,
    /// Head as text.
    pub(crate) head: String,
    /// Body without framing.
    pub(crate) body: String,
    /// What the caller can tell of its end.
    pub(crate) ending: Ending,
}

impl Response {
    /// Returns whether the body ended as its framing says.
    pub(crate) fn is_complete(&self) -> bool {
        self.ending == Ending::Complete
    }

    /// Returns a header field, empty if there is none.
    pub(crate) fn header(&self, name: &str) -> &str {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value)
    }
}

/// Returns a request without a body.
pub(crate) fn get(path: &str, id: &str, fields: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nrequest-id: {id}\r\n{fields}\r\n")
}

/// Returns a request with a body.
pub(crate) fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nrequest-id: {id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

impl Caller {
    /// Connects to an address.
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            input: Vec::new(),
            is_broken: false,
        }
    }

    /// Sends bytes.
    pub(crate) async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads one response, or nothing if the connection ends before one.
    pub(crate) async fn read_response(&mut self) -> Option<Response> {
        loop {
            if let Some(response) = parse(&mut self.input, None) {
                return Some(response);
            }
            if !self.read().await {
                return parse(&mut self.input, Some(self.is_broken));
            }
        }
    }

    /// Sends a request and reads its response.
    pub(crate) async fn call(&mut self, text: &str) -> Response {
        self.send(text).await;
        self.read_response()
            .await
            .expect("the connection ended without a response")
    }

    /// Reads until a text has arrived, which stays to be read as part of a response.
    pub(crate) async fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.input).contains(text) {
            assert!(self.read().await, "the connection ended before {text:?}");
        }
    }

    /// Tells whether the connection ends without further bytes.
    pub(crate) async fn reads_eof(&mut self) -> bool {
        !self.read().await && self.input.is_empty()
    }

    async fn read(&mut self) -> bool {
        let mut buffer = vec![0; 16 << 10];
        match self.stream.read(&mut buffer).await {
            Ok(0) => false,
            Err(_) => {
                self.is_broken = true;
                false
            }
            Ok(read) => {
                self.input.extend_from_slice(&buffer[..read]);
                true
            }
        }
    }
}

/// Takes a response off the front of the input. `broken` tells, once the connection has ended, whether
/// it did with an error; before that, only complete responses are taken.
fn parse(input: &mut Vec<u8>, broken: Option<bool>) -> Option<Response> {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8(input[..end].to_vec()).unwrap();
    let mut response = Response {
        status: head.split(' ').nth(1)?.parse().unwrap(),
        head,
        body: String::new(),
        ending: Ending::Incomplete,
    };
    let body = &input[end + 4..];
    let length: Option<usize> = response.header("content-length").parse().ok();
    let is_chunked = response.header("transfer-encoding") == "chunked";
    let (text, used, whole) = match length {
        _ if is_chunked => decode_chunks(body),
        Some(length) => {
            let used = length.min(body.len());
            (body[..used].to_vec(), used, body.len() >= length)
        }
        None if response.status < 200 => (Vec::new(), 0, true),
        None => (body.to_vec(), body.len(), false),
    };
    if !whole && broken.is_none() {
        return None;
    }
    response.body = String::from_utf8(text).unwrap();
    response.ending = match broken {
        _ if whole => Ending::Complete,
        Some(false) if length.is_none() && !is_chunked => Ending::Unconfirmed,
        _ => Ending::Incomplete,
    };
    input.drain(..end + 4 + used);
    Some(response)
}

/// Decodes chunks. Returns the text, the bytes used and whether the last chunk was there.
fn decode_chunks(body: &[u8]) -> (Vec<u8>, usize, bool) {
    let (mut text, mut at) = (Vec::new(), 0);
    loop {
        let Some(line) = body[at..].windows(2).position(|two| two == b"\r\n") else {
            return (text, at, false);
        };
        let size = std::str::from_utf8(&body[at..at + line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let (start, end) = (at + line + 2, at + line + 2 + size + 2);
        if body.len() < end {
            return (text, at, false);
        }
        text.extend_from_slice(&body[start..end - 2]);
        at = end;
        if size == 0 {
            return (text, at, true);
        }
    }
}
