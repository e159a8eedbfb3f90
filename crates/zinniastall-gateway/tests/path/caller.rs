//! Raw callers: connections that send bytes and read responses.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::harness::HOST;

/// A caller's connection.
pub(crate) struct Caller {
    stream: TcpStream,
    input: Vec<u8>,
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
    /// Whether the body ended as its framing says.
    pub(crate) is_complete: bool,
}

impl Response {
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
        }
    }

    /// Sends bytes.
    pub(crate) async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads one response, or nothing if the connection ends before one.
    pub(crate) async fn read_response(&mut self) -> Option<Response> {
        loop {
            if let Some(response) = parse(&mut self.input, false) {
                return Some(response);
            }
            if !self.read().await {
                return parse(&mut self.input, true);
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
            Ok(0) | Err(_) => false,
            Ok(read) => {
                self.input.extend_from_slice(&buffer[..read]);
                true
            }
        }
    }
}

/// Takes a response off the front of the input, a truncated one only at the end of the connection.
fn parse(input: &mut Vec<u8>, at_eof: bool) -> Option<Response> {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8(input[..end].to_vec()).unwrap();
    let mut response = Response {
        status: head.split(' ').nth(1)?.parse().unwrap(),
        head,
        body: String::new(),
        is_complete: false,
    };
    let body = &input[end + 4..];
    let (text, used, whole) = if response.header("transfer-encoding") == "chunked" {
        decode_chunks(body)
    } else {
        let length: usize = response.header("content-length").parse().unwrap_or(0);
        let used = length.min(body.len());
        (body[..used].to_vec(), used, body.len() >= length)
    };
    if !whole && !at_eof {
        return None;
    }
    response.body = String::from_utf8(text).unwrap();
    response.is_complete = whole;
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
