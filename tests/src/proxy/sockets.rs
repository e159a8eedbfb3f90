//! Looks up the socket of an open connection through the kernel's `sock_diag` interface.
//!
//! The alternative, `/proc/net/tcp`, also lists connections in the state `TIME_WAIT`, tens of
//! thousands under load; reading it takes longer than the timeouts of the system under test.
//! `sock_diag` looks up a single connection by the addresses of both sides.

use std::{
    io::{Error, Result},
    net::SocketAddrV4,
    os::fd::AsRawFd,
};

use nix::sys::socket::{
    AddressFamily, MsgFlags, NetlinkAddr, SockFlag, SockProtocol, SockType, recv, sendto, socket,
};

/// Size of a netlink message header (`nlmsghdr`).
const HEADER_BYTES: usize = 16;
/// Size of a request: header and `inet_diag_req_v2`.
const REQUEST_BYTES: usize = HEADER_BYTES + 56;
/// Offset of `idiag_inode` in a response.
const INODE_OFFSET: usize = HEADER_BYTES + 68;
/// Message type of a lookup by address family.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Message flag of a request.
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;

/// Returns the inode of the socket with local address `near` and remote address `far`.
///
/// Both 0 and `None` mean that no process holds such a socket.
///
/// # Errors
///
/// Fails if the kernel cannot be queried.
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
    // Sequence number and sender's port id, which the kernel fills in.
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

/// Pads an IPv4 address to the 16 bytes of an address field.
fn padded(address: SocketAddrV4) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes
}
