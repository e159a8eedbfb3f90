//! Connections at rest, for the next request to the same address.

use std::{
    cell::RefCell,
    io,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{net::TcpStream, time};
use zinniastall_http::{
    connection::{self, Reader, Writer},
    head::Response,
};

/// Longest time for a connection to open. Targets are in the same region, a few milliseconds away; one
/// that takes longer is dark, or its queue of new connections is full and the retry takes seconds.
pub const CONNECT: Duration = Duration::from_millis(400);
/// Longest time for a connection to another region: a round trip of 110 ms and some lost packets.
pub const CONNECT_FAR: Duration = Duration::from_millis(900);
/// Rest after which a connection is closed where the other end names no time of its own.
const REST: Duration = Duration::from_secs(4);
/// Part of the time that the other end names, so that it isn't closing while a request is on its way.
const REST_PART: f64 = 0.7;
/// Rest after which a connection is too old for a request that must not be repeated. Had the other end
/// closed it meanwhile, nobody could tell whether the request ran.
const REST_ONCE: Duration = Duration::from_millis(1_500);
/// Connections at rest to one address.
const EACH: usize = 12;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Half that reads.
    pub reader: Reader,
    /// Half that writes.
    pub writer: Writer,
    /// Whether it has served a request before.
    pub is_used: bool,
}

/// Connections at rest, by address.
#[derive(Debug, Default)]
pub struct Pool {
    resting: RefCell<IndexMap<String, Vec<Resting>>>,
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl Pool {
    /// Takes the connection that was used last, or opens one.
    ///
    /// # Errors
    ///
    /// Fails when none can be opened in time; nothing was sent then.
    pub async fn connect(
        &self,
        address: &str,
        repeats: bool,
        longest: Duration,
    ) -> io::Result<Connection> {
        if let Some(connection) = self.take(address, repeats) {
            return Ok(connection);
        }
        let stream = time::timeout(longest, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let (reader, writer) = connection::split(stream)?;
        Ok(Connection {
            reader,
            writer,
            is_used: false,
        })
    }

    /// Lays a connection to rest after an answer that left nothing behind on it.
    pub fn rest(&self, address: &str, mut connection: Connection, answer: &Response) {
        if !answer.keeps_open() || connection.reader.has_rest() {
            return;
        }
        connection.is_used = true;
        connection.reader.rest();
        let now = Instant::now();
        let until = now + named_rest(answer).unwrap_or(REST);
        let mut resting = self.resting.borrow_mut();
        let list = resting.entry(address.to_owned()).or_default();
        list.retain(|other| other.until > now);
        if list.len() < EACH {
            list.push(Resting {
                connection,
                since: now,
                until,
            });
        }
    }

    /// Closes the connections that have rested for too long.
    pub fn sweep(&self, now: Instant) {
        let mut resting = self.resting.borrow_mut();
        for list in resting.values_mut() {
            list.retain(|connection| connection.until > now);
        }
        resting.retain(|_, list| !list.is_empty());
    }

    fn take(&self, address: &str, repeats: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut resting = self.resting.borrow_mut();
        let list = resting.get_mut(address)?;
        while let Some(mut newest) = list.pop() {
            let is_old = newest.until <= now || (!repeats && newest.since + REST_ONCE <= now);
            if !is_old && !newest.connection.reader.is_disturbed() {
                return Some(newest.connection);
            }
        }
        None
    }
}

/// Returns for how long a connection may rest by the word of the other end.
fn named_rest(answer: &Response) -> Option<Duration> {
    let value = answer.headers.get("keep-alive")?.to_str().ok()?;
    let fields = value
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let mut timeout = fields.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds: u64 = timeout.next_back()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).mul_f64(REST_PART))
}
