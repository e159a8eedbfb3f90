//! Responses are complete or reported as incomplete.

use proptest::prelude::*;
use zinniastall_route::relay::{Events, Length};

use super::config;

const STREAM: &[u8] = b"data: {\"a\":1}\n\nevent: x\ndata: y\n\ndata: z\n\ndata: [DONE]\n\n";

/// Feeds a stream split at the given offsets; returns the final state and the relayed bytes.
fn feed(bytes: &[u8], mut cuts: Vec<usize>) -> (Events, Vec<u8>) {
    cuts.extend([0, bytes.len()]);
    cuts.retain(|cut| *cut <= bytes.len());
    cuts.sort_unstable();
    let (mut events, mut passed) = (Events::default(), Vec::new());
    for pair in cuts.windows(2) {
        passed.extend(events.push(&bytes[pair[0]..pair[1]]).unwrap());
    }
    (events, passed)
}

proptest! {
    #![proptest_config(config())]

    /// The relayed events do not depend on how the network splits a stream.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        cuts in prop::collection::vec(0..STREAM.len(), 0..20),
    ) {
        let (events, passed) = feed(STREAM, cuts);
        prop_assert_eq!(passed, STREAM);
        prop_assert_eq!(events.count(), 3);
        prop_assert!(events.end().is_ok());
    }

    /// A stream that stops anywhere before its end is incomplete, and only complete events are
    /// relayed.
    #[test]
    fn truncated_streams_are_incomplete(
        length in 0..STREAM.len(), cuts in prop::collection::vec(0..STREAM.len(), 0..20),
    ) {
        let (events, passed) = feed(&STREAM[..length], cuts);
        prop_assert!(events.end().is_err());
        prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
        let ends = passed.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
        prop_assert_eq!(events.count(), ends);
    }

    #[test]
    fn length_must_match_announcement(
        announced in 0_u64..100, parts in prop::collection::vec(0_usize..30, 0..6),
    ) {
        let sent: usize = parts.iter().sum();
        let mut length = Length::new(Some(announced));
        let fits = parts.iter().all(|part| length.push(&vec![0; *part]).is_ok());
        prop_assert_eq!(fits && length.end().is_ok(), sent as u64 == announced);
    }
}

#[test]
fn oversized_events_are_refused() {
    let mut events = Events::default();
    let part = vec![b'x'; 64 * 1024];
    assert!((0..8).any(|_| events.push(&part).is_err()));
}
