//! Verifies that an answer can be its target's, and one that the caller can read.

use http::{HeaderValue, header::ACCEPT_ENCODING};
use zinniastall_http::{coding, head::Response};

use super::{
    Proxy,
    attempt::{Attempt, Ended},
    responder::Responder,
};

impl Proxy {
    /// Returns the end of the attempt if its answer must not reach the caller.
    ///
    /// The request may have run; the target is at fault.
    pub(super) fn reject_answer(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        responder: &Responder,
    ) -> Option<Ended> {
        let why = if self.lacks_signature(response) {
            "a success without the target's signature"
        } else if !is_readable(attempt, response) {
            "a content coding that wasn't asked for"
        } else {
            return None;
        };
        Some(if responder.has_begun() {
            Ended::Broken(why.to_owned())
        } else {
            Ended::Unknown(why.to_owned())
        })
    }

    fn lacks_signature(&self, response: &Response) -> bool {
        let name = self.header_names.signature.as_ref();
        let is_missing = |name| !response.headers.contains_key(name);
        response.status.is_success() && name.is_some_and(is_missing)
    }
}

fn is_readable(attempt: &Attempt<'_>, response: &Response) -> bool {
    let accepted = attempt.job.head.headers.get_all(ACCEPT_ENCODING).iter();
    let accepted = accepted.filter_map(|value| HeaderValue::to_str(value).ok());
    coding::is_accepted(&accepted.collect::<Vec<_>>(), &response.headers)
}
