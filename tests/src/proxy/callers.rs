//! Identifies the process that dialled a connection.
//!
//! All processes of a test share one loopback address, so the peer address does not identify the
//! calling instance. The kernel reports the socket inode of a connection and the socket inodes that
//! each process holds, which together identify the caller.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
};

use super::sockets;

/// Processes that proxies identify as callers, by name.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    names: Arc<Mutex<HashMap<u32, String>>>,
}

impl Callers {
    /// Starts a process and registers it.
    ///
    /// [`Callers::find`] blocks meanwhile: a process that dialled before it was registered would
    /// stay unidentified for as long as that connection lasts, and no partition would affect it.
    ///
    /// # Errors
    ///
    /// Returns the error of `start`.
    pub fn start<P, E>(
        &self,
        name: &str,
        start: impl FnOnce() -> Result<P, E>,
        id: impl FnOnce(&P) -> u32,
    ) -> Result<P, E> {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let process = start()?;
        names.insert(id(&process), name.to_owned());
        Ok(process)
    }

    /// Returns the name of the process that holds the peer's side of an open connection.
    ///
    /// Blocks on queries to the kernel.
    ///
    /// # Panics
    ///
    /// Panics if the kernel cannot be queried, since no partition would affect an unidentified
    /// caller.
    pub fn find(&self, peer: SocketAddr, own: SocketAddr) -> Option<String> {
        let (SocketAddr::V4(peer), SocketAddr::V4(own)) = (peer, own) else {
            return None;
        };
        let inode = sockets::inode(peer, own).expect("the kernel answers socket queries")?;
        let link = format!("socket:[{inode}]");
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let names = names.clone();
        let mut holders = names.into_iter().filter(|(id, _)| holds_socket(*id, &link));
        holders.next().map(|(_, name)| name)
    }
}

/// Returns whether a process has a file descriptor that links to this socket.
fn holds_socket(id: u32, link: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{id}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| std::fs::read_link(file.path()).ok())
        .any(|target| target == Path::new(link))
}
