//! What the receiver of a message knows of its end.

use serde::{Deserialize, Serialize};

/// What is known of the end of a message.
///
/// A [`Decoder`](crate::body::Decoder) makes it from the message's framing and from how its connection
/// ended; whoever passes the message on may lower it and never raise it. Terms of RFC 9112, sections 6.3
/// and 8.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The message was broken off.
    Incomplete,
    /// A close-delimited body whose connection ended in order. The sender may have finished it or been
    /// stopped in the middle; no receiver can tell.
    Unconfirmed,
    /// The message states its own end, and all of it has arrived.
    Complete,
}

impl Ending {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Incomplete => "incomplete",
            Self::Unconfirmed => "unconfirmed",
            Self::Complete => "complete",
        }
    }
}
