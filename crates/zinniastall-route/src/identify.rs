//! First filter: identifies the client, and the model or service that is to serve the request.

use std::sync::Arc;

use indexmap::IndexMap;
use zinniastall_model::{
    id,
    object::{Client, Object, Residency, Route, Subject},
    state::State,
};

use crate::outcome::Reason;

/// Lookup index of a configuration, built once per revision.
#[derive(Debug, Default)]
pub struct Index {
    keys: IndexMap<String, id::Client>,
    clients: IndexMap<id::Client, Client>,
    routes: Vec<Route>,
    rules: IndexMap<id::Client, Vec<Residency>>,
    versions: IndexMap<id::Model, String>,
    revision: id::Revision,
}

impl Index {
    /// Builds the index of a configuration.
    pub fn new(state: &Arc<State>) -> Self {
        let mut index = Self {
            revision: state.revision,
            ..Self::default()
        };
        for record in state.objects.values() {
            index.add(&record.object);
        }
        // Lookups take the first match, and the longest prefix has to win.
        index
            .routes
            .sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(a.id.cmp(&b.id)));
        index
    }

    /// Returns the revision of the configuration.
    pub const fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the residency rules of a client.
    pub fn rules(&self, client: &str) -> &[Residency] {
        self.rules.get(client).map_or(&[], Vec::as_slice)
    }

    /// Finds the client that a key belongs to.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::UnknownKey`] or [`Reason::Withdrawn`].
    pub fn by_key(&self, key: &str) -> Result<&Client, Reason> {
        let digest = blake3::hash(key.as_bytes()).to_hex();
        let client = self.keys.get(digest.as_str()).ok_or(Reason::UnknownKey)?;
        self.client(client)
    }

    /// Finds a client by the name that forwarded requests carry.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::UnknownKey`] or [`Reason::Withdrawn`].
    pub fn client(&self, client: &str) -> Result<&Client, Reason> {
        let client = self.clients.get(client).ok_or(Reason::UnknownKey)?;
        if client.withdrawn {
            return Err(Reason::Withdrawn(client.id.clone()));
        }
        Ok(client)
    }

    /// Finds the route of a path; `model` is the model named in the body, if any.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NoRoute`] if no route matches.
    pub fn route(&self, path: &str, model: Option<&str>) -> Result<&Route, Reason> {
        let matches_route = |route: &&Route| match &route.subject {
            Subject::Model(name) => Some(name.as_str()) == model && covers(&route.prefix, path),
            Subject::Service(_) => covers(&route.prefix, path),
        };
        self.routes.iter().find(matches_route).ok_or_else(|| {
            let model = model.map(|model| format!(" with model {}", truncate(model)));
            Reason::NoRoute(format!("{}{}", truncate(path), model.unwrap_or_default()))
        })
    }

    /// Returns whether the first route that covers a path serves a model, so that the body must
    /// name one.
    pub fn needs_model(&self, path: &str) -> bool {
        let covering = self.routes.iter().find(|route| covers(&route.prefix, path));
        covering.is_some_and(|route| matches!(route.subject, Subject::Model(_)))
    }

    /// Finds the routed model or service with this name.
    pub fn subject(&self, name: &str) -> Option<&Subject> {
        let subjects = self.routes.iter().map(|route| &route.subject);
        subjects.into_iter().find(|subject| subject.name() == name)
    }

    /// Returns the configured version of a model; services have none.
    pub fn version(&self, subject: &Subject) -> Option<&str> {
        match subject {
            Subject::Model(model) => self.versions.get(model).map(String::as_str),
            Subject::Service(_) => None,
        }
    }

    fn add(&mut self, object: &Object) {
        match object {
            Object::Client(client) => {
                for key in &client.keys {
                    self.keys.insert(key.to_lowercase(), client.id.clone());
                }
                self.clients.insert(client.id.clone(), client.clone());
            }
            Object::Route(route) => self.routes.push(route.clone()),
            Object::Residency(rule) => {
                let rules = self.rules.entry(rule.client.clone()).or_default();
                rules.push(rule.clone());
            }
            Object::Model(model) => {
                let version = model.version.clone();
                self.versions.insert(model.id.clone(), version);
            }
            Object::Adapter(_) | Object::Role(_) => {}
        }
    }
}

/// Returns whether a prefix covers a path; it matches whole segments only, so that `/proofs` does
/// not cover `/proofsheets`.
fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}

/// Truncates text sent by a caller, so that error messages stay short.
fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 80;
    text.chars().take(MAX_CHARS).collect()
}
