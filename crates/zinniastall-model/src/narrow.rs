//! Detection of changes that narrow what entry instances may do.
//!
//! A narrowing change is accepted only once every member has confirmed it. Otherwise a partitioned
//! region would keep serving under the old rule after the operator was told that the new one is in
//! force.
//!
//! Permissions before and after the change are compared for the regions in which members run. An
//! instance that joins later holds at least the revision of its own join, which follows the change
//! in the log.

use std::sync::Arc;

use indexmap::IndexSet;

use crate::{
    id,
    object::{Client, Key, Object, Residency, Route},
    state::State,
};

/// Tells whether replacing an object with `new`, or deleting it if `None`, narrows.
pub fn narrows(state: &State, key: &Key, new: Option<&Object>) -> bool {
    let old = state
        .objects
        .get(key)
        .map(|record| Arc::clone(&record.object));
    match (old.as_deref(), new) {
        (Some(Object::Client(old)), new) => client_narrows(old, as_client(new)),
        (Some(Object::Route(old)), new) => {
            as_route(new).is_none_or(|new| route_narrows(old, new) || shadows(state, new))
        }
        (None, Some(Object::Route(new))) => shadows(state, new),
        (Some(Object::Residency(old)), new) => rule_narrows(state, Some(old), as_residency(new)),
        (None, Some(Object::Residency(new))) => rule_narrows(state, None, Some(new)),
        _ => false,
    }
}

/// Tells whether a client, or a key that it could use, is no longer accepted.
fn client_narrows(old: &Client, new: Option<&Client>) -> bool {
    let Some(new) = new else {
        return !old.withdrawn;
    };
    let lost = |key: &String| !new.keys.contains(key);
    !old.withdrawn && (new.withdrawn || old.keys.iter().any(lost))
}

/// Tells whether a route leads elsewhere, or its requests may no longer be repeated: an instance
/// that has not applied the change would run them twice.
fn route_narrows(old: &Route, new: &Route) -> bool {
    let moved = old.prefix != new.prefix || old.subject != new.subject;
    moved || (old.idempotent && !new.idempotent)
}

/// Tells whether a route whose requests may not be repeated takes requests from a route with a
/// shorter prefix whose requests may.
fn shadows(state: &State, new: &Route) -> bool {
    let is_shadowed = |object: &Object| match object {
        Object::Route(other) => {
            let covers = other.id != new.id && new.prefix.starts_with(&other.prefix);
            covers && other.idempotent
        }
        _ => false,
    };
    let mut objects = state.objects.values();
    !new.idempotent && objects.any(|record| is_shadowed(&record.object))
}

/// Tells whether a change of a residency rule revokes a permission of a client that it covers.
fn rule_narrows(state: &State, old: Option<&Residency>, new: Option<&Residency>) -> bool {
    let mut clients: IndexSet<&str> = IndexSet::new();
    clients.extend(
        [old, new]
            .into_iter()
            .flatten()
            .map(|rule| rule.client.as_str()),
    );
    clients.into_iter().any(|client| {
        let others = other_rules(state, client, old.or(new));
        let covers = |rule: &&Residency| rule.client == client;
        let mut before = others.clone();
        before.extend(old.filter(covers));
        let mut after = others;
        after.extend(new.filter(covers));
        revokes_permission(state, &before, &after)
    })
}

fn other_rules<'a>(
    state: &'a State,
    client: &str,
    changed: Option<&Residency>,
) -> Vec<&'a Residency> {
    let is_other = |rule: &&Residency| {
        rule.client == client && changed.is_none_or(|changed| changed.id != rule.id)
    };
    state.residency_rules().filter(is_other).collect()
}

fn revokes_permission(state: &State, before: &[&Residency], after: &[&Residency]) -> bool {
    // The empty subject stands for all subjects that no rule names.
    let mut subjects = IndexSet::from([""]);
    let named = before.iter().chain(after);
    subjects.extend(named.filter_map(|rule| rule.subject.as_deref()));
    let regions: IndexSet<&id::Region> = state
        .members
        .values()
        .map(|member| &member.place.region)
        .collect();
    let lost = |subject: &str, from: &id::Region, to: &id::Region| {
        permits(before, subject, from, to) && !permits(after, subject, from, to)
    };
    subjects.iter().any(|subject| {
        let from_any = |from: &&id::Region| regions.iter().any(|to| lost(subject, from, to));
        regions.iter().any(from_any)
    })
}

/// Tells whether rules permit a request received in region `from` to run in region `to`.
///
/// Without a matching rule only the receiving region is permitted; otherwise all matching rules
/// must permit it.
fn permits(rules: &[&Residency], subject: &str, from: &id::Region, to: &id::Region) -> bool {
    let covers = |rule: &&&Residency| rule.subject.as_deref().is_none_or(|own| own == subject);
    let mut matching = rules.iter().filter(covers).peekable();
    if matching.peek().is_none() {
        return from == to;
    }
    matching.all(|rule| rule.regions.contains(to))
}

const fn as_client(object: Option<&Object>) -> Option<&Client> {
    match object {
        Some(Object::Client(client)) => Some(client),
        _ => None,
    }
}

const fn as_route(object: Option<&Object>) -> Option<&Route> {
    match object {
        Some(Object::Route(route)) => Some(route),
        _ => None,
    }
}

const fn as_residency(object: Option<&Object>) -> Option<&Residency> {
    match object {
        Some(Object::Residency(rule)) => Some(rule),
        _ => None,
    }
}

impl State {
    fn residency_rules(&self) -> impl Iterator<Item = &Residency> {
        self.objects
            .values()
            .filter_map(|record| as_residency(Some(&record.object)))
    }
}
