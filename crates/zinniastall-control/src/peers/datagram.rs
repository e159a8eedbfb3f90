//! Datagrams between replicas, for what a starting replica asks the others.
//!
//! A link takes three round trips to open, in which entry instances wait for a configuration after a loss
//! of all power. A datagram takes one there and back. It may be lost, doubled or late, as any message of the
//! consensus; whoever asks, asks again.

use std::net::SocketAddr;

use actix::Recipient;
use tokio::{net::UdpSocket, sync::mpsc};
use zinniastall_coord::replica::Body;
use zinniastall_wire::frame::{Frame, Replica};

use super::Message;

/// Datagrams that may wait to be sent: a few rounds to the replicas of a large group.
const QUEUE_CAPACITY: usize = 64;
/// Longest datagram, in bytes; one that is longer would be cut into packets and lost with any of them.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A frame arrived by datagram. Who sent it is known only by the frame's own word.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Arrived(pub Replica);

/// The way out by datagram.
#[derive(Debug, Clone)]
pub struct Datagrams {
    queue: mpsc::Sender<(SocketAddr, Vec<u8>)>,
}

impl Datagrams {
    /// Sends and receives on a socket from now on.
    pub fn start(socket: UdpSocket, arrived: Recipient<Arrived>) -> Self {
        let (queue, waiting) = mpsc::channel(QUEUE_CAPACITY);
        actix::spawn(run(socket, waiting, arrived));
        Self { queue }
    }

    /// Sends a frame, or drops it where too many wait or the address is none.
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

/// Tells whether a message goes by datagram too. All others are taken from links only, whose other end has
/// said who it is.
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
                // An earlier datagram met a port at which nobody listens yet.
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
