//! Tests the state machine: validation, races, resends, and which changes narrow.

use std::{collections::BTreeSet, time::Instant};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use zinniastall_coord::quarantine::{Suspicion, Table};
use zinniastall_model::{
    change::{Answer, Body, Change, Invalid, Origin},
    fingerprint::Fingerprint,
    machine::Machine,
    member::Member,
    object::{Client, Key, Kind, Model, Object, Residency, Route, Subject},
    place::Place,
    state::State,
};

const SEED: u64 = 7;
const REGIONS: [&str; 3] = ["patras", "athens", "thessaloniki"];

fn config() -> Config {
    println!("seed {SEED}");
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn apply(object: Object, expected: Option<u64>) -> Change {
    Change {
        origin: None,
        expected,
        body: Body::Apply(object),
    }
}

fn delete(kind: Kind, name: &str, expected: u64) -> Change {
    let name = name.to_owned();
    Change {
        origin: None,
        expected: Some(expected),
        body: Body::Delete(Key { kind, name }),
    }
}

fn with_origin(mut change: Change, command: &str) -> Change {
    change.origin = Some(Origin {
        operator: "script".into(),
        command: command.into(),
    });
    change
}

fn client(withdrawn: bool, keys: &[char]) -> Object {
    let key = |digit: &char| String::from_iter([*digit; 64]);
    Object::Client(Client {
        id: "studio".into(),
        keys: keys.iter().map(key).collect(),
        weight: 1,
        withdrawn,
    })
}

fn model(version: &str) -> Object {
    Object::Model(Model {
        id: "m".into(),
        version: version.into(),
        weights: String::new(),
    })
}

fn route(prefix: &str, idempotent: bool) -> Object {
    Object::Route(Route {
        id: format!("r{}", prefix.len()),
        prefix: prefix.into(),
        subject: Subject::Service("portal".into()),
        idempotent,
    })
}

fn rule(id: &str, subject: Option<&str>, regions: &[&str]) -> Residency {
    Residency {
        id: id.into(),
        client: "studio".into(),
        subject: subject.map(str::to_owned),
        regions: regions.iter().map(|region| (*region).to_owned()).collect(),
    }
}

fn state_with(objects: impl IntoIterator<Item = Object>) -> State {
    let mut state = State::default();
    for region in REGIONS {
        let member = Member {
            instance: region.into(),
            place: Place::new(region, "a"),
            links: String::new(),
            callers: String::new(),
        };
        let join = Change {
            origin: None,
            expected: None,
            body: Body::Join(member),
        };
        assert!(matches!(state.apply(&join), Answer::Done { .. }));
    }
    for object in objects {
        let done = state.apply(&apply(object, None));
        assert!(matches!(done, Answer::Done { .. }), "{done:?}");
    }
    state
}

fn narrows(answer: &Answer) -> Option<bool> {
    match answer {
        Answer::Done { narrows, .. } => Some(*narrows),
        _ => None,
    }
}

macro_rules! narrowing {
    ($($name:ident: [$($before:expr),*], $change:expr => $wanted:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut state = state_with([$($before),*]);
            assert_eq!(narrows(&state.apply(&$change)), Some($wanted));
        })*
    };
}

narrowing! {
    withdrawn: [client(false, &[])], apply(client(true, &[]), None) => true;
    restored: [client(true, &[])], apply(client(false, &['a']), None) => false;
    key_revoked: [client(false, &['a', 'b'])], apply(client(false, &['a']), None) => true;
    key_added: [client(false, &['a'])], apply(client(false, &['a', 'b']), None) => false;
    deleted: [client(false, &[])], delete(Kind::Client, "studio", 4) => true;
    withdrawn_deleted: [client(true, &[])], delete(Kind::Client, "studio", 4) => false;
    not_repeatable_any_more: [route("/a", true)], apply(route("/a", false), None) => true;
    repeatable: [route("/a", false)], apply(route("/a", true), None) => false;
    shadowing: [route("/a", true)], apply(route("/a/b", false), None) => true;
    another_prefix_not_shadowed: [route("/a", true)], apply(route("/bb", false), None) => false;
    route_deleted: [route("/a", true)], delete(Kind::Route, "r2", 4) => true;
    new_version: [model("1")], apply(model("2"), None) => false;
}

