//! Third filter: at-most-once execution.
//!
//! The instance that issued a ticket runs its request in a separate task, which outlives the
//! caller's connection and records the response. The first caller reads the record in the same way
//! as any later one, so a retry joins the run or gets its recorded result. Other instances forward
//! a retry to the issuer; if the issuer cannot be reached, the outcome is unknown.

mod ledger;
mod reader;
mod record;

pub use ledger::{Action, Ledger};
pub use record::{Record, Writer};
