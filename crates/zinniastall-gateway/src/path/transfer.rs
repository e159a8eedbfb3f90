//! Reads the answers of targets and forwards them.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method};
use tokio::time;
use zinniastall_http::{
    body::{Decoder, Framing},
    connection::{MAX_RESPONSE_HEAD_BYTES, Part, Reader},
    ending::Ending,
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

/// Drains a body and returns whether it is complete.
pub(super) async fn drain_body(reader: &mut Reader, mut decoder: Decoder) -> bool {
    loop {
        match reader.part(&mut decoder).await {
            Ok(Part::Piece(_)) => {}
            Ok(Part::End(ending)) => return ending == Ending::Complete,
            Err(_) => return false,
        }
    }
}

/// Returns the framing of the answer to a request.
pub(super) fn framing(job: &Job, response: &Response) -> Result<Framing, Why> {
    let framing = response.framing(job.head.method == Method::HEAD);
    framing.map_err(|fault| fault.to_string())
}

/// Reads a whole body, and what is known of its end.
pub(super) async fn read_body(
    framing: Framing,
    reader: &mut Reader,
) -> Result<(Bytes, Ending), Why> {
    let mut decoder = Decoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        let part = reader.part(&mut decoder).await;
        match part.map_err(|error| error.to_string())? {
            Part::Piece(piece) if body.len() + piece.len() > MAX_ANSWER_BYTES => {
                return Err("answer exceeds the size limit".to_owned());
            }
            Part::Piece(piece) => body.extend_from_slice(&piece),
            Part::End(ending) => return Ok((body.freeze(), ending)),
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
