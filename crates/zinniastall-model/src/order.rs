//! What targets are to hold: the intents that role objects state, and whether a target agrees.

use serde::{Deserialize, Serialize};

use crate::{
    id,
    object::{Key, Kind, Object, Role, Subject},
    place::Place,
    state::State,
};

/// A model and the version to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Model.
    pub id: id::Model,
    /// Version.
    pub version: String,
}

/// What a target is to hold; also the body of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Role to take.
    pub role: String,
    /// Models to hold, and no others.
    pub models: Vec<Version>,
    /// Adapters to hold on top of them, and no others.
    pub adapters: Vec<id::Adapter>,
}

/// What a target says that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Role that it has.
    pub role: String,
    /// Models that it holds.
    pub models: Vec<Version>,
    /// Adapters that it holds.
    pub adapters: Vec<id::Adapter>,
}

impl Order {
    /// Finds the order for a target, from the role object that names it most closely.
    pub fn for_target(state: &State, place: &Place, target: &str) -> Option<Self> {
        let roles = state.objects.iter().filter_map(|(key, record)| {
            let Object::Role(role) = &*record.object else {
                return None;
            };
            Some((specificity(role, place, target)?, key.name.as_str(), role))
        });
        // Between equally close ones the name decides, so that every leader decides alike.
        let most_specific = roles.max_by_key(|(specificity, name, _)| (*specificity, *name));
        let (_, _, role) = most_specific?;
        let version = |name: &id::Model| {
            let key = Key {
                kind: Kind::Model,
                name: name.clone(),
            };
            match &*state.objects.get(&key)?.object {
                Object::Model(model) => Some(Version {
                    id: model.id.clone(),
                    version: model.version.clone(),
                }),
                _ => None,
            }
        };
        Some(Self {
            role: role.role.clone(),
            models: role.models.iter().filter_map(version).collect(),
            adapters: role.adapters.clone(),
        })
    }

    /// Tells whether a target holds exactly this; an order without a role leaves the role open.
    pub fn matches(&self, holding: &Holding) -> bool {
        let role = self.role.is_empty() || self.role == holding.role;
        role && same_elements(&self.models, &holding.models)
            && same_elements(&self.adapters, &holding.adapters)
    }

    /// Returns the models that a target has yet to load.
    pub fn missing<'a>(&'a self, holding: &'a Holding) -> impl Iterator<Item = &'a Version> {
        let is_missing = |model: &&Version| !holding.models.contains(model);
        self.models.iter().filter(is_missing)
    }

    /// Tells whether requests may be waiting for a model, as some route leads to it.
    pub fn is_routed(state: &State, model: &str) -> bool {
        let mut objects = state.objects.values();
        objects.any(|record| match &*record.object {
            Object::Route(route) => route.subject == Subject::Model(model.to_owned()),
            _ => false,
        })
    }
}

/// How closely a role object names a target; `None` when it does not mean it.
fn specificity(role: &Role, place: &Place, target: &str) -> Option<u8> {
    let region = role.region == place.region;
    let zone = role.zone.as_ref().is_none_or(|zone| *zone == place.zone);
    let target_matches = role.target.as_ref().is_none_or(|named| named == target);
    let specificity = u8::from(role.zone.is_some()) + 2 * u8::from(role.target.is_some());
    (region && zone && target_matches).then_some(specificity)
}

fn same_elements<T: PartialEq>(wanted: &[T], held: &[T]) -> bool {
    let all = |some: &[T], others: &[T]| some.iter().all(|one| others.contains(one));
    all(wanted, held) && all(held, wanted)
}
