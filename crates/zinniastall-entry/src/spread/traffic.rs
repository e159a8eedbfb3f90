//! Counts what the links of each purpose carry.

use zinniastall_settings::metrics::Recorder;
use zinniastall_wire::{hello::Purpose, meter::Count};

use crate::links::Identity;

/// Bytes that the transport adds to a message: WebSocket, TCP and IP headers, and its share of an
/// acknowledgement.
const TRANSPORT_OVERHEAD_BYTES: u64 = 70;

/// Names of one purpose's figures.
#[derive(Debug)]
struct Names {
    purpose: Purpose,
    sent_bytes: &'static str,
    sent_messages: &'static str,
    received_bytes: &'static str,
    received_messages: &'static str,
}

const NAMES: [Names; 3] = [
    Names {
        purpose: Purpose::Gossip,
        sent_bytes: "gossip.sent.bytes",
        sent_messages: "gossip.sent.messages",
        received_bytes: "gossip.received.bytes",
        received_messages: "gossip.received.messages",
    },
    Names {
        purpose: Purpose::Follow,
        sent_bytes: "follow.sent.bytes",
        sent_messages: "follow.sent.messages",
        received_bytes: "follow.received.bytes",
        received_messages: "follow.received.messages",
    },
    Names {
        purpose: Purpose::Stream,
        sent_bytes: "stream.sent.bytes",
        sent_messages: "stream.sent.messages",
        received_bytes: "stream.received.bytes",
        received_messages: "stream.received.messages",
    },
];

/// What had been counted when it was recorded last.
#[derive(Debug, Default)]
pub struct Traffic {
    counted: [Count; NAMES.len()],
}

impl Traffic {
    /// Records what the links of each purpose have carried since the last call. Returns the bytes
    /// that gossip has sent, headers of the transport included.
    pub fn record(&mut self, identity: &Identity, recorder: &Recorder) -> u64 {
        let mut gossip = 0;
        for (names, counted) in NAMES.iter().zip(&mut self.counted) {
            let count = identity.meter(names.purpose).count();
            let since = count.since(std::mem::replace(counted, count));
            names.record(since, recorder);
            if names.purpose == Purpose::Gossip {
                gossip = since.sent_bytes + since.sent_messages * TRANSPORT_OVERHEAD_BYTES;
            }
        }
        gossip
    }
}

impl Names {
    fn record(&self, count: Count, recorder: &Recorder) {
        let metrics = [
            (self.sent_bytes, count.sent_bytes),
            (self.sent_messages, count.sent_messages),
            (self.received_bytes, count.received_bytes),
            (self.received_messages, count.received_messages),
        ];
        for (name, amount) in metrics {
            if amount > 0 {
                recorder.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
            }
        }
    }
}
