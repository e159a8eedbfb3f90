//! Orders: the state that role objects demand of a target, compared with the state that it reports.

use serde::{Deserialize, Serialize};

use crate::{
    id,
    object::{Key, Kind, Object, Role, Subject},
    place::Place,
    state::State,
};

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Model.
    pub id: id::Model,
    /// Version.
    pub version: String,
}

/// Desired state of a target; also the body of the order that is sent to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Role to take.
    pub role: String,
    /// Models to load, and no others.
    pub models: Vec<Version>,
    /// Adapters of these models to load, and no others.
    pub adapters: Vec<id::Adapter>,
}

/// State that a target reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Current role.
    pub role: String,
    /// Loaded models.
    pub models: Vec<Version>,
    /// Loaded adapters.
    pub adapters: Vec<id::Adapter>,
}

impl Order {
    /// Returns the order for a target, from the most specific role object that covers it.
    pub fn for_target(state: &State, place: &Place, target: &str) -> Option<Self> {
        let roles = state.objects.iter().filter_map(|(key, record)| {
            let Object::Role(role) = &*record.object else {
                return None;
            };
            Some((specificity(role, place, target)?, key.name.as_str(), role))
        });
        // The name breaks ties, so that every leader makes the same choice.
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

    /// Tells whether a target is in exactly this state; an order without a role accepts any role.
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

    /// Tells whether a route leads to a model, so that requests may be waiting for it.
    pub fn is_routed(state: &State, model: &str) -> bool {
        let mut objects = state.objects.values();
        objects.any(|record| match &*record.object {
            Object::Route(route) => route.subject == Subject::Model(model.to_owned()),
            _ => false,
        })
    }
}

/// Returns how specifically a role object covers a target; `None` if it does not cover it.
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
