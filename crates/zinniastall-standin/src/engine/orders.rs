//! Orders: which role to take and which models to hold.

use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use zinniastall_model::{header, id};

use super::{Engine, chat::error};
use crate::{settings::Model, weights};

/// An order's body.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Body {
    role: String,
    models: Vec<Wanted>,
    #[serde(default)]
    adapters: Vec<serde_json::Value>,
}

/// A model to hold.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Wanted {
    id: id::Model,
    version: String,
}

/// One order as it arrived.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Order {
    fence: u64,
    obeyed: bool,
    at: u64,
    body: Body,
}

/// Takes one order.
pub(super) async fn order(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<Body>,
) -> HttpResponse {
    let fence = request.headers().get(header::FENCE);
    let fence = fence.and_then(|value| value.to_str().ok()?.parse().ok());
    let Some(fence) = fence else {
        return HttpResponse::BadRequest().json(error("malformed", "fencing number required"));
    };
    let body = body.into_inner();
    if !engine.judge(fence, &body) {
        return HttpResponse::Conflict().json(error("old-fence", "a newer order is known"));
    }
    tracing::info!(event = "ordered", fence, role = body.role);
    if engine.missing(&body) {
        load(&engine, &body).await;
    }
    let done = engine.obey(fence, &body);
    if done {
        HttpResponse::Ok().json(serde_json::json!({}))
    } else {
        HttpResponse::Conflict().json(error("old-fence", "a newer order came while loading"))
    }
}

/// Lists all orders that arrived.
pub(super) async fn list(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.state().orders)
}

async fn load(engine: &Engine, body: &Body) {
    let settings = &engine.settings.engine;
    let Some(store) = settings.store else {
        tokio::time::sleep(settings.load).await;
        return;
    };
    for model in &body.models {
        if !engine.has(model) {
            let name = format!("{}/{}", model.id, model.version);
            if let Err(error) = weights::fetch(store, &name).await {
                tracing::warn!(event = "load-failed", model = name, error = %error);
            }
        }
    }
}

impl Engine {
    /// Notes an order; one with an old number is refused by an engine that checks.
    fn judge(&self, fence: u64, body: &Body) -> bool {
        let mut state = self.lock_state();
        let obeyed = !self.settings.engine.checks_fence || fence >= state.fence;
        state.fence = state.fence.max(fence);
        state.orders.push(Order {
            fence,
            obeyed,
            at: crate::ledger::now(),
            body: body.clone(),
        });
        obeyed
    }

    fn missing(&self, body: &Body) -> bool {
        body.models.iter().any(|model| !self.has(model))
    }

    fn has(&self, wanted: &Wanted) -> bool {
        let state = self.lock_state();
        let same = |held: &Model| held.model == wanted.id && held.version == wanted.version;
        state.models.iter().any(same)
    }

    /// Does what an order says, unless a newer one came while it was loading.
    fn obey(&self, fence: u64, body: &Body) -> bool {
        let mut state = self.lock_state();
        if self.settings.engine.checks_fence && fence < state.fence {
            return false;
        }
        state.role.clone_from(&body.role);
        let held = |wanted: &Wanted| Model {
            model: wanted.id.clone(),
            version: wanted.version.clone(),
            adapters: body
                .adapters
                .iter()
                .filter_map(|adapter| adapter.as_str().or_else(|| adapter.get("id")?.as_str()))
                .map(str::to_owned)
                .collect(),
        };
        state.models = body.models.iter().map(held).collect();
        true
    }
}
