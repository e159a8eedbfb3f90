//! Reads the answers of targets and forwards them.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method};
use tokio::time;
use zinniastall_http::{
    body::{Decoder, Framing},
    connection::{MAX_RESPONSE_HEAD_BYTES, Reader},
    head::{self, Response},
};

use super::{attempt::Why, job::Job, responder::Responder};

/// Longest complete answer; streams have no limit.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Longest wait for the body of a refusal, which nobody reads. A target that states no length or
/// stalls would delay a request whose outcome is known, so its connection is closed instead, at the
/// cost of a new one. Nearly all refusals arrive in one piece.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(5);

/// Reads the head of the next answer.
pub(super) async fn next_head(reader: &mut Reader) -> Result<Response, Why> {
    match reader.head::<Response>(MAX_RESPONSE_HEAD_BYTES).await {
        Ok(Some(response)) => Ok(response),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Drains the body of a refusal and returns whether the connection may be reused.
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

/// Drains a body and returns whether it ended cleanly.
pub(super) async fn drain_body(reader: &mut Reader, mut decoder: Decoder) -> bool {
    loop {
        match reader.piece(&mut decoder).await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}

/// Reads the body of a complete answer.
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
                return Err("answer exceeds the size limit".to_owned());
            }
            Some(piece) => body.extend_from_slice(&piece),
            None => return Ok(body.freeze()),
        }
    }
}

/// Forwards events of a stream, preceded by its head if that has not been sent yet.
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

/// Returns the headers of a target's answer without hop-by-hop fields.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    head::strip_hop_by_hop(&mut headers);
    headers
}
