//! Streams cut into events.

use zinniastall_gateway::path::events::Events;

/// An engine crashes in the middle of an event. The rest of the stream comes from another engine and
/// begins with a whole event. If the half one were kept, the caller would read an event made of
/// halves of two runs, in the middle of an answer that looks whole.
#[test]
fn a_half_event_is_dropped_where_another_target_goes_on() {
    let mut events = Events::default();
    let first = events.take(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last(), Some("1"));
    events.resume();
    let rest = events.take(b"id: 2\ndata: b\n\n");
    assert_eq!(&rest[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.last(), Some("2"));
}

/// Events arrive in any pieces; what is passed on is the same bytes, and never a half event before
/// the end.
#[test]
fn events_are_whole_whatever_pieces_they_come_in() {
    let text: Vec<u8> = (1..40)
        .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).into_bytes())
        .collect();
    for size in 1..60 {
        let mut events = Events::default();
        let mut passed = Vec::new();
        for piece in text.chunks(size) {
            let whole = events.take(piece);
            assert!(whole.is_empty() || whole.ends_with(b"\n\n"), "size {size}");
            passed.extend_from_slice(&whole);
        }
        passed.extend_from_slice(&events.rest());
        assert_eq!(passed, text, "size {size}");
    }
}

/// Event sources may end lines with a carriage return.
#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut events = Events::default();
    let whole = events.take(b"id: 7\r\ndata: a\r\n\r\nid: 8");
    assert_eq!(&whole[..], b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(events.last(), Some("7"));
}

/// A stream that a caller resumes goes on after the event that the caller names.
#[test]
fn a_resumed_stream_starts_after_the_named_event() {
    let events = Events::after(Some("12".to_owned()));
    assert_eq!(events.last(), Some("12"));
}
