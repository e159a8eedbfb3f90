//! Forwards the answer of an attempt, and decides what is known of its end.
//!
//! The body's decoder tells how it ended on its connection. Two more things lower that: a stream that
//! ends inside an event was broken off, and so was an answer without framing whose target has crashed.

use std::{io, time::Instant};

use bytes::Bytes;
use zinniastall_http::{
    body::Decoder,
    client::Rest,
    connection::Part,
    ending::Ending,
    events::{Events, Torn},
    head::Response,
    pool::Connection,
    probe,
};

use super::{
    Proxy,
    attempt::{Attempt, Ended, Place, Why},
    held::Share,
    responder::{Responder, Whole},
    segments::Segments,
    transfer::{
        Delimited, MAX_ANSWER_BYTES, end_to_end_headers, forward_piece, is_event_stream, read_body,
    },
};
use crate::tracker::Guard;

/// Reason why an answer without framing counts as broken off.
const CRASHED: &str = "the connection ended as the target crashed";

impl Proxy {
    /// Forwards an answer once it has ended: until then, a truncated answer can still become a
    /// refusal.
    pub(super) async fn forward_whole(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        exchanged: (&mut Connection, Rest),
        responder: &mut Responder,
    ) -> Ended {
        let mut held = self.held.start();
        let received = self
            .receive_whole(attempt, response, exchanged, &mut held)
            .await;
        let (body, ending) = match received {
            Ok(received) => received,
            Err(why) => return Ended::Unknown(why),
        };
        let answer = Whole {
            status: response.status,
            headers: end_to_end_headers(&response.headers),
            body,
        };
        if response.status.is_server_error() && attempt.job.is_retryable() {
            return Ended::Failing(answer, ending);
        }
        match responder.send_whole(answer, ending).await {
            Ok(()) => Ended::Delivered(ending),
            Err(error) => Ended::CallerGone(error),
        }
    }

    /// Reads a whole body, and decides what is known of its end.
    async fn receive_whole(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        (connection, rest): (&mut Connection, Rest),
        held: &mut Share<'_>,
    ) -> Result<(Segments, Ending), Why> {
        let delimited = Delimited::of(attempt.job, attempt.place, response)?;
        let mut received = read_body(delimited, &mut connection.reader, held).await;
        if matches!(received, Ok((_, Ending::Unconfirmed)))
            && let Err(error) = rest.confirm(&mut connection.writer).await
        {
            received = Err(unread(&error));
        }
        if let Ok((body, ending)) = &received {
            let is_events = is_event_stream(response) == Some(true);
            if is_events && ends_inside_event(body) {
                received = Err(Torn.to_string());
            } else if *ending == Ending::Unconfirmed && self.shows_crash(attempt.place).await {
                received = Err(CRASHED.to_owned());
            }
        }
        let ending = received
            .as_ref()
            .map_or(Ending::Incomplete, |(_, ending)| *ending);
        self.metrics.count_ending(delimited.framing, ending);
        received
    }

    /// Forwards a stream event by event.
    pub(super) async fn forward_stream(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        (connection, mut rest): (&mut Connection, Rest),
        flight: &mut Guard,
        events: &mut Events,
        responder: &mut Responder,
    ) -> Ended {
        let delimited = match Delimited::of(attempt.job, attempt.place, response) {
            Ok(delimited) => delimited,
            Err(why) => return Ended::Unknown(why),
        };
        let origin = Self::origin(attempt, response);
        if let Some(required) = attempt.requirement.origin()
            && origin.as_ref() != Some(required)
        {
            return other_version(responder);
        }
        let is_events = is_event_stream(response).unwrap_or(true);
        if responder.has_begun() && !is_events {
            return Ended::Broken("no event stream to resume".to_owned());
        }
        let mut parts = Parts::new(is_events, events);
        let mut decoder = Decoder::new(delimited.framing);
        let mut has_gone_on = false;
        loop {
            let next = async {
                let part = connection.reader.part(&mut decoder).await;
                part.map_err(|error| error.to_string())
            };
            let part = match self.while_reachable(attempt, next).await {
                Ok(part) => part,
                Err(why) => return self.broken(why, delimited, &parts, responder),
            };
            if matches!(part, Part::End(Ending::Unconfirmed))
                && let Err(error) = std::mem::take(&mut rest)
                    .confirm(&mut connection.writer)
                    .await
            {
                return self.broken(unread(&error), delimited, &parts, responder);
            }
            self.heard(attempt.place, !connection.is_used);
            let ending = match &part {
                Part::Piece(_) => None,
                Part::End(ending) => Some((*ending).min(delimited.highest)),
            };
            let piece = match parts.next(part) {
                Ok(piece) => piece,
                Err(torn) => {
                    return self.broken(torn.to_string(), delimited, &parts, responder);
                }
            };
            if !piece.is_empty() {
                flight.answer_started();
                if let Some(watch) = &mut flight.watch {
                    watch.event(Instant::now());
                }
                if attempt.began.borrow().is_none() {
                    self.began(attempt, origin.as_ref());
                }
            }
            if ending.is_some() || !piece.is_empty() {
                let (highest, origin) = (delimited.highest, origin.as_ref());
                let forwarded = forward_piece(response, highest, origin, piece, responder).await;
                if let Err(error) = forwarded {
                    return Ended::CallerGone(error);
                }
                if let Some(watch) = &mut flight.watch {
                    watch.forwarded(Instant::now());
                }
            }
            let Some(ending) = ending else {
                has_gone_on = has_gone_on || self.record_progress(attempt.job, responder);
                continue;
            };
            if ending == Ending::Unconfirmed && self.has_ended_with(attempt.place).await {
                return self.broken(CRASHED.to_owned(), delimited, &parts, responder);
            }
            self.metrics.count_ending(delimited.framing, ending);
            return match responder.finish_body(ending).await {
                Ok(true) => Ended::Delivered(ending),
                Ok(false) => Ended::Torn("the answer that resumes it has no framing".to_owned()),
                Err(error) => Ended::CallerGone(error),
            };
        }
    }

