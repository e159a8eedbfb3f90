//! What configuration weighs: its encoded size and its memory, an object.

use std::hint::black_box;

use serde::{Deserialize, Serialize};
use zinniastall_model::{
    change::{Answer, Body, Change},
    member::Member,
    object::{Client, Model, Object, Residency, Route, Subject},
    place::Place,
    state::State,
};

use crate::usage;

/// Objects of each kind; the state machine bounds them all together to 2 MB.
const OBJECTS: usize = 2_000;

/// Bytes an object.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Weights {
    /// Encoded client with two keys.
    pub(crate) client: f64,
    /// Encoded model and its route.
    pub(crate) model: f64,
    /// Encoded residency rule with three regions.
    pub(crate) residency: f64,
    /// Encoded member.
    pub(crate) member: f64,
    /// Resident memory of a client.
    pub(crate) client_memory: f64,
    /// Encoded change of a client.
    pub(crate) change: f64,
}

/// Measures them.
pub(crate) fn measure() -> Weights {
    let empty = usage::memory();
    let clients = filled(&[client]);
    let client_memory = float(usage::memory() - empty) / count();
    let client_bytes = encoded(&clients) / count();
    drop(black_box(clients));
    Weights {
        client: client_bytes,
        model: encoded(&filled(&[model, route])) / count(),
        residency: encoded(&filled(&[client, residency])) / count() - client_bytes,
        member: encoded(&filled(&[member])) / count(),
        client_memory,
        change: encoded(&change(client(1))),
    }
}

fn filled(bodies: &[fn(usize) -> Body]) -> State {
    let mut state = State::default();
    for body in bodies {
        for number in 0..OBJECTS {
            let answer = state.apply(&change(body(number)));
            assert!(matches!(answer, Answer::Done { .. }), "{answer:?}");
        }
    }
    state
}

fn change(body: Body) -> Change {
    Change {
        origin: None,
        expected: None,
        body,
    }
}

fn encoded(value: &impl Serialize) -> f64 {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail; a failure would show as a size of 0.
    drop(ciborium::into_writer(value, &mut bytes));
    float(bytes.len() as u64)
}

fn client(number: usize) -> Body {
    Body::Apply(Object::Client(Client {
        id: format!("client-{number}"),
        keys: vec!["0".repeat(64), "1".repeat(64)],
        weight: 1,
        withdrawn: false,
    }))
}

fn model(number: usize) -> Body {
    Body::Apply(Object::Model(Model {
        id: format!("model-{number}"),
        version: "2026-12-01".to_owned(),
        weights: format!("weights/model-{number}"),
    }))
}

fn route(number: usize) -> Body {
    Body::Apply(Object::Route(Route {
        id: format!("route-{number}"),
        prefix: "/v1/chat/completions".to_owned(),
        subject: Subject::Model(format!("model-{number}")),
        idempotent: true,
    }))
}

fn residency(number: usize) -> Body {
    Body::Apply(Object::Residency(Residency {
        id: format!("rule-{number}"),
        client: format!("client-{number}"),
        subject: None,
        regions: (0..3).map(|region| format!("region-{region}")).collect(),
    }))
}

fn member(number: usize) -> Body {
    Body::Join(Member {
        instance: format!("entry-{number}"),
        place: Place::new("region-1", "zone-1"),
        links: "10.100.100.100:9100".to_owned(),
        callers: "10.100.100.100:8080".to_owned(),
    })
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
const fn count() -> f64 {
    OBJECTS as f64
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
const fn float(bytes: u64) -> f64 {
    bytes as f64
}
