//! Answers that arrive while their request is still written.

use std::{io, time::Duration};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time,
};
use zinniastall_http::{
    body::Decoder,
    client::Exchange,
    connection::{Error, Part},
    ending::Ending,
    pool::Connection,
};

/// Length of a request that fits into no buffer between the two ends.
const LONG: usize = 32 << 20;
const TIMEOUT: Duration = Duration::from_secs(20);
const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhalf";

/// How a server ends its connection behind an answer, with most of the request unread.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Resets it before it has read anything.
    ResetAtOnce,
    /// Resets it while the request is written.
    Reset,
    /// Ends its direction in order, and resets the connection later.
    InOrder,
    /// Closes the connection: its direction ends in order, and what is written later is reset.
    Closed,
    /// Ends its direction in order, and reads the request to its end.
    HalfClosed,
}

async fn serve(listener: TcpListener, end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    if !matches!(end, End::ResetAtOnce) {
        let mut begun = [0; 4096];
        stream.read_exact(&mut begun).await.expect("a request");
    }
    stream.write_all(PART).await.expect("an open connection");
    if matches!(end, End::HalfClosed) {
        stream.shutdown().await.expect("an open connection");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.expect("the request");
        return;
    }
    if matches!(end, End::Closed) {
        stream.shutdown().await.expect("an open connection");
        return;
    }
    if matches!(end, End::InOrder) {
        stream.shutdown().await.expect("an open connection");
        time::sleep(Duration::from_millis(50)).await;
    }
    stream.set_zero_linger().expect("an open socket");
}

/// Sends a long request, and returns the body of the answer with what is known of its end.
async fn exchange(end: End) -> Result<(Vec<u8>, Ending), Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let server = tokio::spawn(serve(listener, end));
    if matches!(end, End::ResetAtOnce) {
        let opened = Connection::open(&address, TIMEOUT).await?;
        server.await.expect("the server ends");
        return read_on(opened, LONG).await;
    }
    read_answer(&address, LONG).await
}

/// Sends a request of some length, and returns the body of the answer with what is known of its end.
async fn read_answer(address: &str, length: usize) -> Result<(Vec<u8>, Ending), Error> {
    read_on(Connection::open(address, TIMEOUT).await?, length).await
}

async fn read_on(connection: Connection, length: usize) -> Result<(Vec<u8>, Ending), Error> {
    let (body, ending, _) = read_and_confirm(connection, length).await?;
    Ok((body, ending))
}

/// Reads an answer; returns its body, what is known of its end, and what the rest of the request tells.
async fn read_and_confirm(
    mut connection: Connection,
    length: usize,
) -> Result<(Vec<u8>, Ending, io::Result<()>), Error> {
    let request = Bytes::from(vec![b'x'; length]);
    let Connection { reader, writer, .. } = &mut connection;
    let mut exchange = Exchange::start(reader, writer, [request, Bytes::new()]);
    let head = exchange.next_head().await?;
    let rest = exchange.rest();
    drop(exchange);
    let mut decoder = Decoder::new(head.framing(false)?);
    let mut body = Vec::new();
    loop {
        match connection.reader.part(&mut decoder).await? {
            Part::Piece(piece) => body.extend_from_slice(&piece),
            Part::End(ending) => {
                let confirmed = rest.confirm(&mut connection.writer).await;
                return Ok((body, ending, confirmed));
            }
        }
    }
}

/// Guards against the part of an answer before a reset that counts as the whole, since the failed
/// writing of the request took the error.
#[tokio::test]
async fn a_reset_that_the_writing_notices_ends_no_answer() {
    for end in [End::ResetAtOnce, End::Reset] {
        let read = exchange(end).await;
        assert!(read.is_err(), "{end:?}: {read:?}");
    }
}

/// Sends a request to a server that ends its direction in order; returns what the rest of the request
/// tells, and the time that this took.
async fn confirm(end: End, length: usize) -> (io::Result<()>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(serve(listener, end));
    let connection = Connection::open(&address, TIMEOUT).await.expect("a server");
    let since = time::Instant::now();
    let read = time::timeout(TIMEOUT, read_and_confirm(connection, length)).await;
    let (_, ending, confirmed) = read.expect("an end").expect("an answer");
    assert_eq!(ending, Ending::Unconfirmed);
    (confirmed, since.elapsed())
}