/// Returns the permitted triples of subject, receiving region and running region, computed
/// independently of the implementation.
fn permitted(rules: &[Residency]) -> BTreeSet<(&'static str, &'static str, &'static str)> {
    let mut permitted = BTreeSet::new();
    for subject in ["x", "y", "other"] {
        let matching = rules
            .iter()
            .filter(|rule| rule.subject.is_none() || rule.subject.as_deref() == Some(subject));
        let matching: Vec<&Residency> = matching.collect();
        for from in REGIONS {
            for to in REGIONS {
                let is_permitted =
                    |rule: &&Residency| rule.regions.iter().any(|region| region == to);
                let none = matching.is_empty() && from == to;
                if none || (!matching.is_empty() && matching.iter().all(is_permitted)) {
                    permitted.insert((subject, from, to));
                }
            }
        }
    }
    permitted
}

fn any_rule(id: &'static str) -> impl Strategy<Value = Option<Residency>> {
    let subject = prop_oneof![Just(None), Just(Some("x")), Just(Some("y"))];
    let regions = proptest::sample::subsequence(REGIONS.to_vec(), 1..=3);
    proptest::option::of(
        (subject, regions).prop_map(move |(subject, regions)| rule(id, subject, &regions)),
    )
}

proptest! {
    #![proptest_config(config())]

    /// A rule change that revokes a permission but does not count as narrowing would be reported as
    /// accepted while a partitioned region keeps using the old rule.
    #[test]
    fn a_rule_narrows_exactly_when_it_revokes_a_permission(
        other in any_rule("other"),
        old in any_rule("changed"),
        new in any_rule("changed"),
    ) {
        prop_assume!(old.is_some() || new.is_some());
        let rules = |rules: [&Option<Residency>; 2]| -> Vec<Residency> {
            rules.into_iter().flatten().cloned().collect()
        };
        let before = rules([&other, &old]);
        let after = rules([&other, &new]);
        let objects = before.iter().cloned().map(Object::Residency);
        let mut state = state_with(std::iter::once(client(false, &[])).chain(objects));
        let expected = state.revision;
        let change = match new {
            Some(new) => apply(Object::Residency(new), None),
            None => delete(Kind::Residency, "changed", expected),
        };
        let taken = !permitted(&before).is_subset(&permitted(&after));
        prop_assert_eq!(narrows(&state.apply(&change)), Some(taken));
    }
}

/// A script creates an object but misses the answer. Another operator deletes the object, and the
/// script's command id is evicted. A resend of the command must not create the object again.
#[test]
fn a_late_resend_does_not_create_again() {
    let mut machine = Machine::default();
    let create = with_origin(apply(model("1"), Some(0)), "create");
    let created = machine.apply(&create);
    assert_eq!(machine.apply(&create), created);
    machine.apply(&with_origin(delete(Kind::Model, "m", 1), "delete"));
    for number in 0..600 {
        let other = apply(client(false, &[]), None);
        machine.apply(&with_origin(other, &format!("filler-{number}")));
    }
    assert_eq!(machine.apply(&create), Answer::Conflict { current: 2 });
    assert_eq!(
        machine.state().current_revision(&Key {
            kind: Kind::Model,
            name: "m".into()
        }),
        2
    );
}

#[test]
fn a_reused_command_id_is_refused() {
    let mut machine = Machine::default();
    machine.apply(&with_origin(apply(model("1"), Some(0)), "c"));
    let reused = machine.apply(&with_origin(apply(model("2"), Some(1)), "c"));
    assert_eq!(reused, Answer::Reused);
}

