//! Parsing and writing of request and response heads.

use bytes::{Buf, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};

use crate::body::Framing;

/// Maximum number of header fields; callers usually send about ten.
const MAX_FIELDS: usize = 96;

/// Reason why a head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The head exceeds its limit of bytes or header fields.
    #[error("the head is too long")]
    TooLong,
    /// The bytes are not a valid HTTP/1 head.
    #[error("the head is malformed: {0}")]
    Malformed(&'static str),
    /// Recipients could disagree on where the message ends or which host it is for.
    #[error("the end of the message is ambiguous: {0}")]
    Ambiguous(&'static str),
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Request target (path and query), exactly as sent.
    pub target: String,
    /// Whether the sender uses HTTP/1.1; the connection of an HTTP/1.0 sender ends with the answer.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderMap,
}

/// Head of a response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Whether the sender uses HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: HeaderMap,
}

/// A head that can be parsed from the front of a buffer.
pub trait Parse: Sized {
    /// Takes a head from the front of a buffer, or returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the head is invalid or longer than `limit` bytes.
    fn parse(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Error>;
}

impl Request {
    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query without its question mark, or an empty string if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns the `Host` field without its port, or an empty string if there is none.
    pub fn host(&self) -> &str {
        let value = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = value.unwrap_or_default();
        host.rsplit_once(':').map_or(host, |(name, _)| name)
    }

    /// Returns the framing of the body.
    ///
    /// # Errors
    ///
    /// [`Error::Ambiguous`] if the head doesn't determine a single end.
    pub fn framing(&self) -> Result<Framing, Error> {
        Ok(declared_framing(&self.headers)?.unwrap_or(Framing::Length(0)))
    }

    /// Returns whether the sender keeps the connection open after this message.
    pub fn is_keep_alive(&self) -> bool {
        self.is_http11 && !has_token(&self.headers, "close")
    }
}

impl Response {
    /// Returns the framing of the body; `head_only` is true for an answer to a `HEAD` request.
    ///
    /// # Errors
    ///
    /// [`Error::Ambiguous`] if the head doesn't determine a single end.
    pub fn framing(&self, head_only: bool) -> Result<Framing, Error> {
        let declared = declared_framing(&self.headers)?;
        if !self.is_http11 && declared == Some(Framing::Chunked) {
            return Err(Error::Ambiguous("a transfer coding in HTTP/1.0"));
        }
        let bodiless = head_only
            || self.status.is_informational()
            || self.status == StatusCode::NO_CONTENT
            || self.status == StatusCode::NOT_MODIFIED;
        if bodiless {
            return Ok(Framing::Length(0));
        }
        Ok(declared.unwrap_or(Framing::Close))
    }

