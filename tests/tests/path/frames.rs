//! Tests stream links whose frames arrive duplicated, late or out of order.

use std::net::SocketAddr;

use zinniastall_tests::{
    Result, http,
    proxy::{frames::Frames, rule::Direction},
};
use zinniastall_wire::stream::Message;

use super::{
    forward::regions,
    support::{KEY, System, ask, ask_once, chat, error, expected, runs, ticket},
};

/// Id of the request whose frames are altered.
const REQUEST_ID: &str = "changed-on-its-way";
const TOKENS: usize = 8;
const PROMPT: &str = "a billed proposal";

/// Puts a relay in front of Athens that alters the frames of the request [`REQUEST_ID`].
async fn start_with_relay(
    mut change: impl FnMut(Direction, Message) -> Vec<Message> + Send + 'static,
) -> Result<(System, Frames)> {
    let mut cluster = regions().await?;
    let mut marked = None;
    let change = move |way, message: Message| {
        if let Message::Open(open) = &message
            && open.request == REQUEST_ID
        {
            marked = Some(open.stream);
        }
        // Keepalives of an idle link (stream 0) are passed on too, so that `change` can release
        // a held frame when no other follows.
        if marked.is_some_and(|marked| [marked, 0].contains(&message.stream())) {
            return change(way, message);
        }
        vec![message]
    };
    let node = cluster.entry("athens-a-1")?;
    let upstream = node.process().address("links").await?;
    let frames = Frames::start(upstream, change)?;
    let proxy = node.proxy("links")?;
    proxy.upstream(frames.address());
    proxy.reset();
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let probe = chat("probe through the relay", 1, false);
    cluster.wait_serving(address, KEY, &probe).await?;
    Ok((cluster, frames))
}

/// Sends another request over the same link and checks its answer. A region that has broken an
/// answer gets no requests for a while.
async fn check_next_answer(cluster: &System, address: SocketAddr) -> Result<()> {
    cluster
        .wait_serving(address, KEY, &chat("probe", 1, false))
        .await?;
    let (_, events) = ask(address, &chat("the next", 3, true)).stream().await?;
    let answer = http::content(events).await?;
    assert_eq!(answer, (expected("the next", 3), true));
    Ok(())
}

/// Defines a case: how the parts of an answer are altered. The caller gets the whole answer, or
/// its beginning without an end; a resend of the ticket gets the same answer or "unknown"; the
/// request has run once; the next answer on the link is complete and correct.
macro_rules! parts {
    ($($name:ident: $whole:literal, $change:expr;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let (mut cluster, _frames) = start_with_relay($change).await?;
            let address = cluster.entry("patras-a-1")?.address("callers")?;
            let (ticket, body) = (ticket(address).await?, chat(PROMPT, TOKENS, true));
            let request = ask_once(address, &ticket, &body).header("x-zinniastall-request", REQUEST_ID);
            let (_, events) = request.stream().await?;
            let (text, done) = http::content(events).await?;
            assert_eq!(done, $whole, "{text}");
            assert!(expected(PROMPT, TOKENS).starts_with(&text), "not the text of this answer: {text}");
            assert!(!done || text == expected(PROMPT, TOKENS), "a cut answer looked complete: {text}");
            let again = ask_once(address, &ticket, &body).send().await?;
            let outcome = if done { String::new() } else { "unknown".to_owned() };
            assert_eq!(error(&again).0, outcome, "{}", again.text());
            assert_eq!(runs(&mut cluster, "engine-1", &body).await?.len(), 1);
            check_next_answer(&cluster, address).await?;
            cluster.stop().await
        }
    )+};
}

// A link between regions runs over devices that buffer and repeat. An answer with a part
// duplicated, late or lost must not look complete: the caller would take a partial answer, or
// one with a repeated part, for the whole.
parts! {
    doubled_part_never_looks_whole: false, |_, message| match message {
        Message::Data { offset: 1.., .. } => vec![message.clone(), message],
        _ => vec![message],
    };
    lost_part_never_looks_whole: false, {
        let mut parts = 0;
        move |_, message| {
            parts += u32::from(matches!(message, Message::Data { .. }));
            let lost = parts == 3 && matches!(message, Message::Data { .. });
            if lost { Vec::new() } else { vec![message] }
        }
    };
    swapped_parts_never_look_whole: false, {
        let (mut parts, mut held) = (0, None);
        move |_, message| {
            parts += u32::from(matches!(message, Message::Data { .. }));
            match (parts, &message) {
                (3, Message::Data { .. }) => {
                    held = Some(message);
                    Vec::new()
                }
                _ => std::iter::once(message).chain(held.take()).collect(),
            }
        }
    };
    end_before_the_last_part_never_looks_whole: false, {
        let mut held = None;
        move |way, message| match message {
            Message::Data { .. } => held.replace(message).into_iter().collect(),
            Message::End { .. } => std::iter::once(message).chain(held.take()).collect(),
            _ if way == Direction::Up => vec![message],
            _ => held.take().into_iter().chain([message]).collect(),
        }
    };
    parts_of_an_ended_stream_are_dropped: true, {
        let mut sent = Vec::new();
        move |_, message| match &message {
            Message::Data { .. } => {
                sent.push(message.clone());
                vec![message]
            }
            Message::End { .. } => [message.clone()].into_iter().chain(sent.drain(..)).chain([message]).collect(),
            _ => vec![message],
        }
    };
}

/// Defines a case: whether the request is at most once, and whether its duplicated frame arrives
/// at once or after the end of its answer. The request runs once, and the answer is complete.
macro_rules! doubled_open {
    ($($name:ident: $once:literal, $late:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let (mut opened, mut ended) = (None, false);
            let (again, mut repeated) = tokio::sync::mpsc::unbounded_channel();
            let (mut cluster, _frames) = start_with_relay(move |way, message| {
                if let Message::Open(open) = &message {
                    opened = Some(Message::Open(open.clone()));
                }
                ended |= matches!(message, Message::End { .. });
                let due = way == Direction::Up && (ended || !$late);
                let double = due.then(|| opened.take()).flatten();
                if double.is_some() {
                    let _ = again.send(());
                }
                std::iter::once(message).chain(double).collect()
            })
            .await?;
            let address = cluster.entry("patras-a-1")?.address("callers")?;
            let ticket = ticket(address).await?;
            let body = chat(PROMPT, TOKENS, true);
            let request = if $once { ask_once(address, &ticket, &body) } else { ask(address, &body) };
            let (_, events) = request.header("x-zinniastall-request", REQUEST_ID).stream().await?;
            assert_eq!(http::content(events).await?, (expected(PROMPT, TOKENS), true));
            assert_eq!(repeated.recv().await, Some(()));
            // Anything that the duplicated frame started would be in the ledger before this
            // request.
            check_next_answer(&cluster, address).await?;
            assert_eq!(runs(&mut cluster, "engine-1", &body).await?.len(), 1);
            cluster.stop().await
        }
    )+};
}

// The frame that opens a request in another region arrives twice, the second time possibly after
// its answer. If it ran again, it would be billed twice.
doubled_open! {
    doubled_request_runs_once: false, false;
    doubled_request_after_its_answer_runs_once: false, true;
    doubled_ticket_runs_once: true, false;
    doubled_ticket_after_its_answer_runs_once: true, true;
}
