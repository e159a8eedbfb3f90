//! Pool of idle connections, by address.

use std::{
    cell::RefCell,
    io,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{net::TcpStream, time};

use crate::{
    connection::{self, Reader, Writer},
    head::Response,
};

/// Connect timeout for targets, which are in the same region, a few milliseconds away. One that
/// takes longer is unreachable, or its accept queue is full and the retry takes seconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connect timeout for another region: covers a round trip of 110 ms and some lost packets.
pub const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle time after which a connection is closed if the peer states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the peer's keep-alive timeout that is used, so that the peer isn't closing the
/// connection while a request is in transit.
const KEEP_ALIVE_SHARE: f64 = 0.7;
/// Idle time after which a connection is too old for a request that must not be repeated. If the
/// peer had closed it meanwhile, nobody could tell whether the request ran.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(1_500);
/// Idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 12;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Read half.
    pub reader: Reader,
    /// Write half.
    pub writer: Writer,
    /// Whether the connection has served a request before.
    pub is_used: bool,
    /// When it was opened.
    pub opened: Instant,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if none can be opened in time; nothing was sent then.
    pub async fn open(address: &str, timeout: Duration) -> io::Result<Self> {
        let stream = time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let (reader, writer) = connection::split(stream)?;
        Ok(Self {
            reader,
            writer,
            is_used: false,
            opened: Instant::now(),
        })
    }
}

/// Time for which the ends of idle connections are remembered.
const LOSS_TTL: Duration = Duration::from_secs(10);

/// Idle connections, by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<IndexMap<String, Vec<Idle>>>,
    losses: RefCell<IndexMap<String, Loss>>,
}

/// When connections to an address ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// Time at which the first of them was still open.
    pub after: Instant,
    /// Time by which all of them had ended.
    pub before: Instant,
}

impl Loss {
    /// Adds another loss at the same address.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self {
            after: self.after.min(other.after),
            before: self.before.max(other.before),
        }
    }

    /// Returns whether the loss is too old to say anything about the peer.
    pub fn is_old(&self, now: Instant) -> bool {
        self.before + LOSS_TTL <= now
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl Pool {
    /// Takes the most recently used connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if none can be opened in time; nothing was sent then.
    pub async fn connect(
        &self,
        address: &str,
        repeats: bool,
        timeout: Duration,
    ) -> io::Result<Connection> {
        match self.take(address, repeats) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, timeout).await,
        }
    }

    /// Returns a connection to the pool, unless the answer ended it or left bytes behind on it.
    pub fn release(&self, address: &str, mut connection: Connection, answer: &Response) {
        let reader = &connection.reader;
        if !answer.is_keep_alive() || reader.has_unread() || reader.has_ended() {
            return;
        }
        connection.is_used = true;
        connection.reader.release_buffer();
        let timeout = keep_alive_timeout(answer).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        self.add(address, connection, timeout);
    }

    /// Adds a connection that has served no request yet.
    pub fn keep(&self, address: &str, connection: Connection) {
        self.add(address, connection, DEFAULT_IDLE_TIMEOUT);
    }

    fn add(&self, address: &str, connection: Connection, timeout: Duration) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.to_owned()).or_default();
        connections.retain(|other| other.until > now);
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(Idle {
                connection,
                since: now,
                until: now + timeout,
            });
        }
    }

    /// Returns whether there is an idle connection to an address.
    pub fn has_idle(&self, address: &str) -> bool {
        let idle = self.idle.borrow();
        idle.get(address)
            .is_some_and(|connections| !connections.is_empty())
    }

    /// Returns whether an idle connection to an address has ended since this was last asked.
    pub fn has_lost(&self, address: &str) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(address) else {
            return false;
        };
        let ended = connections.extract_if(.., |idle| idle.connection.reader.is_stale());
        let since = ended.map(|idle| idle.since).min();
        since
            .inspect(|since| self.note_loss(address, *since))
            .is_some()
    }

    /// Returns when idle connections to an address ended, and forgets it.
    pub fn take_loss(&self, address: &str) -> Option<Loss> {
        self.has_lost(address);
        self.losses.borrow_mut().swap_remove(address)
    }

    /// Records that a connection ended that had been idle since a time.
    fn note_loss(&self, address: &str, since: Instant) {
        let loss = Loss {
            after: since,
            before: Instant::now(),
        };
        let mut losses = self.losses.borrow_mut();
        let held = losses.entry(address.to_owned()).or_insert(loss);
        *held = held.and(loss);
    }

    /// Returns whether an idle connection to an address was opened before a time.
    pub fn has_older(&self, address: &str, than: Instant) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(address).into_iter().flatten();
        connections
            .into_iter()
            .any(|idle| idle.connection.opened < than)
    }

    /// Returns whether an idle connection to any other address was opened before a time.
    pub fn has_older_elsewhere(&self, address: &str, than: Instant) -> bool {
        let idle = self.idle.borrow();
        let others = idle.iter().filter(|(other, _)| *other != address);
        let mut connections = others.flat_map(|(_, connections)| connections);
        connections.any(|idle| idle.connection.opened < than)
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.losses.borrow_mut().retain(|_, loss| !loss.is_old(now));
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.until > now);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take(&self, address: &str, repeats: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(mut newest) = connections.pop() {
            let is_expired =
                newest.until <= now || (!repeats && newest.since + MAX_IDLE_UNREPEATABLE <= now);
            if newest.connection.reader.is_stale() {
                self.note_loss(address, newest.since);
            } else if !is_expired {
                return Some(newest.connection);
            }
        }
        None
    }
}

/// Returns the time for which a connection may stay idle according to the peer's `Keep-Alive`
/// header.
fn keep_alive_timeout(answer: &Response) -> Option<Duration> {
    let value = answer.headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let mut timeout = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds: u64 = timeout.next_back()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_SHARE))
}
