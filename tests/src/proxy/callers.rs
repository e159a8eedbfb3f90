//! Tells which process dialled a connection.
//!
//! All processes of a test share one loopback address, so a proxy cannot see from the address
//! which instance calls. The kernel lists the socket of every connection and the sockets that
//! every process holds; together they name the caller. Reading both lists takes milliseconds, so
//! it is done only for connections that a rule asks about, and once for many of them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Reads of the kernel's lists before a connection counts as gone.
const READS: usize = 10;

/// Processes whose connections are told apart.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    table: Arc<Mutex<Table>>,
}

/// Both ends of a connection as the kernel writes them, the asked process's own first. One port may
/// serve several connections, some of which only wait to be forgotten.
type Ends = (String, String);

/// Name of a process; `None` for one that was not added.
#[derive(Debug, Clone)]
struct Holder(Option<String>);

#[derive(Debug, Default)]
struct Table {
    /// Names by process id.
    names: HashMap<u32, String>,
    /// Who holds the first end.
    holders: HashMap<Ends, Holder>,
    /// When the reading of `holders` began.
    read: Option<Instant>,
}

impl Callers {
    /// Adds a process.
    pub fn add(&self, id: u32, name: &str) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.names.insert(id, name.to_owned());
        table.read = None;
    }

    /// Returns the name of the process that holds the far end of an open connection, given the
    /// addresses of that end and of this one; it blocks while the kernel's lists are read.
    ///
    /// The lists are read in pieces, and a line can be skipped when others come and go meanwhile.
    /// The connection would then pass as one of nobody's, past the rule of its caller, so they are
    /// read again until they have it.
    pub fn find(&self, peer: SocketAddr, own: SocketAddr) -> Option<String> {
        let ends = (column(peer)?, column(own)?);
        (0..READS).find_map(|_| self.holder(&ends))?.0
    }

    fn holder(&self, ends: &Ends) -> Option<Holder> {
        let asked = Instant::now();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        // Lists whose reading began after the question was asked have the connection if they ever
        // will; those who waited for the lock meanwhile share them.
        if table.read.is_none_or(|read| read < asked) {
            table.read = Some(Instant::now());
            table.holders = holders(&table.names);
        }
        table.holders.get(ends).cloned()
    }
}

/// Writes an address as the kernel's table does.
fn column(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Reads who holds which end of a connection.
///
/// The connections come first: the other way round, one opened between the two readings would have
/// no holder.
fn holders(names: &HashMap<u32, String>) -> HashMap<Ends, Holder> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets: HashMap<String, &String> = names
        .iter()
        .flat_map(|(id, name)| sockets(*id).into_iter().map(move |socket| (socket, name)))
        .collect();
    let holder = |line: &str| {
        let mut columns = line.split_ascii_whitespace().skip(1);
        let ends = (columns.next()?.to_owned(), columns.next()?.to_owned());
        let inode = columns.nth(6)?;
        let name = sockets.get(&format!("socket:[{inode}]"));
        Some((ends, Holder(name.map(|name| (*name).clone()))))
    };
    table.lines().filter_map(holder).collect()
}

fn sockets(id: u32) -> Vec<String> {
    let Ok(files) = std::fs::read_dir(format!("/proc/{id}/fd")) else {
        return Vec::new();
    };
    let links = files
        .flatten()
        .filter_map(|file| std::fs::read_link(file.path()).ok());
    links
        .filter_map(|link| link.into_os_string().into_string().ok())
        .filter(|link| link.starts_with("socket:"))
        .collect()
}
