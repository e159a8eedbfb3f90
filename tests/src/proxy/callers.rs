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
/// State of an open connection in the kernel's table.
const ESTABLISHED: &str = "01";

/// Processes whose connections are told apart.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    /// Names by process id.
    names: HashMap<u32, String>,
    lists: Lists,
    /// When the reading of `lists` began.
    read: Option<Instant>,
}

/// The kernel's lists.
///
/// Under load most connections only wait to be forgotten, tens of thousands of them; taking their
/// lines apart would hold up the connection that is asked about for seconds. So the list stays text
/// and only the line that is asked for is taken apart.
#[derive(Debug, Default)]
struct Lists {
    connections: String,
    /// Names by socket.
    holders: HashMap<String, String>,
}

/// Name of a process; `None` for one that was not added.
#[derive(Debug, Clone)]
struct Holder(Option<String>);

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
        // One port may serve several connections, so both ends must agree.
        let line = format!("{} {} {ESTABLISHED} ", column(peer)?, column(own)?);
        (0..READS).find_map(|_| self.holder(&line))?.0
    }

    fn holder(&self, line: &str) -> Option<Holder> {
        let asked = Instant::now();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        // Lists whose reading began after the question was asked have the connection if they ever
        // will; those who waited for the lock meanwhile share them.
        if table.read.is_none_or(|read| read < asked) {
            table.read = Some(Instant::now());
            table.lists = Lists::read(&table.names);
        }
        table.lists.holder(line)
    }
}

impl Lists {
    /// Reads the lists, connections first: the other way round, one opened between the two readings
    /// would have no holder.
    fn read(names: &HashMap<u32, String>) -> Self {
        let connections = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let holders = names
            .iter()
            .flat_map(|(id, name)| sockets(*id).into_iter().map(|link| (link, name.clone())))
            .collect();
        Self {
            connections,
            holders,
        }
    }

    fn holder(&self, line: &str) -> Option<Holder> {
        let after = self.connections.find(line)? + line.len();
        let inode = self.connections[after..].split_ascii_whitespace().nth(5)?;
        let name = self.holders.get(&format!("socket:[{inode}]"));
        Some(Holder(name.cloned()))
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
