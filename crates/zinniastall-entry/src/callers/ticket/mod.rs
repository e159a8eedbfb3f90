//! Third filter: work that runs at most once.
//!
//! The instance that issued a ticket runs its request in a task of its own, which outlives the
//! caller's connection and records the answer. The first caller reads the record like every later
//! one, so a resend joins the run or gets its recorded end. Elsewhere a resend is passed to the
//! issuer; if that cannot be asked, the outcome is unknown.

mod ledger;
mod reader;
mod record;

pub use ledger::{Action, Ledger};
pub use record::{Record, Writer};
