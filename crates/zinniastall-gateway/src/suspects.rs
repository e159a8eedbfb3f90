//! Requests suspected of crashing targets, as instances pass them on in header fields.

use http::HeaderValue;
use zinniastall_coord::quarantine::{self, Run, Suspicion};
use zinniastall_model::target::Report;

pub use zinniastall_model::fingerprint::Suspects;

/// Encodes a suspicion as the value of a header field between instances.
pub fn header_value(suspicion: &Suspicion) -> Option<HeaderValue> {
    let text = serde_json::to_string(suspicion).ok()?;
    HeaderValue::try_from(text).ok()
}

/// Returns the run of the target that made a report.
pub fn run(report: &Report) -> Run {
    quarantine::run(&report.target, report.incarnation)
}
