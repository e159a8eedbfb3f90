//! Datagrams between replicas, for the questions of a starting replica.
//!
//! A link takes three round trips to open, during which entry instances wait for a configuration
//! after a power loss of all replicas. A datagram and its answer take one. Datagrams may be lost,
//! duplicated or late, like any message of the consensus; the sender repeats its question.

use std::net::SocketAddr;

use actix::Recipient;
use tokio::{net::UdpSocket, sync::mpsc};
use zinniastall_coord::replica::Body;
use zinniastall_wire::frame::{Frame, Replica};

use super::Message;

/// Datagrams that may wait to be sent: a few rounds to the replicas of a large group.
const QUEUE_CAPACITY: usize = 64;
/// Maximum datagram size. A larger one would be fragmented, and lost with any of its fragments.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A frame received by datagram. The sender's id is unverified: only the frame itself states it.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Arrived(pub Replica);

/// Sender of datagrams.
#[derive(Debug, Clone)]
pub struct Datagrams {
    queue: mpsc::Sender<(SocketAddr, Vec<u8>)>,
}

impl Datagrams {
    /// Starts to send and receive on a socket.
    pub fn start(socket: UdpSocket, arrived: Recipient<Arrived>) -> Self {
        let (queue, waiting) = mpsc::channel(QUEUE_CAPACITY);
        actix::spawn(run(socket, waiting, arrived));
        Self { queue }
    }

    /// Sends a frame; drops it if the queue is full or the address is invalid.
    pub(super) fn send(&self, address: &str, frame: &Frame) {
        let (Ok(address), Ok(bytes)) = (address.parse(), frame.encode()) else {
            tracing::debug!(event = "datagram-dropped", address);
            return;
        };
        if self.queue.try_send((address, bytes)).is_err() {
            tracing::debug!(event = "datagram-dropped", address = %address, reason = "queue full");
        }
    }
}

/// Returns whether a message is sent by datagram as well. All other messages are accepted only from
/// links, whose other end has identified itself in a handshake.
pub(crate) const fn is_urgent(message: &Message) -> bool {
    let Message::Log(message) = message else {
        return false;
    };
    matches!(
        message.body,
        Body::Survey { .. } | Body::SurveyAnswer { .. }
    )
}

async fn run(
    socket: UdpSocket,
    mut waiting: mpsc::Receiver<(SocketAddr, Vec<u8>)>,
    arrived: Recipient<Arrived>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => decode(&buffer[..length], from, &arrived),
                // An earlier datagram reached a port on which no process listens yet.
                Err(error) => tracing::debug!(event = "datagram-failed", error = %error),
            },
            next = waiting.recv() => {
                let Some((address, bytes)) = next else { return };
                if let Err(error) = socket.send_to(&bytes, address).await {
                    tracing::debug!(event = "datagram-failed", address = %address, error = %error);
                }
            }
        }
    }
}

fn decode(bytes: &[u8], from: SocketAddr, arrived: &Recipient<Arrived>) {
    let Ok(Frame::Replica(frame)) = Frame::decode(bytes) else {
        tracing::debug!(event = "malformed-datagram", from = %from);
        return;
    };
    arrived.do_send(Arrived(frame));
}
