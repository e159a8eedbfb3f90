//! Tests of body decoding, with the input split at arbitrary positions.

use bytes::BytesMut;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use zinniastall_http::{
    body::{Decoder, Error, Framing, LAST_CHUNK, Step, write_chunk},
    ending::Ending,
};

const SEED: u64 = 5;

fn runner() -> TestRunner {
    println!("seed {SEED}");
    TestRunner::new(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Decodes bytes fed in pieces; returns the body, whether it is complete, and the remaining input.
fn decode(framing: Framing, bytes: &[u8], size: usize) -> Result<(Vec<u8>, bool, Vec<u8>), Error> {
    let mut decoder = Decoder::new(framing);
    let (mut input, mut body) = (BytesMut::new(), Vec::new());
    for piece in bytes.chunks(size.max(1)) {
        input.extend_from_slice(piece);
        while let Step::Piece(bytes) = decoder.decode(&mut input)? {
            body.extend_from_slice(&bytes);
        }
    }
    Ok((body, decoder.is_done(), input.to_vec()))
}

fn chunked(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut output = BytesMut::new();
    for piece in pieces {
        write_chunk(&mut output, piece);
    }
    output.extend_from_slice(LAST_CHUNK);
    output.to_vec()
}

#[test]
fn chunked_bodies_decode_however_the_input_is_split() {
    let pieces = prop::collection::vec(prop::collection::vec(any::<u8>(), 0..400), 0..8);
    let result = runner().run(&(pieces, 1..64_usize), |(pieces, size)| {
        let mut bytes = chunked(&pieces);
        bytes.extend_from_slice(b"next");
        let (body, done, rest) = decode(Framing::Chunked, &bytes, size)?;
        prop_assert!(done);
        prop_assert_eq!(body, pieces.concat());
        prop_assert_eq!(rest, b"next");
        Ok(())
    });
    result.expect("every split decodes to the same body");
}

/// A connection ends in the middle of a body. The body must never be taken for complete.
#[test]
fn a_truncated_body_is_never_complete() {
    let bytes = chunked(&[b"first".to_vec(), b"second".to_vec()]);
    for length in 0..bytes.len() {
        let (_, done, _) = decode(Framing::Chunked, &bytes[..length], 7).expect("a valid prefix");
        assert!(!done, "cut at {length}");
    }
    let mut decoder = Decoder::new(Framing::Length(10));
    let mut input = BytesMut::from(&b"123"[..]);
    assert!(matches!(decoder.decode(&mut input), Ok(Step::Piece(_))));
    assert_eq!(decoder.finish(), Err(Error::Truncated));
    let mut until_close = Decoder::new(Framing::Close);
    assert_eq!(until_close.finish(), Ok(Ending::Unconfirmed));
}

/// Chunk sizes and line ends that some recipients accept and others don't.
#[test]
fn malformed_chunks_are_refused() {
    let malformed: [&[u8]; 9] = [
        b"+3\r\nabc\r\n",
        b"-1\r\n",
        b"0x3\r\nabc\r\n",
        b"3\nabc\r\n",
        b"\r\nabc\r\n",
        b"3\r\nabcd\r\n",
        b"3\r\nabc\n0\r\n\r\n",
        b"fffffffffffffffff\r\n",
        b"ffffffff0\r\n",
    ];
    for bytes in malformed {
        let read = decode(Framing::Chunked, bytes, bytes.len());
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(read, Err(Error::MalformedChunk), "{text}");
    }
}

/// On arbitrary input, the decoder neither panics nor takes more than the body.
#[test]
fn arbitrary_bodies_never_panic() {
    let framings = prop_oneof![
        Just(Framing::Chunked),
        Just(Framing::Close),
        (0..64_u64).prop_map(Framing::Length),
    ];
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    let result = runner().run(&(framings, bytes, 1..40_usize), |(framing, bytes, size)| {
        let read = decode(framing, &bytes, size);
        if let (Framing::Length(length), Ok((body, ..))) = (framing, read) {
            prop_assert!(body.len() as u64 <= length);
        }
        Ok(())
    });
    result.expect("no input panics");
}

/// Guards against a body that counts as complete although it was cut, at any offset, in any framing, and
/// against an end of the connection that confirms more than the framing does.
#[test]
fn a_body_is_complete_only_if_it_says_so_itself() {
    let pieces = prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..5);
    let input = (pieces, 0..3_usize, 0..400_usize, 1..64_usize);
    let result = runner().run(&input, |(pieces, kind, cut, size)| {
        let body = pieces.concat();
        let (framing, sent) = match kind {
            0 => (Framing::Length(body.len() as u64), body.clone()),
            1 => (Framing::Chunked, chunked(&pieces)),
            _ => (Framing::Close, body.clone()),
        };
        let cut = cut.min(sent.len());
        let mut decoder = Decoder::new(framing);
        let (mut input, mut read) = (BytesMut::new(), Vec::new());
        for piece in sent[..cut].chunks(size) {
            input.extend_from_slice(piece);
            while let Step::Piece(bytes) = decoder.decode(&mut input)? {
                read.extend_from_slice(&bytes);
            }
        }
        let expected = match framing {
            Framing::Close => Ok(Ending::Unconfirmed),
            _ if cut == sent.len() => Ok(Ending::Complete),
            _ => Err(Error::Truncated),
        };
        prop_assert_eq!(decoder.finish(), expected);
        prop_assert!(body.starts_with(&read));
        if expected.is_ok() {
            prop_assert_eq!(read.len(), if kind == 2 { cut } else { body.len() });
        }
        Ok(())
    });
    result.expect("complete only if whole");
}

/// Guards against memory without bound for a line that doesn't end: a size, an extension, a trailer, or
/// the end of a chunk.
#[test]
fn a_line_without_end_is_refused() {
    for (before, again) in [
        ("", "0"),
        ("3;", "x"),
        ("3\r\nabc", "x"),
        ("0\r\n", "x"),
        ("0\r\n", "x: y\r\n"),
        ("0\r\n", "\r"),
    ] {
        let mut decoder = Decoder::new(Framing::Chunked);
        let mut input = BytesMut::from(before);
        let mut read = Ok(Step::More);
        let mut most = 0;
        for _ in 0..100_000 {
            input.extend_from_slice(again.as_bytes());
            most = most.max(input.len());
            read = decoder.decode(&mut input);
            while matches!(read, Ok(Step::Piece(_))) {
                read = decoder.decode(&mut input);
            }
            if read.is_err() {
                break;
            }
        }
        assert_eq!(read, Err(Error::MalformedChunk), "{before:?}, {again:?}");
        assert!(most <= 1_024, "{most} bytes of {again:?}");
    }
}

/// Guards against parts of the framing that are taken for the body, whatever bytes they hold.
#[test]
fn nothing_of_extensions_and_trailers_is_in_the_body() {
    for byte in (0..=u8::MAX).filter(|byte| *byte != b'\n') {
        for (before, after) in [
            (&b"3;x"[..], &b"y\r\nabc\r\n0\r\n\r\n"[..]),
            (b"3\r\nabc\r\n0\r\na ", b"b: c\r\n\r\n"),
            (b"3\r\nabc\r\n0;", b"\r\n\r\n"),
        ] {
            let bytes = [before, &[byte], after].concat();
            if let Ok((body, is_done, rest)) = decode(Framing::Chunked, &bytes, bytes.len()) {
                assert_eq!(body, b"abc", "{byte}");
                assert!(is_done && rest.is_empty(), "{byte}");
            }
        }
    }
}
