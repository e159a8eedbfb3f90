//! Asks the kernel which socket an open connection has.
//!
//! The kernel's text list of connections has a line for each that only waits to be forgotten, tens
//! of thousands under load; reading it takes longer than the system's own time limits. Its socket
//! diagnosis interface looks one connection up by both ends.

use std::{
    io::{Error, Result},
    net::SocketAddrV4,
    os::fd::AsRawFd,
};

use nix::sys::socket::{
    AddressFamily, MsgFlags, NetlinkAddr, SockFlag, SockProtocol, SockType, recv, sendto, socket,
};

/// Length of a message's header.
const HEADER_BYTES: usize = 16;
/// Length of a request for one connection.
const REQUEST_BYTES: usize = HEADER_BYTES + 56;
/// Place of the socket's number in an answer.
const INODE_OFFSET: usize = HEADER_BYTES + 68;
/// Message type: look up by address family.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Message flag: this is a request.
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;

/// Returns the number of the socket whose own end is `near` and whose other end is `far`; 0 and
/// `None` both mean that no process holds it.
///
/// # Errors
///
/// Fails when the kernel cannot be asked.
pub(super) fn inode(near: SocketAddrV4, far: SocketAddrV4) -> Result<Option<u32>> {
    let netlink = socket(
        AddressFamily::Netlink,
        SockType::Datagram,
        SockFlag::SOCK_CLOEXEC,
        SockProtocol::NetlinkSockDiag,
    )?;
    let kernel = NetlinkAddr::new(0, 0);
    let request = request(near, far)?;
    sendto(netlink.as_raw_fd(), &request, &kernel, MsgFlags::empty())?;
    let mut answer = [0; 512];
    let length = recv(netlink.as_raw_fd(), &mut answer, MsgFlags::empty())?;
    let found = length > INODE_OFFSET + 4 && answer[4..6] == SOCK_DIAG_BY_FAMILY.to_ne_bytes();
    let number = |at: usize| <[u8; 4]>::try_from(&answer[at..at + 4]).map(u32::from_ne_bytes);
    Ok(number(INODE_OFFSET).ok().filter(|_| found))
}

fn request(near: SocketAddrV4, far: SocketAddrV4) -> Result<Vec<u8>> {
    let length = u32::try_from(REQUEST_BYTES).map_err(Error::other)?;
    let mut bytes = Vec::with_capacity(REQUEST_BYTES);
    bytes.extend(length.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and sender's port, which the kernel fills in.
    bytes.extend([0; 8]);
    bytes.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // All states.
    bytes.extend(u32::MAX.to_ne_bytes());
    bytes.extend(near.port().to_be_bytes());
    bytes.extend(far.port().to_be_bytes());
    bytes.extend(padded(near));
    bytes.extend(padded(far));
    // Any interface, no cookie.
    bytes.extend([0; 4]);
    bytes.extend([u8::MAX; 8]);
    Ok(bytes)
}

/// Writes an IPv4 address into the room of an IPv6 one.
fn padded(address: SocketAddrV4) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes
}
