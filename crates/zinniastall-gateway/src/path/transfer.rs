//! Reads the answers of targets and forwards them.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, header::CONTENT_TYPE};
use tokio::time;
use zinniastall_coord::origin::Origin;
use zinniastall_http::{
    body::{Decoder, Framing},
    connection::{Part, Reader},
    ending::Ending,
    events,
    head::{self, Response},
};

use super::{
    attempt::{Place, Why},
    held::Share,
    job::Job,
    origin,
    responder::Responder,
    segments::Segments,
};
use crate::headers::{CLOSE_DELIMITED, INTERNAL_PREFIX, ORIGIN};

/// Longest answer, but for a series of events, which has no limit.
pub(super) const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Longest body that is drained to keep its connection.
const MAX_DRAINED_BYTES: usize = 256 << 10;
/// Longest wait for the body of a refusal, which nobody reads. A target that states no length or
/// stalls would delay a request whose outcome is known, so its connection is closed instead, at the
/// cost of a new one. Nearly all refusals arrive in one piece.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(5);

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
    let mut drained = 0;
    loop {
        match reader.part(&mut decoder).await {
            Ok(Part::Piece(piece)) if drained + piece.len() > MAX_DRAINED_BYTES => return false,
            Ok(Part::Piece(piece)) => drained += piece.len(),
            Ok(Part::End(ending)) => return ending == Ending::Complete,
            Err(_) => return false,
        }
    }
}

/// How an answer is delimited, here and at its target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Delimited {
    /// Framing on the connection from which it is read.
    pub(super) framing: Framing,
    /// The most that can be known of its end.
    pub(super) highest: Ending,
}

impl Delimited {
    /// Reads how an answer is delimited that came from a place.
    pub(super) fn of(job: &Job, place: &Place, response: &Response) -> Result<Self, Why> {
        let framing = response.framing(job.head.method == Method::HEAD);
        let framing = framing.map_err(|fault| fault.to_string())?;
        let is_close = framing == Framing::Close;
        let is_instance = matches!(place, Place::Instance { .. });
        if is_instance && is_close {
            // Instances mark the end of all that they forward.
            return Err("the other instance's answer has no framing".to_owned());
        }
        let is_doubtful =
            is_close || (is_instance && response.headers.contains_key(CLOSE_DELIMITED));
        let highest = if is_doubtful {
            Ending::Unconfirmed
        } else {
            Ending::Complete
        };
        Ok(Self { framing, highest })
    }
}

/// Returns whether an answer says that its body is a series of events, if it says anything of it.
pub(super) fn is_event_stream(response: &Response) -> Option<bool> {
    let kind = response.headers.get(CONTENT_TYPE)?;
    Some(events::is_event_stream(kind.as_bytes()))
}

/// Reads a whole body, and what is known of its end.
pub(super) async fn read_body(
    delimited: Delimited,
    reader: &mut Reader,
    held: &mut Share<'_>,
) -> Result<(Segments, Ending), Why> {
    let fits = |length: u64| usize::try_from(length).is_ok_and(|length| length <= MAX_ANSWER_BYTES);
    if matches!(delimited.framing, Framing::Length(length) if !fits(length)) {
        return Err("answer exceeds the size limit".to_owned());
    }
    let mut decoder = Decoder::new(delimited.framing);
    let mut body = Segments::default();
    loop {
        let part = reader.part(&mut decoder).await;
        match part.map_err(|error| error.to_string())? {
            Part::Piece(piece) if body.len() + piece.len() > MAX_ANSWER_BYTES => {
                return Err("answer exceeds the size limit".to_owned());
            }
            Part::Piece(piece) if !held.add(body.growth(piece.len())) => {
                return Err("answers in progress exceed the memory for them".to_owned());
            }
            Part::Piece(piece) => body.push(&piece),
            Part::End(ending) => return Ok((body, ending.min(delimited.highest))),
        }
    }
}

/// Forwards part of a stream, preceded by its head if that has not been sent yet; another instance is
/// told what wrote it.
pub(super) async fn forward_piece(
    response: &Response,
    highest: Ending,
    origin: Option<&Origin>,
    piece: Bytes,
    responder: &mut Responder,
) -> io::Result<()> {
    if !responder.has_begun() {
        let mut headers = end_to_end_headers(&response.headers);
        if responder.is_instance() {
            origin::state(&mut headers, ORIGIN, origin);
        }
        responder
            .write_head(response.status, headers, highest)
            .await?;
    }
    responder.write_piece(piece).await
}

/// Returns the headers of an answer without those that concern only its connection, or that instances
/// exchange: from a target they would count as this instance's word.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    head::strip_hop_by_hop(&mut headers);
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    let internal: Vec<HeaderName> = headers.keys().filter(is_internal).cloned().collect();
    for name in internal {
        headers.remove(name);
    }
    headers
}
