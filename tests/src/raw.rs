//! Requests of a caller that reads an answer's framing, and so can tell what is known of its end.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use zinniastall_http::{
    body::Decoder,
    connection::{self, MAX_RESPONSE_HEAD_BYTES, Part, Reader},
    ending::Ending,
    head::Response,
};

use crate::error::{Error, Result};

/// An answer as its caller sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Head.
    pub head: Response,
    /// What arrived of the body.
    pub body: Bytes,
    /// What is known of its end.
    pub ending: Ending,
}

impl Answer {
    /// Returns a header field, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends the bytes of a request on a new connection and reads the answer to its end.
///
/// # Errors
///
/// Fails if no head arrives. A body that breaks off is no error.
pub async fn send(address: SocketAddr, request: &str) -> Result<Answer> {
    let failed = |error: &dyn std::fmt::Display| Error::Http(error.to_string());
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| failed(&error))?;
    let (mut reader, mut writer) = connection::split(stream).map_err(|error| failed(&error))?;
    let written = writer.write(request.as_bytes()).await;
    written.map_err(|error| failed(&error))?;
    let head = reader.head::<Response>(MAX_RESPONSE_HEAD_BYTES).await;
    let head = head.map_err(|error| failed(&error))?;
    let head = head.ok_or_else(|| failed(&"closed without an answer"))?;
    let framing = head.framing(false).map_err(|error| failed(&error))?;
    let (body, ending) = read(&mut reader, Decoder::new(framing)).await;
    Ok(Answer { head, body, ending })
}

async fn read(reader: &mut Reader, mut decoder: Decoder) -> (Bytes, Ending) {
    let mut body = BytesMut::new();
    loop {
        match reader.part(&mut decoder).await {
            Ok(Part::Piece(piece)) => body.extend_from_slice(&piece),
            Ok(Part::End(ending)) => return (body.freeze(), ending),
            Err(_) => return (body.freeze(), Ending::Incomplete),
        }
    }
}
