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

    /// Returns the name of the process that holds the far end of a connection.
    pub fn find(&self, peer: SocketAddr) -> Option<String> {
        let link = format!("socket:[{}]", inode(peer)?);
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let holder = names.iter().find(|(id, _)| holds(**id, &link))?;
        Some(holder.1.clone())
    }
}

/// Finds the socket whose own address is `address` in the kernel's table.
fn inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let wanted = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let mut columns = line.split_ascii_whitespace();
        (columns.nth(1)? == wanted).then(|| columns.nth(7).map(str::to_owned))?
    })
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
