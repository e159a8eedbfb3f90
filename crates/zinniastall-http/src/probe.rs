//! Probes of servers whose connection broke: whether the process still runs.

use std::{
    io::{self, ErrorKind},
    time::Duration,
};

use tokio::{io::AsyncReadExt, net::TcpStream, time};

/// Longest wait for a server that has just closed a connection to refuse another one. A round trip
/// between zones of a region takes a few milliseconds, and the request's next attempt is delayed
/// meanwhile.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);
/// Time within which something in front of a server closes a connection that the server can't take.
/// A server keeps a connection open on which nothing was sent yet.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns whether an address refuses connections: the machine is up, but the listening process has
/// ended.
pub async fn is_refused(address: &str) -> bool {
    let connected = connect(address).await;
    connected.is_some_and(|connected| connected.is_err_and(|error| is_refusal(&error)))
}

/// Returns whether the process behind an address has ended.
///
/// It has if the address refuses connections, or if something in front of the process, such as a
/// proxy or a load balancer, accepts a connection and closes it at once. An address that stays
/// silent says nothing.
pub async fn has_ended(address: &str) -> bool {
    match connect(address).await {
        Some(Ok(stream)) => closes_unused(stream).await,
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

/// Returns whether the other end closes a connection on which nothing was sent.
///
/// Sending a request would tell sooner, but a target might run it.
async fn closes_unused(mut stream: TcpStream) -> bool {
    match time::timeout(CLOSE_TIMEOUT, stream.read(&mut [0])).await {
        Ok(Ok(length)) => length == 0,
        Ok(Err(error)) => is_close(&error),
        Err(_) => false,
    }
}
