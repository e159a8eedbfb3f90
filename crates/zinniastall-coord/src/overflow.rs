//! Room that regions lend each other.
//!
//! A region whose targets are busy sends requests to regions that have room. Instances that decide
//! alone on old sums all choose the same region at once, and leave it all at once when it rejects.
//! Instead, a lending region divides its room among the regions that need it ([`Lender`]); a
//! borrowing region keeps its grants for [`GRANT_LIFE`] after the last message ([`Borrower`]) and
//! divides them among its instances, each of which spends its part as tokens ([`Bucket`]).
//!
//! Room has two dimensions ([`Amount`]), since either may be scarce: time to prefill prompts, and
//! slots in which answers are decoded. A request takes one request and its expected prefill time.
//!
//! Conservation: in any window of length `w`, the borrowers of a lender together spend at most its
//! room (the largest that it stated within the window and [`HOLD`] before it) × (`w` + 0.5 s for
//! unspent tokens), plus one request of each instance. For [`HOLD`] after a change of the acting lender the room
//! counts twice, as grants of the one before may not be known to the next. Lost, repeated and reordered messages
//! don't change this, as long as a grant takes at most two rounds to arrive at the instances.

mod amount;
mod borrower;
mod bucket;
mod lender;
mod need;
mod record;
pub mod room;

use std::time::Duration;

pub use self::{
    amount::Amount,
    borrower::{Borrower, Round, Stale},
    bucket::Bucket,
    lender::Lender,
    need::Need,
    record::Record,
};

/// Time between two rounds, in which rooms are computed and grants are sent.
pub const ROUND: Duration = Duration::from_millis(200);
/// Time for which a grant is used after its message arrived: two round trips between regions and
/// several lost datagrams.
pub const GRANT_LIFE: Duration = Duration::from_secs(1);
/// Time for which a lender counts a grant as in use after it was sent: its life, and the time that
/// its message takes.
pub const HOLD: Duration = Duration::from_millis(1_400);
/// Silence of the acting lender after which the next one takes over: two rounds lost in a row, so
/// that a single lost message doesn't make two lenders act.
pub const TAKEOVER: Duration = Duration::from_millis(500);
