//! Streams split into events.

use zinniastall_gateway::path::events::Events;

/// An engine crashes in the middle of an event. Another engine resumes the stream at the start of
/// an event. If the partial event were kept, the caller would read an event made of parts of two
/// runs, in a response that looks complete.
#[test]
fn a_partial_event_is_dropped_when_another_target_resumes() {
    let mut events = Events::default();
    let first = events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some("1"));
    events.discard_partial();
    let rest = events.push(b"id: 2\ndata: b\n\n");
    assert_eq!(&rest[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some("2"));
}

/// Events arrive in pieces of any size. The bytes that are passed on are the same, and before the
/// end they never contain a partial event.
#[test]
fn events_are_whole_whatever_pieces_they_come_in() {
    let text: Vec<u8> = (1..40)
        .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).into_bytes())
        .collect();
    for size in 1..60 {
        let mut events = Events::default();
        let mut passed = Vec::new();
        for piece in text.chunks(size) {
            let whole = events.push(piece);
            assert!(whole.is_empty() || whole.ends_with(b"\n\n"), "size {size}");
            passed.extend_from_slice(&whole);
        }
        passed.extend_from_slice(&events.finish());
        assert_eq!(passed, text, "size {size}");
    }
}

/// The end of an event is split across two pieces, at any byte.
#[test]
fn an_end_is_found_across_pieces() {
    for end in ["\n\n", "\r\n\r\n"] {
        let text = format!("id: 1{end}id: 2{end}");
        for cut in 1..text.len() {
            let mut events = Events::default();
            let first = events.push(&text.as_bytes()[..cut]);
            let second = events.push(&text.as_bytes()[cut..]);
            assert_eq!([first, second].concat(), text.as_bytes(), "cut at {cut}");
            assert_eq!(events.last_id(), Some("2"));
        }
    }
}

/// An event is longer than the buffer. It is passed on as it arrives and counts as torn until its
/// end.
#[test]
fn a_long_event_is_torn_until_its_end() {
    let mut events = Events::default();
    let piece = vec![b'x'; 64 << 10];
    let passed: usize = (0..8).map(|_| events.push(&piece).len()).sum();
    assert!(passed > 0 && events.is_mid_event());
    let last = events.push(b"\n\n");
    assert_eq!(passed + last.len(), 8 * piece.len() + 2);
    assert!(!events.is_mid_event());
}

/// Event streams may end lines with a carriage return and a line feed.
#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut events = Events::default();
    let whole = events.push(b"id: 7\r\ndata: a\r\n\r\nid: 8");
    assert_eq!(&whole[..], b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(events.last_id(), Some("7"));
}

/// A stream that a caller resumes continues after the event that the caller names.
#[test]
fn a_resumed_stream_starts_after_the_named_event() {
    let events = Events::resuming_after(Some("12".to_owned()));
    assert_eq!(events.last_id(), Some("12"));
}
