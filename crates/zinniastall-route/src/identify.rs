//! First filter: who asks, and what is to serve it.

use std::sync::Arc;

use indexmap::IndexMap;
use zinniastall_model::{
    id,
    object::{Client, Object, Residency, Route, Subject},
    state::State,
};

use crate::outcome::Reason;

/// The configuration, arranged for look-ups by request; made once a revision.
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
    /// Arranges a configuration.
    pub fn new(state: &Arc<State>) -> Self {
        let mut index = Self {
            revision: state.revision,
            ..Self::default()
        };
        for record in state.objects.values() {
            index.add(&record.object);
        }
        // The longest prefix wins, so it has to come first.
        index
            .routes
            .sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(a.id.cmp(&b.id)));
        index
    }

    /// Returns the revision that it was made of.
    pub const fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the residency rules that cover a client.
    pub fn rules(&self, client: &str) -> &[Residency] {
        self.rules.get(client).map_or(&[], Vec::as_slice)
    }

    /// Finds the client that a key belongs to.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownKey`] and [`Reason::Withdrawn`].
    pub fn by_key(&self, key: &str) -> Result<&Client, Reason> {
        let digest = blake3::hash(key.as_bytes()).to_hex();
        let client = self.keys.get(digest.as_str()).ok_or(Reason::UnknownKey)?;
        self.client(client)
    }

    /// Finds a client by name, as forwarded requests carry it.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownKey`] and [`Reason::Withdrawn`].
    pub fn client(&self, client: &str) -> Result<&Client, Reason> {
        let client = self.clients.get(client).ok_or(Reason::UnknownKey)?;
        if client.withdrawn {
            return Err(Reason::Withdrawn(client.id.clone()));
        }
        Ok(client)
    }

    /// Finds the route of a path; `model` is the one that the body names, if any.
    ///
    /// # Errors
    ///
    /// [`Reason::NoRoute`].
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

    /// Returns whether any route of a path serves models, so that its body must name one.
    pub fn needs_model(&self, path: &str) -> bool {
        let covering = self.routes.iter().find(|route| covers(&route.prefix, path));
        covering.is_some_and(|route| matches!(route.subject, Subject::Model(_)))
    }

    /// Finds what a name stands for.
    pub fn subject(&self, name: &str) -> Option<&Subject> {
        let subjects = self.routes.iter().map(|route| &route.subject);
        subjects.into_iter().find(|subject| subject.name() == name)
    }

    /// Returns the configured version of a subject.
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

/// Returns whether a prefix covers a path; it ends at a border between segments, so that `/proofs`
/// does not take `/proofsheets`.
fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}

/// Cuts what a caller sent before it goes into an error, so that errors stay short.
fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 80;
    text.chars().take(MAX_CHARS).collect()
}
