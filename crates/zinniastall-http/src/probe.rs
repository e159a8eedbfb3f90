//! Probes of servers: whether the process still runs, and whether it is reached from here.

use std::{
    io::{self, ErrorKind},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::pool::Connection;

/// Longest wait for a server that has just closed a connection to refuse another one. A round trip
/// between zones of a region takes a few milliseconds, and the request's next attempt is delayed
/// meanwhile.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);
/// Time within which something in front of a server closes a connection that the server can't take.
/// A server keeps a connection open on which nothing was sent yet.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// The same for [`stays_open`], which is asked again and again.
const SHORT_CLOSE_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest wait of [`answers`] for a connection: many round trips within the region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest wait of [`answers`] for the first byte of an answer. A busy server queues the request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time in which a process that ends closes its listener and all its connections.
const PROCESS_END_TIME: Duration = Duration::from_millis(5);
/// Connections that [`is_refused`] opens at most.
const MAX_CONNECTIONS: usize = 3;

/// Returns whether an address refuses connections: the machine is up, but the listening process has
/// ended.
///
/// A process that ends closes its connections and its listener one after the other, and a connection
/// that opens in between is closed unanswered. So one that opens is asked for the server's health, and
/// another one is opened if it closes.
pub async fn is_refused(address: &str, health_path: &str) -> bool {
    for _ in 0..MAX_CONNECTIONS {
        match exchange(address, health_path, REFUSAL_TIMEOUT, CLOSE_TIMEOUT).await {
            Err(error) if is_refusal(&error) => return true,
            Err(error) if is_close(&error) => {}
            Ok(_) | Err(_) => return false,
        }
    }
    false
}

/// Opens a connection to a server that has just closed one, and succeeds if it is not closed at once.
/// Nothing is sent.
///
/// # Errors
///
/// Returns whether the process has ended: the address refuses connections, or closes this one.
pub async fn connect(address: &str) -> Result<Connection, bool> {
    let opened = Connection::open(address, REFUSAL_TIMEOUT).await;
    let mut connection = opened.map_err(|error| is_refusal(&error))?;
    match time::timeout(PROCESS_END_TIME, connection.reader.first_byte()).await {
        Err(_) => Ok(connection),
        Ok(Ok(has_byte)) => Err(!has_byte),
        Ok(Err(error)) => Err(is_close(&error)),
    }
}

/// Returns whether the process behind an address has ended.
///
/// It has if the address refuses connections, or if something in front of the process, such as a
/// proxy or a load balancer, accepts a connection and closes it at once. An address that stays
/// silent says nothing.
pub async fn has_ended(address: &str) -> bool {
    match open(address).await {
        Some(Ok(stream)) => closes_unused(stream, CLOSE_TIMEOUT).await,
        // A proxy may close the connection before this end has noticed that it is open.
        Some(Err(error)) => is_refusal(&error) || is_close(&error),
        None => false,
    }
}

/// Asks a server for its health, and returns whether an answer begins in time, whatever it says: then
/// both directions of the path work. A busy server may stay silent.
///
/// # Errors
///
/// Fails if no connection opens, or if it does not last.
pub async fn answers(address: &str, path: &str) -> io::Result<bool> {
    exchange(address, path, CONNECT_TIMEOUT, ANSWER_TIMEOUT).await
}

/// Sends a request on a new connection, and returns whether an answer begins in time.
async fn exchange(
    address: &str,
    path: &str,
    connect_timeout: Duration,
    answer_timeout: Duration,
) -> io::Result<bool> {
    let connected = time::timeout(connect_timeout, TcpStream::connect(address)).await;
    let mut stream = connected.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut first = [0; 1];
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        stream.read(&mut first).await
    };
    match time::timeout(answer_timeout, exchange).await {
        Ok(Ok(0)) => Err(io::Error::from(ErrorKind::UnexpectedEof)),
        Ok(answered) => answered.map(|_| true),
        Err(_) => Ok(false),
    }
}

/// Opens a connection to a server, and succeeds if it is not closed at once. Nothing is sent.
///
/// # Errors
///
/// Fails if no connection opens, or if it does not last.
pub async fn stays_open(address: &str) -> io::Result<()> {
    let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    if closes_unused(stream, SHORT_CLOSE_TIMEOUT).await {
        return Err(io::Error::from(ErrorKind::ConnectionReset));
    }
    Ok(())
}

async fn open(address: &str) -> Option<io::Result<TcpStream>> {
    let connected = time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address));
    connected.await.ok()
}

fn is_refusal(error: &io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

fn is_close(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::UnexpectedEof
    )
}

/// Returns whether the other end closes a connection on which nothing was sent.
///
/// Sending a request would tell sooner, but a target might run it.
async fn closes_unused(mut stream: TcpStream, timeout: Duration) -> bool {
    match time::timeout(timeout, stream.read(&mut [0])).await {
        Ok(Ok(length)) => length == 0,
        Ok(Err(error)) => is_close(&error),
        Err(_) => false,
    }
}
