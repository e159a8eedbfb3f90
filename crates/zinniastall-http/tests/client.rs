//! Answers that arrive while their request is still written.

use std::time::Duration;

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
}

async fn serve(listener: TcpListener, end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    if !matches!(end, End::ResetAtOnce) {
        let mut begun = [0; 4096];
        stream.read_exact(&mut begun).await.expect("a request");
    }
    stream.write_all(PART).await.expect("an open connection");
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
    let mut connection = Connection::open(&address, TIMEOUT).await?;
    if matches!(end, End::ResetAtOnce) {
        server.await.expect("the server ends");
    }
    let request = vec![b'x'; LONG];
    let Connection { reader, writer, .. } = &mut connection;
    let mut exchange = Exchange::start(reader, writer, [&request, &[]]);
    let head = exchange.next_head().await?;
    drop(exchange);
    let mut decoder = Decoder::new(head.framing(false)?);
    let mut body = Vec::new();
    loop {
        match connection.reader.part(&mut decoder).await? {
            Part::Piece(piece) => body.extend_from_slice(&piece),
            Part::End(ending) => return Ok((body, ending)),
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

/// Guards against an answer that is lost because its server reads no more of the request.
#[tokio::test]
async fn an_answer_that_ended_in_order_outlasts_a_later_reset() {
    let read = exchange(End::InOrder).await;
    assert!(
        matches!(&read, Ok((body, Ending::Unconfirmed)) if body == b"half"),
        "{read:?}"
    );
}