#[test]
fn references_are_checked() {
    let mut state = State::default();
    let chat = Object::Route(Route {
        id: "chat".into(),
        prefix: "/v1".into(),
        subject: Subject::Model("m".into()),
        idempotent: true,
    });
    let missing = state.apply(&apply(chat.clone(), Some(0)));
    assert_eq!(missing, Answer::Invalid(Invalid::Missing("model m".into())));
    state.apply(&apply(model("1"), Some(0)));
    state.apply(&apply(chat, Some(0)));
    let used = state.apply(&delete(Kind::Model, "m", 1));
    assert_eq!(used, Answer::Invalid(Invalid::Used("route chat".into())));
    assert_eq!(state.revision, 2);
}

#[test]
fn sizes_are_bounded() {
    let mut state = State::default();
    let long = state.apply(&apply(model(&"1".repeat(300)), Some(0)));
    assert_eq!(long, Answer::Invalid(Invalid::Long("model.version".into())));
    let full = (0..20_000).find_map(|number| {
        let object = Object::Model(Model {
            id: format!("m{number}"),
            version: "1".repeat(200),
            weights: String::new(),
        });
        let answer = state.apply(&apply(object, Some(0)));
        (!matches!(answer, Answer::Done { .. })).then_some(answer)
    });
    assert_eq!(full, Some(Answer::Invalid(Invalid::Full)));
}

fn request(number: u8) -> Fingerprint {
    Fingerprint::from([number; 16])
}

/// Returns the suspicion of an instance that has seen a request crash targets.
fn suspicion(crashes: u64) -> Suspicion {
    let mut table = Table::new(1);
    for run in 0..crashes {
        table.crash(request(0), run, run > 0, Instant::now());
    }
    table.suspicion(request(0)).cloned().unwrap_or_default()
}

fn suspect(number: u8, suspicion: Suspicion) -> Change {
    system_change(Body::Suspect(vec![(request(number), suspicion)]))
}

fn system_change(body: Body) -> Change {
    Change {
        origin: None,
        expected: None,
        body,
    }
}

fn quarantined(state: &State) -> Vec<Fingerprint> {
    state.quarantined().collect()
}

#[test]
fn a_quarantined_request_is_kept_once() {
    let mut state = State::default();
    state.apply(&suspect(1, suspicion(2)));
    assert_eq!((quarantined(&state), state.revision), (vec![], 0));
    for _ in 0..2 {
        state.apply(&suspect(1, suspicion(3)));
        assert_eq!((quarantined(&state), state.revision), (vec![request(1)], 1));
    }
}

/// Guards against a release that is undone by the suspicions that instances still hold.
#[test]
fn a_released_request_stays_released_until_it_crashes_targets_again() {
    let mut state = State::default();
    state.apply(&suspect(1, suspicion(3)));
    for _ in 0..2 {
        state.apply(&system_change(Body::Release(request(1))));
        assert_eq!((quarantined(&state), state.revision), (vec![], 2));
    }
    state.apply(&suspect(1, suspicion(3)));
    assert_eq!((quarantined(&state), state.revision), (vec![], 2));
    let released = state.suspects[&request(1)].clone();
    let mut table = Table::new(1);
    let now = Instant::now();
    table.merge(request(1), &released, now);
    for run in 10..13 {
        table.crash(request(1), run, run > 10, now);
    }
    let again = table.suspicion(request(1)).cloned().unwrap();
    state.apply(&suspect(1, again));
    assert_eq!(quarantined(&state), vec![request(1)]);
}

#[test]
fn quarantined_requests_are_bounded_and_the_newest_stay() {
    let mut state = State::default();
    for number in 0..2_000_u128 {
        let request = Fingerprint::from(number.to_le_bytes());
        state.apply(&system_change(Body::Suspect(vec![(request, suspicion(3))])));
    }
    let kept = quarantined(&state);
    assert_eq!(kept.len(), 1_024);
    assert_eq!(
        kept.last(),
        Some(&Fingerprint::from(1_999_u128.to_le_bytes()))
    );
}
