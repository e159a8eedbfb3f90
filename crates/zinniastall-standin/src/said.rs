//! What a stand-in says of itself in its answers; tests change it while the process runs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::{
    HttpResponse,
    http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER},
};
use serde::Deserialize;
use serde_json::json;
use zinniastall_model::header::{LEAVING, OUTCOME, RATE_LIMIT};

use crate::ledger::unix_ms;

/// Fields of the answers; those that are `None` are left out.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fields {
    /// Value of the rate limit field.
    pub rate_limit: Option<String>,
    /// Value of the field by which a target says that it leaves.
    pub leaving: Option<String>,
    /// Value of `Retry-After`: while there is one, all requests are rejected with it.
    pub pause: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    rate_limit: Option<HeaderValue>,
    leaving: Option<HeaderValue>,
    pause: Option<HeaderValue>,
    /// When requests were rejected for a pause, in milliseconds since 1970.
    rejected: Vec<u64>,
}

/// What all threads of a stand-in say.
#[derive(Debug, Clone, Default)]
pub struct Said(Arc<Mutex<State>>);

impl Said {
    /// Replaces the fields; returns whether all are valid values of a header field.
    pub fn set(&self, fields: Fields) -> bool {
        let value = |text: Option<String>| text.map(HeaderValue::try_from).transpose();
        let values = (
            value(fields.rate_limit),
            value(fields.leaving),
            value(fields.pause),
        );
        let (Ok(rate_limit), Ok(leaving), Ok(pause)) = values else {
            return false;
        };
        let mut state = self.state();
        (state.rate_limit, state.leaving, state.pause) = (rate_limit, leaving, pause);
        true
    }

    /// Adds the fields to the head of an answer.
    pub fn add_to(&self, head: &mut HeaderMap) {
        let state = self.state();
        let fields = [(RATE_LIMIT, &state.rate_limit), (LEAVING, &state.leaving)];
        for (name, value) in fields {
            if let Some(value) = value {
                head.insert(HeaderName::from_static(name), value.clone());
            }
        }
    }

    /// Returns the rejection of a request, if the stand-in asks for a pause.
    pub fn reject(&self) -> Option<HttpResponse> {
        let mut state = self.state();
        let pause = state.pause.clone()?;
        state.rejected.push(unix_ms());
        let rejection = HttpResponse::ServiceUnavailable()
            .insert_header((OUTCOME, "not-run"))
            .insert_header((RETRY_AFTER, pause))
            .json(json!({"error": {"type": "paused", "message": "not now"}}));
        Some(rejection)
    }

    /// Returns when requests were rejected for a pause, in milliseconds since 1970.
    pub fn rejected(&self) -> Vec<u64> {
        self.state().rejected.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
