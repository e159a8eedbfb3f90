//! Tells which process dialled a connection.
//!
//! All processes of a test share one loopback address, so a proxy cannot see from the address
//! which instance calls. The kernel lists the socket of every connection and the sockets that
//! every process holds; together they name the caller.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

/// Reads of the kernel's table before a socket counts as gone.
const READS: usize = 10;

/// Processes whose connections are told apart, by process id.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    names: Arc<Mutex<HashMap<u32, String>>>,
}

impl Callers {
    /// Adds a process.
    pub fn add(&self, id: u32, name: &str) {
        self.names
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, name.to_owned());
    }

    /// Returns the name of the process that holds the far end of a connection, given the addresses
    /// of that end and of this one.
    pub fn find(&self, peer: SocketAddr, own: SocketAddr) -> Option<String> {
        let link = format!("socket:[{}]", listed(peer, own)?);
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let holder = names.iter().find(|(id, _)| holds(**id, &link))?;
        Some(holder.1.clone())
    }
}

/// Finds a connection's socket, which must be in the kernel's table.
///
/// The table is read in pieces, and a line can be skipped when others come and go meanwhile. The
/// connection would then pass as one of nobody's, past the rule of its caller.
fn listed(near: SocketAddr, far: SocketAddr) -> Option<String> {
    (0..READS).find_map(|_| inode(near, far))
}

/// Finds the socket of a connection in the kernel's table, by the addresses of both its ends: one
/// port may serve several connections, some of which only wait to be forgotten.
fn inode(near: SocketAddr, far: SocketAddr) -> Option<String> {
    let (near, far) = (column(near)?, column(far)?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let mut columns = line.split_ascii_whitespace().skip(1);
        let ends = (columns.next()?, columns.next()?);
        (ends == (&near, &far)).then(|| columns.nth(6).map(str::to_owned))?
    })
}

/// Writes an address as the kernel's table does.
fn column(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn holds(id: u32, link: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{id}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| std::fs::read_link(file.path()).ok())
        .any(|target| target.as_os_str() == link)
}
