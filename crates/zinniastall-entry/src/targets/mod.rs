//! HTTP interface for targets: announce, renew and leave.
//!
//! A target announces itself and its load to any entry instance of its availability zone, and again
//! before its lease expires. The handlers validate the bodies and pass them to the owner of the
//! zone's table on the control arbiter; see [`crate::spread`].

pub mod body;
pub mod problem;
pub mod table;

use actix::{MailboxError, Message, Recipient};
use actix_web::{HttpResponse, error::JsonPayloadError, web};
use zinniastall_model::place::Place;
use zinniastall_wire::gossip;

use self::{
    body::{Announce, Lease, Leave},
    problem::Problem,
};

/// Maximum number of connections from targets; a zone has a few hundred targets.
pub const MAX_CONNECTIONS: usize = 4_096;

/// A validated announcement for the owner of the table.
#[derive(Debug, Message)]
#[rtype(result = "Result<Lease, Problem>")]
pub struct Announced(pub gossip::Target);

/// A validated leave request for the owner of the table.
#[derive(Debug, Message)]
#[rtype(result = "Result<(), Problem>")]
pub struct Left(pub Leave);

/// Handle to the owner of the table.
#[derive(Debug, Clone)]
pub struct Registry {
    /// Place to which announcements apply.
    pub place: Place,
    /// Receiver of announcements.
    pub announced: Recipient<Announced>,
    /// Receiver of leave requests.
    pub left: Recipient<Left>,
}

/// Registers the targets' routes with an application.
pub fn configure(registry: Registry) -> impl FnOnce(&mut web::ServiceConfig) {
    move |config| {
        let json = web::JsonConfig::default()
            .limit(body::MAX_BODY_BYTES)
            .content_type_required(false)
            .error_handler(|error, _| malformed(&error).into());
        config
            .app_data(json)
            .app_data(web::Data::new(registry))
            .route("/v1/targets/announce", web::post().to(announce))
            .route("/v1/targets/leave", web::post().to(leave))
            .default_service(web::to(unknown));
    }
}

async fn announce(
    registry: web::Data<Registry>,
    body: web::Json<Announce>,
) -> Result<HttpResponse, Problem> {
    let report = body.into_inner().check(&registry.place)?;
    let lease = registry.announced.send(Announced(report)).await;
    Ok(HttpResponse::Ok().json(lease.map_err(busy)??))
}

async fn leave(
    registry: web::Data<Registry>,
    body: web::Json<Leave>,
) -> Result<HttpResponse, Problem> {
    let leave = body.into_inner().check()?;
    registry.left.send(Left(leave)).await.map_err(busy)??;
    Ok(HttpResponse::Ok().json(serde_json::json!({})))
}

async fn unknown() -> Result<HttpResponse, Problem> {
    Err(Problem::Path)
}

fn busy(_: MailboxError) -> Problem {
    Problem::Busy
}

fn malformed(error: &JsonPayloadError) -> Problem {
    Problem::Body(error.to_string())
}
