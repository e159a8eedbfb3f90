//! Reads what targets ask of this instance in their answers.

use std::time::{Instant, SystemTime};

use http::{HeaderValue, StatusCode, header::RETRY_AFTER};
use zinniastall_coord::departure;
use zinniastall_http::{head::Response, retry_after};
use zinniastall_model::header::LEAVING;
use zinniastall_wire::gossip;

use super::{call::Call, worker::Worker};

impl Worker {
    /// Records what a target asks for in its answer to a request that was sent at a time, or that it asks
    /// for nothing.
    pub(super) fn observe_notices(
        &self,
        report: &gossip::Target,
        call: &Call,
        head: &Response,
        sent_at: Instant,
    ) {
        let notices = self.service.shared_view.notices();
        let (target, request) = (&report.target, &call.request.id);
        let fields = head.headers.get_all(LEAVING).iter();
        if departure::is_said(fields.map(HeaderValue::as_bytes))
            && notices.depart(report, Instant::now())
        {
            self.recorder.count("targets.leaving", 1);
            tracing::info!(event = "target-leaving", target, via = "answer");
        }
        let time = if head.status == StatusCode::SERVICE_UNAVAILABLE {
            retry_after::read(&head.headers, &RETRY_AFTER, SystemTime::now())
        } else {
            Ok(None)
        };
        let time = time.unwrap_or_else(|invalid| {
            self.recorder.count("pauses.invalid", 1);
            let rates = self.service.shared_view.rates();
            if rates.logs_unreadable(target, Instant::now()) {
                tracing::warn!(event = "target-pause-unreadable", request, target, reason = %invalid);
            }
            None
        });
        let Some(time) = time.filter(|time| !time.is_zero()) else {
            notices.answered(report, sent_at);
            return;
        };
        if notices.ask(report, time, Instant::now()) {
            self.recorder.count("pauses.asked", 1);
            tracing::info!(
                event = "target-pause",
                request,
                target,
                pause_ms = time.as_millis(),
            );
        }
    }
}
