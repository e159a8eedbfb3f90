//! Callers' HTTP interface and the request path behind it.

use actix_web::web;

/// Adds the callers' paths to one traffic thread's application.
pub fn configure(_: &mut web::ServiceConfig) {}
