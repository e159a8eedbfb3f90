//! Reads answers of targets and hands them over.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method};
use tokio::time;
use zinniastall_http::{
    body::{Decoder, Framing},
    connection::{RESPONSE_HEAD, Reader},
    head::{self, Response},
};

use super::{attempt::Why, job::Job, responder::Responder};

/// Longest whole answer, in bytes; answers of streams have no bound.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Longest wait for the rest of a refusal, whose words nobody reads. A target that names no length, or stalls
/// within them, would hold up a request whose fate is known; its connection is closed instead, which costs
/// one more connecting. Nearly all refusals come in one piece.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(5);

/// Reads the head of the next answer.
pub(super) async fn next_head(reader: &mut Reader) -> Result<Response, Why> {
    match reader.head::<Response>(RESPONSE_HEAD).await {
        Ok(Some(response)) => Ok(response),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Reads the words of a refusal; tells whether the connection may be used again.
pub(super) async fn drain_refusal(response: &Response, reader: &mut Reader) -> bool {
    let Ok(framing) = response.framing(false) else {
        return false;
    };
    if framing == Framing::Close {
        return false;
    }
    let rest = drain_body(reader, Decoder::new(framing));
    time::timeout(REFUSAL_BODY_TIMEOUT, rest)
        .await
        .unwrap_or(false)
}

/// Reads the rest of a body that nobody needs; tells whether it ended in order.
pub(super) async fn drain_body(reader: &mut Reader, mut decoder: Decoder) -> bool {
    loop {
        match reader.piece(&mut decoder).await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

/// Reads a whole answer.
pub(super) async fn read_body(
    job: &Job,
    response: &Response,
    reader: &mut Reader,
) -> Result<Bytes, Why> {
    let framing = response.framing(job.head.method == Method::HEAD);
    let mut decoder = Decoder::new(framing.map_err(|fault| fault.to_string())?);
    let mut body = BytesMut::new();
    loop {
        let piece = reader.piece(&mut decoder).await;
        match piece.map_err(|error| error.to_string())? {
            Some(piece) if body.len() + piece.len() > MAX_ANSWER_BYTES => {
                return Err("the answer is too long".to_owned());
            }
            Some(piece) => body.extend_from_slice(&piece),
            None => return Ok(body.freeze()),
        }
    }
}

/// Passes events of a stream on, behind its head where that has not been sent yet.
pub(super) async fn forward_events(
    response: &Response,
    events: Bytes,
    is_end: bool,
    responder: &mut Responder,
) -> io::Result<()> {
    if !responder.has_begun() && (is_end || !events.is_empty()) {
        let headers = end_to_end_headers(&response.headers);
        responder.write_head(response.status, headers).await?;
    }
    responder.write_piece(events).await?;
    if is_end {
        responder.finish_body().await?;
    }
    Ok(())
}

/// Returns the fields of a target's answer that are passed on.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    head::strip_hop_by_hop(&mut headers);
    headers
}
