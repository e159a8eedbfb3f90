//! Responses are complete or reported as incomplete.

use proptest::prelude::*;
use zinniastall_route::relay::{Events, Length};

use super::config;

const STREAM: &[u8] = b"data: {\"a\":1}\n\nevent: x\ndata: y\n\ndata: z\n\ndata: [DONE]\n\n";

/// Returns the stream with other line ends; it has as many bytes at least.
fn with_line_ends(line_end: &str) -> Vec<u8> {
    let text = std::str::from_utf8(STREAM).unwrap();
    text.replace('\n', line_end).into_bytes()
}

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

    /// The relayed events do not depend on how the network splits a stream, nor on how its lines end.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        cuts in prop::collection::vec(0..2 * STREAM.len(), 0..20),
        line_end in prop::sample::select(vec!["\n", "\r\n"]),
    ) {
        let stream = with_line_ends(line_end);
        let (events, passed) = feed(&stream, cuts);
        prop_assert_eq!(passed, stream);
        prop_assert_eq!(events.count(), 3);
        prop_assert!(events.end().is_ok());
    }

    /// A stream that stops anywhere before its end is incomplete, and only complete events are
    /// relayed.
    #[test]
    fn truncated_streams_are_incomplete(
        length in 0..STREAM.len(), cuts in prop::collection::vec(0..STREAM.len(), 0..20),
        line_end in prop::sample::select(vec!["\n", "\r\n"]),
    ) {
        let (events, passed) = feed(&with_line_ends(line_end)[..length], cuts);
        prop_assert!(events.end().is_err());
        let event_end = line_end.repeat(2).into_bytes();
        prop_assert!(passed.is_empty() || passed.ends_with(&event_end));
        let ends = passed.windows(event_end.len()).filter(|end| *end == event_end);
        let ends = ends.count() as u64;
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
