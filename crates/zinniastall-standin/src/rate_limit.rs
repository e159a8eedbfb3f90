//! The rate that a stand-in names in its answers; tests change it while the process runs.

use std::sync::{Arc, Mutex, PoisonError};

use actix_web::http::header::HeaderValue;

/// Value of the rate limit field in all answers; `None` leaves the field out.
#[derive(Debug, Clone, Default)]
pub struct Named(Arc<Mutex<Option<HeaderValue>>>);

impl Named {
    /// Returns the value.
    pub fn value(&self) -> Option<HeaderValue> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the value, which need not be a number.
    pub fn set(&self, value: Option<HeaderValue>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = value;
    }
}
