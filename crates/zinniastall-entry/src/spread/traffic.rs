//! Traffic metrics of links, by purpose.

use zinniastall_settings::metrics::Recorder;
use zinniastall_wire::{hello::Purpose, meter::Count};

use crate::links::Identity;

/// Bytes that the transport adds per message: WebSocket, TCP and IP headers, and a share of an
/// acknowledgment.
const TRANSPORT_OVERHEAD_BYTES: u64 = 70;

/// Metric names of one purpose.
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

/// Traffic counts at the time of the last recording.
#[derive(Debug, Default)]
pub struct Traffic {
    counted: [Count; NAMES.len()],
}

impl Traffic {
    /// Records the traffic of each purpose since the last call.
    ///
    /// Returns the bytes sent by gossip, including transport headers.
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
