//! The replicated state.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    change::{Answer, Body, Change},
    id,
    member::Member,
    object::{Key, Object},
};

/// An object and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision of its last change.
    pub revision: id::Revision,
    /// The object; shared, so that publishing a new state copies no objects.
    pub object: Arc<Object>,
}

/// Everything that is configured.
///
/// # Example
///
/// ```
/// use zinniastall_model::{change::{Answer, Body, Change}, object::{Client, Object}, state::State};
///
/// let mut state = State::default();
/// let client = Client { id: "korrigan".into(), keys: vec![], weight: 1, withdrawn: false };
/// let change = Change { origin: None, expected: Some(0), body: Body::Apply(Object::Client(client)) };
/// assert_eq!(state.apply(&change), Answer::Done { revision: 1, narrows: false });
/// assert_eq!(state.apply(&change), Answer::Conflict { current: 1 });
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of changes that made this state.
    pub revision: id::Revision,
    /// Objects by key.
    #[serde(with = "indexmap::map::serde_seq")]
    pub objects: IndexMap<Key, Record>,
    /// Entry instances that may serve.
    pub members: IndexMap<id::Instance, Member>,
}

impl State {
    /// Applies one committed change.
    ///
    /// Only [`Answer::Done`] moves the revision; every other answer leaves the state as it was.
    pub fn apply(&mut self, change: &Change) -> Answer {
        match &change.body {
            Body::Apply(object) => self.put(object, change.expected),
            Body::Delete(key) => self.remove(key, change.expected),
            Body::Join(member) => {
                self.members.insert(member.instance.clone(), member.clone());
                self.advance(false)
            }
            Body::Retire(instance) => {
                self.members.shift_remove(instance);
                self.advance(false)
            }
        }
    }

    fn put(&mut self, object: &Object, expected: Option<id::Revision>) -> Answer {
        let key = object.key();
        let current = self.objects.get(&key).map_or(0, |record| record.revision);
        if expected.is_some_and(|expected| expected != current) {
            return Answer::Conflict { current };
        }
        let answer = self.advance(false);
        let record = Record {
            revision: self.revision,
            object: Arc::new(object.clone()),
        };
        self.objects.insert(key, record);
        answer
    }

    fn remove(&mut self, key: &Key, expected: Option<id::Revision>) -> Answer {
        let current = self.objects.get(key).map_or(0, |record| record.revision);
        if expected.is_some_and(|expected| expected != current) {
            return Answer::Conflict { current };
        }
        self.objects.shift_remove(key);
        self.advance(false)
    }

    const fn advance(&mut self, narrows: bool) -> Answer {
        self.revision += 1;
        Answer::Done {
            revision: self.revision,
            narrows,
        }
    }
}
