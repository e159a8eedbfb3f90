//! Verifies that an answer can be its target's.

use zinniastall_http::head::Response;

use super::{Proxy, attempt::Ended, responder::Responder};

impl Proxy {
    /// Returns the end of the attempt if its answer must not reach the caller.
    ///
    /// The request may have run; the target is at fault.
    pub(super) fn reject_answer(
        &self,
        response: &Response,
        responder: &Responder,
    ) -> Option<Ended> {
        if !self.lacks_signature(response) {
            return None;
        }
        let why = "a success without the target's signature";
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