    /// Returns whether the sender keeps the connection open after this message.
    pub fn is_keep_alive(&self) -> bool {
        self.is_http11 && !has_token(&self.headers, "close")
    }
}

impl Parse for Request {
    fn parse(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Error> {
        let Some(length) = head_length(input, limit)? else {
            return Ok(None);
        };
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(&input[..length]).map_err(parse_error)?;
        if !status.is_complete() {
            return Err(Error::Malformed("incomplete"));
        }
        let method = parsed.method.unwrap_or_default().parse();
        let target = parsed.path.unwrap_or_default().to_owned();
        if !target.starts_with('/') && target != "*" {
            return Err(Error::Malformed("the target is no path"));
        }
        let request = Self {
            method: method.map_err(|_| Error::Malformed("method"))?,
            target,
            is_http11: parsed.version == Some(1),
            headers: header_map(parsed.headers)?,
        };
        if request.headers.get_all(HOST).iter().count() > 1 {
            return Err(Error::Ambiguous("two hosts"));
        }
        request.framing()?;
        input.advance(length);
        Ok(Some(request))
    }
}

impl Parse for Response {
    fn parse(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Error> {
        if !b"HTTP/1.".starts_with(&input[..input.len().min(7)]) {
            return Err(Error::Malformed("no status line"));
        }
        let Some(length) = head_length(input, limit)? else {
            return Ok(None);
        };
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(&input[..length]).map_err(parse_error)?;
        if !status.is_complete() {
            return Err(Error::Malformed("incomplete"));
        }
        let response = Self {
            status: valid_status(parsed.code.unwrap_or_default())?,
            is_http11: parsed.version == Some(1),
            headers: header_map(parsed.headers)?,
        };
        declared_framing(&response.headers)?;
        input.advance(length);
        Ok(Some(response))
    }
}

/// Returns the length of the head at the front of a buffer, or `None` while it is incomplete.
///
/// A bare line feed is refused: a recipient that accepts it as a line end would see another message
/// than one that doesn't.
fn head_length(input: &[u8], limit: usize) -> Result<Option<usize>, Error> {
    let mut line_start = 0;
    for (at, byte) in input.iter().enumerate().take(limit) {
        if *byte != b'\n' {
            continue;
        }
        if at == 0 || input[at - 1] != b'\r' {
            return Err(Error::Ambiguous("bare line end"));
        }
        let is_empty = at - line_start == 1;
        if is_empty && line_start == 0 {
            return Err(Error::Malformed("empty first line"));
        }
        if is_empty {
            return Ok(Some(at + 1));
        }
        line_start = at + 1;
    }
    if input.len() >= limit {
        return Err(Error::TooLong);
    }
    Ok(None)
}

/// Returns a status of the protocol (RFC 9110, 15); three digits may also be none.
fn valid_status(code: u16) -> Result<StatusCode, Error> {
    let status = StatusCode::from_u16(code).ok();
    let is_valid = |status: &StatusCode| (100..600).contains(&status.as_u16());
    status.filter(is_valid).ok_or(Error::Malformed("status"))
}

fn parse_error(error: httparse::Error) -> Error {
    match error {
        httparse::Error::TooManyHeaders => Error::TooLong,
        httparse::Error::HeaderName => Error::Malformed("header name"),
        httparse::Error::HeaderValue => Error::Malformed("header value"),
        httparse::Error::NewLine => Error::Malformed("line end"),
        httparse::Error::Status => Error::Malformed("status"),
        httparse::Error::Token => Error::Malformed("token"),
        httparse::Error::Version => Error::Malformed("version"),
    }
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, Error> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let name = name.map_err(|_| Error::Malformed("header name"))?;
        let value = HeaderValue::from_bytes(field.value);
        let value = value.map_err(|_| Error::Malformed("header value"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns the framing that the header fields declare, if any.
fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, Error> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), lengths) {
        (None, 0) => Ok(None),
        (None, 1) => Ok(Some(Framing::Length(content_length(headers)?))),
        (None, _) => Err(Error::Ambiguous("two lengths")),
        (Some(_), 1..) => Err(Error::Ambiguous("a length beside a transfer coding")),
        (Some(coding), 0) => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || codings.next().is_some() {
                return Err(Error::Ambiguous("transfer coding"));
            }
            Ok(Some(Framing::Chunked))
        }
    }
}

fn content_length(headers: &HeaderMap) -> Result<u64, Error> {
    let value = headers.get(CONTENT_LENGTH).map(HeaderValue::as_bytes);
    let digits = value.unwrap_or_default();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::Ambiguous("length"));
    }
    let text = std::str::from_utf8(digits).unwrap_or_default();
    text.parse().map_err(|_| Error::Ambiguous("length"))
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        let mut parts = text.split(',');
        parts.any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}

/// Hop-by-hop header fields, which apply to a single connection and are never forwarded.
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes all hop-by-hop fields, including those listed in `Connection`, and `Content-Length`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|part| part.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// Writes the head of a request.
pub fn write_request(output: &mut BytesMut, method: &Method, target: &str, headers: &HeaderMap) {
    output.extend_from_slice(method.as_str().as_bytes());
    output.extend_from_slice(b" ");
    output.extend_from_slice(target.as_bytes());
    output.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(output, headers);
}

/// Writes the head of a response.
pub fn write_response(output: &mut BytesMut, status: StatusCode, headers: &HeaderMap) {
    output.extend_from_slice(b"HTTP/1.1 ");
    output.extend_from_slice(status.as_str().as_bytes());
    output.extend_from_slice(b" ");
    output.extend_from_slice(status.canonical_reason().unwrap_or("Status").as_bytes());
    output.extend_from_slice(b"\r\n");
    write_headers(output, headers);
}

fn write_headers(output: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        output.extend_from_slice(name.as_str().as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value.as_bytes());
        output.extend_from_slice(b"\r\n");
    }
    output.extend_from_slice(b"\r\n");
}
