//! Tells which process dialled a connection.
//!
//! All processes of a test share one loopback address, so a proxy cannot see from the address
//! which instance calls. The kernel knows the socket of every connection and the sockets that
//! every process holds; together they name the caller.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
};

use super::sockets;

/// Processes whose connections are told apart.
#[derive(Debug, Clone, Default)]
pub struct Callers {
    names: Arc<Mutex<HashMap<u32, String>>>,
}

impl Callers {
    /// Starts a process and adds it.
    ///
    /// Whoever asks for the caller of a connection meanwhile waits: a process that dials before it is added would be
    /// taken for a stranger for as long as that connection lasts, and pass every partition.
    ///
    /// # Errors
    ///
    /// Whatever the start fails of.
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

    /// Returns the name of the process that holds the far end of an open connection, given the
    /// addresses of that end and of this one; it blocks while the kernel is asked.
    ///
    /// # Panics
    ///
    /// When the kernel cannot be asked: a caller taken for a stranger would pass every partition.
    pub fn find(&self, peer: SocketAddr, own: SocketAddr) -> Option<String> {
        let (SocketAddr::V4(peer), SocketAddr::V4(own)) = (peer, own) else {
            return None;
        };
        let inode = sockets::inode(peer, own).expect("the kernel's socket diagnosis answers")?;
        let link = format!("socket:[{inode}]");
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let names = names.clone();
        let mut holders = names.into_iter().filter(|(id, _)| holds_socket(*id, &link));
        holders.next().map(|(_, name)| name)
    }
}

fn holds_socket(id: u32, link: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{id}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| std::fs::read_link(file.path()).ok())
        .any(|target| target == Path::new(link))
}
