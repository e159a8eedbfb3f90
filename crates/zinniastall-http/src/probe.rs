//! Probes of servers whose connection broke: whether the process still runs.

use std::{
    io::{self, ErrorKind},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Longest wait for a server that has just closed a connection to refuse another one. A round trip
/// between zones of a region takes a few milliseconds, and the request's next attempt is delayed
/// meanwhile.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest wait for a server to answer on a new connection. One that is only busy takes the
/// connection and keeps it open.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// A request that every HTTP server answers and that runs nothing.
const REQUEST: &[u8] = b"OPTIONS * HTTP/1.1\r\nhost: probe\r\nconnection: close\r\n\r\n";

/// Returns whether an address refuses connections: the machine is up, but the listening process has
/// ended.
pub async fn is_refused(address: &str) -> bool {
    let connected = connect(address).await;
    connected.is_some_and(|connected| connected.is_err_and(|error| is_refusal(&error)))
}

/// Returns whether the process behind an address has ended.
///
/// It has if the address refuses connections, or if something in front of the process, such as a
/// proxy or a load balancer, accepts a connection and closes it without an answer. An address that
/// stays silent says nothing.
pub async fn has_ended(address: &str) -> bool {
    match connect(address).await {
        Some(Ok(stream)) => closes_unanswered(stream).await,
        // A proxy may close the connection before this end has noticed that it is open.
        Some(Err(error)) => is_refusal(&error) || is_close(&error),
        None => false,
    }
}

async fn connect(address: &str) -> Option<io::Result<TcpStream>> {
    let connected = time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address));
    connected.await.ok()
}

fn is_refusal(error: &io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

fn is_close(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
    )
}

async fn closes_unanswered(mut stream: TcpStream) -> bool {
    let exchange = async {
        stream.write_all(REQUEST).await?;
        stream.read(&mut [0]).await
    };
    match time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(length)) => length == 0,
        Ok(Err(error)) => is_close(&error),
        Err(_) => false,
    }
}