    /// Ends an attempt whose stream was broken off.
    fn broken(
        &self,
        why: Why,
        delimited: Delimited,
        parts: &Parts<'_>,
        responder: &Responder,
    ) -> Ended {
        self.metrics
            .count_ending(delimited.framing, Ending::Incomplete);
        if !responder.has_begun() {
            Ended::Unknown(why)
        } else if parts.may_go_on_elsewhere() {
            Ended::Broken(why)
        } else {
            Ended::Torn(why)
        }
    }

    /// Returns whether the target behind an answer's connection has crashed.
    ///
    /// All its requests, of which there are several, ended in one moment, or an idle connection has
    /// ended: then its health is asked for. While an idle one stays open, its process lives. Without any
    /// a new one is opened, which the next request to the target uses, as this answer's connection is
    /// gone.
    async fn shows_crash(&self, place: &Place) -> bool {
        let Some((target, address)) = place.direct() else {
            return false;
        };
        self.closings.note(target);
        // Lets other tasks read the ends of their connections, if these have ended, too.
        tokio::task::yield_now().await;
        let ended = self.closings.recent(target);
        let in_flight = self.own_in_flight(target) as usize;
        let have_all_ended = ended > 1 && ended >= in_flight;
        if have_all_ended || self.pool.has_lost(address) {
            return self.has_ended_with(place).await;
        }
        !self.pool.has_idle(address) && self.refuses_to_connect(target, address).await
    }

    /// Opens a connection for the next request to a target; returns whether the target refuses it,
    /// although it was expected to stay.
    async fn refuses_to_connect(&self, target: &str, address: &str) -> bool {
        if !self.is_expected_to_stay(target) {
            return false;
        }
        match probe::connect(address).await {
            Ok(connection) => {
                self.pool.keep(address, connection);
                false
            }
            Err(is_refused) => is_refused,
        }
    }

    /// Returns whether the target behind an answer's connection has ended, although it was expected to
    /// stay.
    async fn has_ended_with(&self, place: &Place) -> bool {
        let Some((target, address)) = place.direct() else {
            return false;
        };
        self.has_ended(target, address).await
    }
}

/// Returns why an answer counts as broken off whose target didn't read the request to its end.
fn unread(error: &io::Error) -> Why {
    format!("ended before the request was read: {error}")
}

/// Ends an attempt whose answer doesn't come from the version that began the stream.
fn other_version(responder: &Responder) -> Ended {
    let why = "the other instance sent it to another version".to_owned();
    if responder.has_begun() {
        Ended::Broken(why)
    } else {
        Ended::Unknown(why)
    }
}

/// Returns whether a body of events ends inside one.
fn ends_inside_event(body: &Segments) -> bool {
    let mut events = Events::default();
    let is_torn = body.pieces().any(|piece| events.push(piece).is_err());
    is_torn || events.finish().is_err()
}

/// Parts of a stream that may be forwarded.
struct Parts<'a> {
    /// Whether the stream is a series of events; otherwise it is forwarded as it arrives.
    is_events: bool,
    events: &'a mut Events,
    /// Bytes that were forwarded as they arrived.
    plain_bytes: usize,
}

impl<'a> Parts<'a> {
    fn new(is_events: bool, events: &'a mut Events) -> Self {
        events.discard_partial();
        Self {
            is_events,
            events,
            plain_bytes: 0,
        }
    }

    /// Returns what may be forwarded with the next part of the stream.
    fn next(&mut self, part: Part) -> Result<Bytes, Torn> {
        match part {
            Part::Piece(piece) if self.is_events => self.events.push(&piece),
            Part::Piece(piece) => {
                self.plain_bytes += piece.len();
                let is_sound = self.plain_bytes <= MAX_ANSWER_BYTES;
                is_sound.then_some(piece).ok_or(Torn)
            }
            Part::End(_) if self.is_events => self.events.finish(),
            Part::End(_) => Ok(Bytes::new()),
        }
    }

    /// Returns whether another target could continue the stream.
    const fn may_go_on_elsewhere(&self) -> bool {
        self.is_events && !self.events.is_mid_event()
    }
}
