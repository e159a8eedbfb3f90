//! Relays answers and sees to it that a cut one never looks whole.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use zinniastall_route::{
    outcome::{Reason, Refusal},
    relay::Events,
};

use super::{
    answer::GATHER,
    reply::{Body, Reply},
};

/// Passes on whole events only and fails when the closing one is missing.
pub fn events(body: Body) -> Body {
    let next = |state: Option<(Body, Events)>| async move {
        let (mut body, mut events) = state?;
        loop {
            let broken = Refusal::unknown(Reason::Broken);
            match body.next().await {
                Some(Ok(bytes)) => match events.part(&bytes) {
                    Ok(whole) if whole.is_empty() => {}
                    Ok(whole) => return Some((Ok(Bytes::from(whole)), Some((body, events)))),
                    Err(_) => return Some((Err(broken), None)),
                },
                Some(Err(refusal)) => return Some((Err(refusal), None)),
                None if events.end().is_ok() => return None,
                None => return Some((Err(broken), None)),
            }
        }
    };
    stream::unfold(Some((body, Events::default())), next).boxed_local()
}

/// Gathers a short answer, so that its end is known before its head is sent.
///
/// Returns `None` for an answer that is an event stream or longer than [`GATHER`]; the reply then
/// still has its whole body.
///
/// # Errors
///
/// The refusal that cut the answer.
pub async fn gather(reply: &mut Reply) -> Result<Option<Bytes>, Refusal> {
    let long = reply.length.is_some_and(|length| length > GATHER as u64);
    if reply.events || long {
        return Ok(None);
    }
    let mut gathered = Vec::new();
    while let Some(part) = reply.body.next().await {
        gathered.extend_from_slice(&part?);
        if gathered.len() > GATHER {
            let rest = std::mem::replace(&mut reply.body, stream::empty().boxed_local());
            let first = stream::once(async move { Ok(Bytes::from(gathered)) });
            reply.body = first.chain(rest).boxed_local();
            return Ok(None);
        }
    }
    Ok(Some(gathered.into()))
}
