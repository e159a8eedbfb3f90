//! References between objects.

use crate::{
    change::Invalid,
    object::{Key, Kind, Object, Subject},
    state::State,
};

/// Checks that all objects to which an object refers exist.
///
/// # Errors
///
/// Returns [`Invalid::Missing`] with the first one that does not.
pub fn check_all_exist(state: &State, object: &Object) -> Result<(), Invalid> {
    for key in references_of(object) {
        if !state.objects.contains_key(&key) {
            return Err(Invalid::Missing(describe(&key)));
        }
    }
    Ok(())
}

/// Checks that no other object refers to an object.
///
/// # Errors
///
/// Returns [`Invalid::Used`] with the first one that does.
pub fn check_unused(state: &State, key: &Key) -> Result<(), Invalid> {
    let is_referring = |object: &Object| references_of(object).contains(key);
    let mut objects = state.objects.iter();
    match objects.find(|(_, record)| is_referring(&record.object)) {
        Some((user, _)) => Err(Invalid::Used(describe(user))),
        None => Ok(()),
    }
}

/// Returns the keys of the objects to which an object refers.
fn references_of(object: &Object) -> Vec<Key> {
    let models = |names: &[String]| names.iter().map(|name| key(Kind::Model, name)).collect();
    match object {
        Object::Client(_) | Object::Model(_) => Vec::new(),
        Object::Route(route) => match &route.subject {
            Subject::Model(model) => vec![key(Kind::Model, model)],
            Subject::Service(_) => Vec::new(),
        },
        Object::Adapter(adapter) => vec![key(Kind::Model, &adapter.model)],
        Object::Residency(rule) => vec![key(Kind::Client, &rule.client)],
        Object::Role(role) => {
            let mut keys: Vec<Key> = models(&role.models);
            keys.extend(role.adapters.iter().map(|name| key(Kind::Adapter, name)));
            keys
        }
    }
}

fn key(kind: Kind, name: &str) -> Key {
    Key {
        kind,
        name: name.to_owned(),
    }
}

fn describe(key: &Key) -> String {
    format!("{:?} {}", key.kind, key.name).to_lowercase()
}
