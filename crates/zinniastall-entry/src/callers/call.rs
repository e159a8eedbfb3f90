//! A caller's HTTP request, as it is sent to a target or to another instance.

use std::cell::OnceCell;

use bytes::Bytes;
use zinniastall_coord::origin::Requirement;
use zinniastall_model::{
    fingerprint::{Fingerprint, PartSpace, Subjects, shared_parts},
    header,
};
use zinniastall_route::request::Request;

use super::accept;

/// An HTTP request together with its routing attributes.
#[derive(Debug, Clone)]
pub struct Call {
    /// Routing attributes.
    pub request: Request,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// HTTP headers for the target.
    pub headers: Vec<(String, String)>,
    /// HTTP body.
    pub body: Bytes,
    /// What the request is known by when a target crashes under it, computed when it is first needed.
    pub subjects: OnceCell<Subjects>,
}

/// Headers that apply to a single connection or that each hop sets anew. The authorization key
/// stays at the instance that received it, since a target that saw it could act as the client.
const NOT_FORWARDED: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the system's own headers. They are never accepted from outside, since a forged one
/// would be trusted.
const SYSTEM_PREFIX: &str = "x-zinniastall-";

/// Returns whether a header, given in lower case, is passed on to the next hop.
pub fn is_forwarded(name: &str) -> bool {
    !name.starts_with(SYSTEM_PREFIX) && !NOT_FORWARDED.contains(&name)
}

impl Call {
    /// Returns the identity of the request, which is the same at all instances.
    ///
    /// The host is left out: callers address each entry instance by another one.
    pub fn fingerprint(&self) -> Fingerprint {
        self.subjects().request()
    }

    /// Returns the request, and the messages of its chat that other requests may share: all but the
    /// last one.
    pub fn subjects(&self) -> &Subjects {
        self.subjects.get_or_init(|| {
            let client = Some(self.request.client.as_str());
            let request = Fingerprint::of(client, "", &self.path, &self.body);
            Subjects::new(request, self.shared_messages())
        })
    }

    /// Returns the messages of the chat that other requests may share.
    pub fn shared_messages(&self) -> Vec<Fingerprint> {
        let space = PartSpace {
            service: "",
            model: self.request.subject.name(),
            account: Some(self.request.client.as_str()),
        };
        let messages = accept::messages(&self.request.subject, &self.body);
        shared_parts(space, &messages)
    }

    /// Returns the system's own headers for a request to a target.
    pub fn system_headers(
        &self,
        left_ms: u64,
        continues: Option<(u64, &Requirement)>,
    ) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            (header::REQUEST, self.request.id.clone()),
            (header::CLIENT, self.request.client.clone()),
            (header::CLASS, self.request.class.clone()),
            (header::DEADLINE, left_ms.to_string()),
        ];
        if let Some((offset, requirement)) = continues {
            headers.push((header::OFFSET, offset.to_string()));
            let origin = requirement.origin();
            headers.extend(origin.map(|origin| (header::SOFTWARE, origin.version.clone())));
        }
        headers
    }
}
