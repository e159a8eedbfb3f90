//! Validation of single objects: format and length of their fields.
//!
//! Every instance holds everything that enters the log, so each field has a limit.

use crate::{
    change::{Invalid, Origin},
    member::Member,
    object::{Adapter, Client, Model, Object, Residency, Role, Route},
};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a command id, route prefix, version, address or name of weights.
const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of items in a list.
const MAX_LIST_ITEMS: usize = 64;
/// Length of a BLAKE3 digest in hex.
const DIGEST_HEX_DIGITS: usize = 64;
/// Estimated size of an object, in addition to its text.
const OBJECT_OVERHEAD_BYTES: usize = 128;
/// Maximum weight of a client.
const MAX_CLIENT_WEIGHT: u32 = 1_000_000;

type Validation = Result<(), Invalid>;

/// Validates an object.
///
/// # Errors
///
/// Returns the first problem found, with the name of the field.
pub fn object(object: &Object) -> Validation {
    match object {
        Object::Client(object) => client(object),
        Object::Route(object) => route(object),
        Object::Model(object) => model(object),
        Object::Adapter(object) => adapter(object),
        Object::Residency(object) => residency(object),
        Object::Role(object) => role(object),
    }
}

/// Validates an entry instance.
///
/// # Errors
///
/// Returns the first problem found, with the name of the field.
pub fn member(member: &Member) -> Validation {
    name("instance", &member.instance)?;
    name("region", &member.place.region)?;
    name("zone", &member.place.zone)?;
    text("links", &member.links)?;
    text("callers", &member.callers)
}

/// Validates the origin of a change.
///
/// # Errors
///
/// Returns the first problem found, with the name of the field.
pub fn origin(origin: &Origin) -> Validation {
    name("command.operator", &origin.operator)?;
    non_empty("command.id", &origin.command)?;
    text("command.id", &origin.command)
}

/// Returns the approximate size of an object in a state, in bytes.
pub fn size(object: &Object) -> usize {
    let text: usize = match object {
        Object::Client(client) => client.id.len() + client.keys.len() * DIGEST_HEX_DIGITS,
        Object::Route(route) => route.id.len() + route.prefix.len() + route.subject.name().len(),
        Object::Model(model) => model.id.len() + model.version.len() + model.weights.len(),
        Object::Adapter(adapter) => {
            let names = adapter.id.len() + adapter.model.len();
            names + adapter.version.len() + adapter.weights.len()
        }
        Object::Residency(rule) => rule.id.len() + rule.client.len() + texts_size(&rule.regions),
        Object::Role(role) => {
            role.id.len() + role.role.len() + texts_size(&role.models) + texts_size(&role.adapters)
        }
    };
    // The name is stored in the key as well.
    OBJECT_OVERHEAD_BYTES + object.name().len() + text
}

fn texts_size(texts: &[String]) -> usize {
    texts.iter().map(|text| text.len() + size_of::<u64>()).sum()
}

fn client(client: &Client) -> Validation {
    name("client.id", &client.id)?;
    list("client.keys", &client.keys)?;
    for key in &client.keys {
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.len() != DIGEST_HEX_DIGITS || !key.bytes().all(is_hex) {
            return Err(Invalid::Malformed("client.keys".to_owned()));
        }
    }
    if !(1..=MAX_CLIENT_WEIGHT).contains(&client.weight) {
        return Err(Invalid::Malformed("client.weight".to_owned()));
    }
    Ok(())
}

fn route(route: &Route) -> Validation {
    name("route.id", &route.id)?;
    non_empty("route.prefix", &route.prefix)?;
    text("route.prefix", &route.prefix)?;
    if !route.prefix.starts_with('/') {
        return Err(Invalid::Malformed("route.prefix".to_owned()));
    }
    name("route.serves", route.subject.name())
}

fn model(model: &Model) -> Validation {
    name("model.id", &model.id)?;
    text("model.version", &model.version)?;
    text("model.weights", &model.weights)
}

fn adapter(adapter: &Adapter) -> Validation {
    name("adapter.id", &adapter.id)?;
    name("adapter.model", &adapter.model)?;
    text("adapter.version", &adapter.version)?;
    text("adapter.weights", &adapter.weights)
}

fn residency(rule: &Residency) -> Validation {
    name("residency.id", &rule.id)?;
    name("residency.client", &rule.client)?;
    if let Some(subject) = &rule.subject {
        name("residency.subject", subject)?;
    }
    if rule.regions.is_empty() {
        return Err(Invalid::Empty("residency.regions".to_owned()));
    }
    names("residency.regions", &rule.regions)
}

fn role(role: &Role) -> Validation {
    name("role.id", &role.id)?;
    name("role.region", &role.region)?;
    if let Some(zone) = &role.zone {
        name("role.zone", zone)?;
    }
    if let Some(target) = &role.target {
        name("role.target", target)?;
    }
    if !role.role.is_empty() {
        name("role.role", &role.role)?;
    }
    names("role.models", &role.models)?;
    names("role.adapters", &role.adapters)
}

fn names(field: &str, values: &[String]) -> Validation {
    list(field, values)?;
    values.iter().try_for_each(|value| name(field, value))
}

fn list(field: &str, values: &[String]) -> Validation {
    if values.len() > MAX_LIST_ITEMS {
        return Err(Invalid::Long(field.to_owned()));
    }
    Ok(())
}

fn name(field: &str, value: &str) -> Validation {
    non_empty(field, value)?;
    if value.len() > MAX_NAME_BYTES {
        return Err(Invalid::Long(field.to_owned()));
    }
    let permitted = |c: char| c.is_ascii_alphanumeric() || "._-/:@+".contains(c);
    if !value.chars().all(permitted) {
        return Err(Invalid::Malformed(field.to_owned()));
    }
    Ok(())
}

fn non_empty(field: &str, value: &str) -> Validation {
    if value.is_empty() {
        return Err(Invalid::Empty(field.to_owned()));
    }
    Ok(())
}

fn text(field: &str, value: &str) -> Validation {
    if value.len() > MAX_TEXT_BYTES {
        return Err(Invalid::Long(field.to_owned()));
    }
    if value.chars().any(char::is_control) {
        return Err(Invalid::Malformed(field.to_owned()));
    }
    Ok(())
}
