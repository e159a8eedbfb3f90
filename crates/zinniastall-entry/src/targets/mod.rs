//! Targets' HTTP interface: announce, renew, leave.

use actix_web::web;

/// Adds the targets' paths to an application.
pub fn configure(_: &mut web::ServiceConfig) {}
