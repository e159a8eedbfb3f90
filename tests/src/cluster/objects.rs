//! Shorthands for common configuration objects.

use serde_json::{Value, json};

use super::Cluster;
use crate::error::Result;

/// Longest wait until all entry instances have confirmed a change, in milliseconds.
const CONFIRMATION_TIMEOUT_MS: &str = "10000";

/// Returns a model object as JSON for the command line.
pub fn model(name: &str, version: &str) -> String {
    json!({"model": {"id": name, "version": version}}).to_string()
}

impl Cluster {
    /// Applies an object through the command line.
    ///
    /// # Errors
    ///
    /// Fails if the change is not accepted.
    pub async fn apply(&self, object: &Value) -> Result<Value> {
        self.ctl(&["apply", &object.to_string()]).await?.json()
    }

    /// Applies a client with a single key.
    ///
    /// # Errors
    ///
    /// Fails if the change is not accepted.
    pub async fn client(&self, id: &str, key: &str) -> Result<Value> {
        let digest = blake3::hash(key.as_bytes()).to_hex().to_string();
        self.apply(&json!({"client": {"id": id, "keys": [digest], "weight": 1}}))
            .await
    }

    /// Applies a model and a route for chat completions to it.
    ///
    /// # Errors
    ///
    /// Fails if a change is not accepted.
    pub async fn model(&self, model: &str) -> Result<Value> {
        self.apply(&json!({"model": {"id": model, "version": "1", "weights": model}}))
            .await?;
        self.apply(&json!({"route": {
            "id": model, "prefix": "/v1/chat/completions", "model": model, "idempotent": true,
        }}))
        .await
    }

    /// Applies a residency rule for all requests of a client and waits until every entry instance
    /// has confirmed it.
    ///
    /// # Errors
    ///
    /// Fails if the change is not accepted.
    pub async fn residency(&self, client: &str, regions: &[&str]) -> Result<Value> {
        let rule = json!({"residency": {"id": client, "client": client, "regions": regions}});
        let arguments = [
            "--wait",
            CONFIRMATION_TIMEOUT_MS,
            "apply",
            &rule.to_string(),
        ];
        self.ctl(&arguments).await?.json()
    }
}
