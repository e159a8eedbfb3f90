//! Orders, which set the engine's role and models.

use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use zinniastall_model::{header, id};

use super::{Engine, chat::error_body};
use crate::{settings::Model, weights};

/// Body of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Body {
    role: String,
    models: Vec<ModelVersion>,
    #[serde(default)]
    adapters: Vec<serde_json::Value>,
}

/// A model version to serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ModelVersion {
    id: id::Model,
    version: String,
}

/// A received order and whether it was admitted.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Order {
    fence: u64,
    obeyed: bool,
    at: u64,
    body: Body,
}

/// Handles an order: admits it, loads missing models and applies it.
pub(super) async fn receive(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<Body>,
) -> HttpResponse {
    let fence = request.headers().get(header::FENCE);
    let fence = fence.and_then(|value| value.to_str().ok()?.parse().ok());
    let Some(fence) = fence else {
        return HttpResponse::BadRequest().json(error_body("malformed", "fencing number required"));
    };
    let body = body.into_inner();
    if !engine.admit(fence, &body) {
        return HttpResponse::Conflict().json(error_body("old-fence", "a newer order is known"));
    }
    tracing::info!(event = "ordered", fence, role = body.role);
    if engine.needs_load(&body) {
        load_models(&engine, &body).await;
    }
    let applied = engine.apply(fence, &body);
    if applied {
        HttpResponse::Ok().json(serde_json::json!({}))
    } else {
        HttpResponse::Conflict().json(error_body("old-fence", "a newer order came while loading"))
    }
}

/// Lists all orders received.
pub(super) async fn list(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.state().orders)
}

/// Downloads the models that are missing; without a weight store it only takes the load time.
async fn load_models(engine: &Engine, body: &Body) {
    let settings = &engine.settings.engine;
    let Some(store) = settings.weight_store else {
        tokio::time::sleep(settings.load_time).await;
        return;
    };
    for model in &body.models {
        if !engine.has_version(model) {
            let name = format!("{}/{}", model.id, model.version);
            if let Err(error) = weights::fetch(store, &name).await {
                tracing::warn!(event = "load-failed", model = name, error = %error);
            }
        }
    }
}

impl Engine {
    /// Records an order and returns whether it is admitted: an engine that checks fencing tokens
    /// refuses a stale one.
    fn admit(&self, fence: u64, body: &Body) -> bool {
        let mut state = self.lock_state();
        let obeyed = !self.settings.engine.checks_fence || fence >= state.highest_fence;
        state.highest_fence = state.highest_fence.max(fence);
        state.orders.push(Order {
            fence,
            obeyed,
            at: crate::ledger::unix_ms(),
            body: body.clone(),
        });
        obeyed
    }

    fn needs_load(&self, body: &Body) -> bool {
        body.models.iter().any(|model| !self.has_version(model))
    }

    fn has_version(&self, wanted: &ModelVersion) -> bool {
        let state = self.lock_state();
        let matches = |held: &Model| held.model == wanted.id && held.version == wanted.version;
        state.models.iter().any(matches)
    }

    /// Applies an order and returns whether it did: an engine that checks fencing tokens drops one
    /// that a newer one has overtaken during its load.
    fn apply(&self, fence: u64, body: &Body) -> bool {
        let mut state = self.lock_state();
        if self.settings.engine.checks_fence && fence < state.highest_fence {
            return false;
        }
        state.role.clone_from(&body.role);
        let to_model = |wanted: &ModelVersion| Model {
            model: wanted.id.clone(),
            version: wanted.version.clone(),
            adapters: body
                .adapters
                .iter()
                .filter_map(|adapter| adapter.as_str().or_else(|| adapter.get("id")?.as_str()))
                .map(str::to_owned)
                .collect(),
        };
        state.models = body.models.iter().map(to_model).collect();
        true
    }
}
