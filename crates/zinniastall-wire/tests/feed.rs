//! Tests which changes a feed sends to a follower.

use std::sync::Arc;

use zinniastall_model::{
    change::{Body, Change},
    object::{Model, Object},
    state::State,
};
use zinniastall_wire::{feed::Feed, follow::Message};

fn change(number: u64) -> Change {
    Change {
        origin: None,
        expected: None,
        body: Body::Apply(Object::Model(Model {
            id: format!("m{number}"),
            version: "1".to_owned(),
            weights: String::new(),
        })),
    }
}

/// Returns a feed after a number of changes that keeps up to `capacity` of them.
fn feed(changes: u64, capacity: usize) -> Feed {
    let mut state = State::default();
    let mut feed = Feed::new(Arc::new(state.clone()), capacity);
    for number in 1..=changes {
        state.apply(&change(number));
        feed.push(number, Arc::new(change(number)));
    }
    feed.set_state(Arc::new(state));
    feed
}

fn revisions(feed: &Feed, after: u64) -> Option<Vec<u64>> {
    let changes = feed.changes_after(after)?;
    Some(changes.iter().map(|(revision, _)| *revision).collect())
}

#[test]
fn a_follower_gets_the_changes_that_it_lacks() {
    assert_eq!(revisions(&feed(5, 8), 3), Some(vec![4, 5]));
    assert_eq!(revisions(&feed(5, 8), 5), Some(vec![]));
    assert_eq!(revisions(&feed(5, 8), 9), Some(vec![]));
}

#[test]
fn a_follower_too_far_behind_gets_a_snapshot() {
    assert_eq!(revisions(&feed(5, 2), 2), None);
    let (messages, reached) = feed(5, 2).messages(2);
    assert!(matches!(&messages[..], [Message::Snapshot(state)] if state.revision == 5));
    assert_eq!(reached, 5);
}

/// An operator's watch, on another thread, may read the feed after a change has been added and
/// before its state is set. If it saw the change then, it would see it again afterwards.
#[test]
fn a_change_is_hidden_until_its_state_is_set() {
    let mut feed = feed(5, 8);
    feed.push(6, Arc::new(change(6)));
    assert_eq!(revisions(&feed, 4), Some(vec![5]));
}
