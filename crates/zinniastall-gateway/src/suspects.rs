//! Requests and prompt parts suspected of crashing targets, as instances pass them on in header fields.

use http::{HeaderMap, HeaderValue};
use zinniastall_coord::quarantine::{self, Key, Run};
use zinniastall_model::{
    fingerprint::{Fingerprint, Suspect},
    target::Report,
};

use crate::headers::{SUSPICION, SUSPICIONS};

pub use zinniastall_model::fingerprint::Suspects;

/// What was known of a request when it was sent.
pub type Sent = quarantine::Sent<Fingerprint>;

/// Suspects in a header field; a head has a limited length.
const MAX_STATED: usize = 16;

/// Adds what is known against a request and its parts to the fields between instances. The request
/// comes first.
pub fn state(headers: &mut HeaderMap, suspicions: &[Suspect]) {
    let stated = &suspicions[..suspicions.len().min(MAX_STATED)];
    let Some(first) = stated.first() else { return };
    let value = |text: serde_json::Result<String>| HeaderValue::try_from(text.ok()?).ok();
    let all = value(serde_json::to_string(stated));
    headers.extend(all.map(|value| (SUSPICIONS, value)));
    // Instances that know of no parts read this.
    let request = Some(first).filter(|(suspect, _)| !suspect.is_part());
    let request = request.and_then(|(_, suspicion)| value(serde_json::to_string(suspicion)));
    headers.extend(request.map(|value| (SUSPICION, value)));
}

/// Returns the run of the target that made a report.
pub fn run(report: &Report) -> Run {
    quarantine::run(&report.target, report.incarnation)
}