/// Guards against a part of an answer that counts as the whole, since its connection was closed under a
/// request that was still written: an orderly end comes first.
#[tokio::test]
async fn an_orderly_end_under_a_request_is_not_confirmed() {
    for length in [200 << 10, 4 << 20, LONG] {
        let (confirmed, took) = confirm(End::Closed, length).await;
        assert!(confirmed.is_err(), "{length}: {took:?}");
    }
}

/// Guards against a sound answer that is lost because its server ends its direction first.
#[tokio::test]
async fn an_orderly_end_of_a_server_that_reads_on_is_confirmed() {
    for length in [200 << 10, 4 << 20, LONG] {
        let (confirmed, took) = confirm(End::HalfClosed, length).await;
        assert!(confirmed.is_ok(), "{length}: {took:?}");
    }
}

/// Guards against short requests that wait for a reset which can't come.
#[tokio::test]
async fn an_orderly_end_behind_a_short_request_costs_no_wait() {
    for end in [End::InOrder, End::HalfClosed] {
        let (confirmed, took) = confirm(end, 4_096).await;
        assert!(
            confirmed.is_ok() && took < Duration::from_millis(40),
            "{took:?}"
        );
    }
}

/// Guards against an answer that is lost because its server reads no more of the request.
#[tokio::test]
async fn an_answer_that_ended_in_order_outlasts_a_later_reset() {
    let read = exchange(End::InOrder).await;
    assert!(
        matches!(&read, Ok((body, Ending::Unconfirmed)) if body == b"half"),
        "{read:?}"
    );
}

/// How an answer is delimited.
const ANSWERS: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nthe whole",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nthe \r\n5\r\nwhole\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nthe whole",
];

/// Sends the parts of an answer one after the other, and ends the connection.
async fn send_parts(listener: TcpListener, parts: [Vec<u8>; 2], end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    for part in parts {
        // The other end may have closed a connection whose answer is whole.
        let _ = stream.write_all(&part).await;
        tokio::task::yield_now().await;
    }
    if matches!(end, End::InOrder) {
        let _ = stream.shutdown().await;
        time::sleep(Duration::from_millis(5)).await;
    } else {
        stream.set_zero_linger().expect("an open socket");
    }
}

/// Guards against an ending that is more certain than what arrived, wherever an answer is cut and split,
/// however its connection ends, and whichever half of the connection is told of it.
#[tokio::test]
async fn an_ending_never_claims_more_than_arrived() {
    const SEED: u64 = 81;
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    for run in 0..600 {
        let answer = ANSWERS[rng.random_range(0..3)];
        let cut = rng.random_range(0..=answer.len());
        let split = rng.random_range(0..=cut);
        let end = [End::InOrder, End::Reset][rng.random_range(0..2)];
        let length = [100, LONG][usize::from(rng.random_range(0..4) == 0)];
        let parts = [answer[..split].to_vec(), answer[split..cut].to_vec()];
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let server = tokio::spawn(send_parts(listener, parts, end));
        let read = read_answer(&address, length).await;
        server.await.expect("the server ends");
        let is_framed = answer != ANSWERS[2];
        let is_whole = cut == answer.len();
        let what = format!("run {run}: cut {cut} of {answer:?}, {end:?}, {length}: {read:?}");
        match read {
            Ok((body, Ending::Complete)) => {
                assert!(is_framed && is_whole && body == b"the whole", "{what}");
            }
            Ok((body, Ending::Unconfirmed)) => {
                assert!(!is_framed && matches!(end, End::InOrder), "{what}");
                assert!(answer[..cut].ends_with(&body), "{what}");
            }
            Ok((_, Ending::Incomplete)) | Err(_) => {
                let is_sound = is_whole && matches!(end, End::InOrder);
                assert!(!is_sound, "{what}");
            }
        }
    }
}
