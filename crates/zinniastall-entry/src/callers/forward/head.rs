//! Response heads in messages between instances.

use zinniastall_http::{ending::Ending, events::is_event_stream};
use zinniastall_model::{
    header::{PLACE, TARGET},
    place::Place,
};

use crate::callers::reply::{Body, Reply, Served};

/// Converts a received head to a reply with the given body.
pub(super) fn reply(
    status: u16,
    headers: Vec<(String, String)>,
    highest: Ending,
    body: Body,
) -> Reply {
    let find = |name: &str| {
        let mut pairs = headers.iter();
        let pair = pairs.find(|(key, _)| key == name)?;
        Some(pair.1.clone())
    };
    let length = find("content-length").and_then(|length| length.parse().ok());
    let events = find("content-type").is_some_and(|kind| is_event_stream(kind.as_bytes()));
    let place = find(PLACE).unwrap_or_default();
    let (region, zone) = place.split_once('/').unwrap_or_default();
    let served = Served {
        target: find(TARGET).unwrap_or_default(),
        place: Place::new(region, zone),
    };
    let consumed = ["content-length", PLACE, TARGET];
    let mut headers = headers;
    headers.retain(|(name, _)| !consumed.contains(&name.as_str()));
    Reply {
        status,
        headers,
        length,
        highest,
        events,
        offset: 0,
        served,
        software: None,
        body,
    }
}

/// Returns the headers of a reply, including those that carry its length, target and place.
pub(super) fn headers(reply: &Reply, buffered: Option<usize>) -> Vec<(String, String)> {
    let mut headers = reply.headers.clone();
    let length = buffered.map(|length| length as u64).or(reply.length);
    if let Some(length) = length {
        headers.push(("content-length".to_owned(), length.to_string()));
    }
    headers.push((TARGET.to_owned(), reply.served.target.clone()));
    headers.push((PLACE.to_owned(), reply.served.place.to_string()));
    headers
}
