//! Encodes outgoing requests: which headers are forwarded, set and removed.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderValue,
    header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
};
use zinniastall_http::head;

use super::{
    Proxy,
    attempt::{Attempt, Place},
    job::Job,
    origin,
};
use crate::{
    headers::{ACCOUNT, DETOUR, INTERNAL_PREFIX, LAST_EVENT_ID, REQUIRES, RULE},
    suspects,
};

/// Least urgent priority known to targets.
const LEAST_URGENT: u8 = 9;
/// Longest body that is copied behind the head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// An encoded request.
#[derive(Debug)]
pub(super) struct Encoded {
    /// The head, and the body if it is short.
    pub(super) head: Bytes,
    /// What is left of the body, shared with the request.
    pub(super) body: Bytes,
}

impl Proxy {
    /// Returns the time in which an answer still reaches the caller.
    fn time_left(&self, job: &Job) -> Duration {
        let now = Instant::now();
        let until = self.state.draining().map(|drain| drain.last_answer());
        let until = until.map_or(job.deadline, |until| until.min(job.deadline));
        until.saturating_duration_since(now)
    }

    /// Encodes a request for its destination.
    pub(super) fn encode(&self, attempt: &Attempt<'_>, last_event: Option<&str>) -> Encoded {
        let job = attempt.job;
        let mut headers = job.head.headers.clone();
        let has_body =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        head::strip_hop_by_hop(&mut headers);
        self.strip_reserved(&mut headers);
        headers.remove(EXPECT);
        // The gateway consumes keys if there are accounts; otherwise the field belongs to the
        // target.
        if job.table().accounts.is_some() {
            headers.remove(AUTHORIZATION);
        }
        let account = job.account().map(|account| account.name.as_bytes());
        let account = account.and_then(|name| HeaderValue::from_bytes(name).ok());
        if has_body {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(job.body.len()));
        }
        let left = self.time_left(job).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX).max(1);
        headers.insert(&self.header_names.deadline_ms, HeaderValue::from(left));
        if let Some(last) = last_event.and_then(|last| HeaderValue::try_from(last).ok()) {
            headers.insert(LAST_EVENT_ID, last);
        }
        match attempt.place {
            Place::Target { target, source, .. } => {
                let source = source.as_deref().map(HeaderValue::try_from);
                if let Some(Ok(source)) = source {
                    headers.insert(&self.header_names.fetch_from, source);
                }
                if let Ok(target) = HeaderValue::try_from(target.as_str()) {
                    headers.insert(&self.header_names.expected_target, target);
                }
                let priority = job.priority().min(LEAST_URGENT);
                headers.insert(
                    &self.header_names.priority,
                    HeaderValue::from(u16::from(priority)),
                );
                headers.extend(account.map(|account| (self.header_names.account.clone(), account)));
            }
            Place::Instance { detour, .. } => {
                if detour.is_some() {
                    headers.insert(DETOUR, HeaderValue::from_static("1"));
                }
                origin::state(&mut headers, REQUIRES, attempt.requirement.origin());
                let rule = HeaderValue::try_from(job.rule().to_string());
                headers.extend(rule.map(|rule| (RULE, rule)));
                headers.extend(account.map(|account| (ACCOUNT, account)));
                suspects::state(&mut headers, &self.suspicions(job));
            }
        }
        let is_short = job.body.len() <= MAX_COPIED_BYTES;
        let copied = if is_short { job.body.len() } else { 0 };
        let mut output = BytesMut::with_capacity(1024 + copied);
        head::write_request(&mut output, &job.head.method, &job.head.target, &headers);
        output.extend_from_slice(&job.body[..copied]);
        Encoded {
            head: output.freeze(),
            body: job.body.slice(copied..),
        }
    }

    /// Removes the headers that only the gateway may set.
    fn strip_reserved(&self, headers: &mut HeaderMap) {
        for name in &self.header_names.reserved {
            headers.remove(name);
        }
        headers.remove(&self.header_names.expected_target);
        headers.remove(&self.header_names.priority);
        headers.remove(&self.header_names.fetch_from);
        headers.remove(&self.header_names.account);
        let own: Vec<_> = headers
            .keys()
            .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
            .cloned()
            .collect();
        for name in own {
            headers.remove(name);
        }
    }
}
