//! For how long a replicated state may be relied on after it was confirmed to be the newest.
//!
//! An instance asks the group which state it has reached, and relies on the answer for [`LEASE`] from
//! the moment of its question, by a clock that runs on while it is suspended. Who changes the state so
//! that something is forbidden waits for [`SETTLE_TIME`] after the commit before the change counts as
//! in force: whoever relied on an earlier state asked before the commit, and has stopped by then. This
//! holds for instances that are suspended or cut off, and for those that the group doesn't know.

use std::time::Duration;

/// Time for which an instance may rely on a state after it asked whether the state is the newest.
pub const LEASE: Duration = Duration::from_secs(3);
/// Time after the commit of a change from which no instance relies on an earlier state. The excess
/// over [`LEASE`] covers clocks that run at different rates.
pub const SETTLE_TIME: Duration = Duration::from_millis(3_500);
