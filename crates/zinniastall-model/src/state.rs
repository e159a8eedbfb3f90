//! The replicated state.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use zinniastall_coord::quarantine::{CRASH_LIMIT, Suspicion};

use crate::{
    change::{Answer, Body, Change, Invalid},
    fingerprint::{Fingerprint, Suspect},
    id,
    member::Member,
    narrow,
    object::{Key, Object},
    reference,
    routing::{Number, Publication},
    validate,
};

/// Deleted objects whose last revision is remembered; see [`State::floor`].
const MAX_TOMBSTONES: usize = 4096;
/// Most entry instances.
const MAX_MEMBERS: usize = 4096;
/// Bytes that all objects may take, so that a whole state always fits into one frame.
const MAX_OBJECTS_BYTES: usize = 2 << 20;
/// Bytes that a published routing table may take, so that with all objects it fits into one frame.
const MAX_PUBLICATION_BYTES: usize = 1 << 20;
/// Most zones that may be evacuated.
const MAX_EVACUATED_ZONES: usize = 1024;

/// Most requests that are kept as not run any more, or released. Each took three targets down.
const MAX_SUSPECTS: usize = 1024;

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
/// let client = Client { id: "studio".into(), keys: vec![], weight: 1, withdrawn: false };
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
    /// Revisions at which objects were deleted, oldest first.
    #[serde(with = "indexmap::map::serde_seq")]
    pub deleted: IndexMap<Key, id::Revision>,
    /// Highest revision that was dropped from [`State::deleted`].
    ///
    /// An absent object counts as having this revision. Otherwise a creation whose command id has
    /// been forgotten could be resent after the object was deleted, find it absent, and create it
    /// a second time.
    pub floor: id::Revision,
    /// Bytes that the objects take, roughly.
    pub bytes: usize,
    /// Routing table in force; shared, so that publishing a new state copies no routes.
    #[serde(default)]
    pub routing: Option<Arc<Publication>>,
    /// Availability zones whose targets get no new requests.
    #[serde(default)]
    pub evacuated: IndexSet<id::Zone>,
    /// Requests that are not run any more, and those that were released, by fingerprint; those that changed last
    /// stand last.
    #[serde(default, with = "indexmap::map::serde_seq")]
    pub suspects: IndexMap<Fingerprint, Suspicion>,
    /// Revision of the last change of [`State::suspects`].
    #[serde(default)]
    pub suspected: id::Revision,
}

impl State {
    /// Applies one committed change.
    ///
    /// Only [`Answer::Done`] moves the revision, and not even that when an instance joins that is
    /// listed already with the same addresses; every other answer leaves the state as it was.
    pub fn apply(&mut self, change: &Change) -> Answer {
        let result = match &change.body {
            Body::Apply(object) => self.put(object, change.expected),
            Body::Delete(key) => self.remove(key, change.expected),
            Body::Join(member) => self.join(member),
            Body::Retire(instance) => self.retire(instance),
            Body::Publish(publication) => self.publish(publication),
            Body::Evacuate(zone) => self.evacuate(zone),
            Body::Reopen(zone) => Ok(self.reopen(zone)),
            Body::Suspect(suspects) => Ok(self.suspect(suspects)),
            Body::Release(request) => Ok(self.release(*request)),
        };
        result.unwrap_or_else(|rejected| rejected)
    }

    /// Returns the revision against which a change of this object is checked.
    ///
    /// It is that of the last change, also when that was a deletion, and 0 for an object that was
    /// never there.
    pub fn current_revision(&self, key: &Key) -> id::Revision {
        if let Some(record) = self.objects.get(key) {
            return record.revision;
        }
        self.deleted.get(key).copied().unwrap_or(self.floor)
    }

    /// Returns the number of the routing table in force; 0 for none.
    pub fn routing_number(&self) -> Number {
        self.routing
            .as_ref()
            .map_or(0, |publication| publication.table.number)
    }

    /// Tells whether a routing table is in force that a later one of this number would not replace.
    pub fn has_routing_at_least(&self, number: Number) -> bool {
        self.routing.is_some() && self.routing_number() >= number
    }

    /// Returns the state as entry instances need it: without the operators' text of the routing table.
    #[must_use]
    pub fn stripped(mut self: Arc<Self>) -> Arc<Self> {
        let has_document = |publication: &Arc<Publication>| publication.document.is_some();
        if self.routing.as_ref().is_some_and(has_document) {
            let state = Arc::make_mut(&mut self);
            state.routing = state
                .routing
                .as_deref()
                .map(|held| Arc::new(held.stripped()));
        }
        self
    }

    fn publish(&mut self, publication: &Publication) -> Result<Answer, Answer> {
        let invalid = |error| Answer::Invalid(Invalid::Routing(error));
        publication.table.check().map_err(invalid)?;
        if publication.size() > MAX_PUBLICATION_BYTES {
            return Err(Answer::Invalid(Invalid::Full));
        }
        if self.has_routing_at_least(publication.table.number) {
            return Ok(self.done(false));
        }
        self.routing = Some(Arc::new(publication.clone()));
        self.revision += 1;
        Ok(self.done(false))
    }

    fn evacuate(&mut self, zone: &id::Zone) -> Result<Answer, Answer> {
        if self.evacuated.len() >= MAX_EVACUATED_ZONES {
            return Err(Answer::Invalid(Invalid::Full));
        }
        if self.evacuated.insert(zone.clone()) {
            self.revision += 1;
        }
        Ok(self.done(false))
    }

    fn reopen(&mut self, zone: &id::Zone) -> Answer {
        if self.evacuated.shift_remove(zone) {
            self.revision += 1;
        }
        self.done(false)
    }

    /// Returns the requests that are not run any more.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        let held = self.suspects.iter();
        let quarantined = held.filter(|(_, suspicion)| suspicion.crashes() >= CRASH_LIMIT);
        quarantined.map(|(request, _)| *request)
    }

    /// Tells whether something is known of a request that the state doesn't hold, and has to: that it isn't run any
    /// more, or that one which wasn't may run again.
    pub fn lacks(&self, (request, suspicion): &Suspect) -> bool {
        let Some(held) = self.suspects.get(request) else {
            return suspicion.crashes() >= CRASH_LIMIT;
        };
        let mut merged = held.clone();
        merged.merge(suspicion);
        merged != *held
    }

    fn suspect(&mut self, suspects: &[Suspect]) -> Answer {
        for (request, suspicion) in suspects {
            if self.lacks(&(*request, suspicion.clone())) {
                let mut merged = self.suspects.shift_remove(request).unwrap_or_default();
                merged.merge(suspicion);
                self.insert_suspect(*request, merged);
            }
        }
        self.done(false)
    }

    fn release(&mut self, request: Fingerprint) -> Answer {
        let held = self.suspects.get(&request).cloned();
        if let Some(mut released) = held.filter(|held| held.crashes() > 0) {
            released.clear();
            self.suspects.shift_remove(&request);
            self.insert_suspect(request, released);
        }
        self.done(false)
    }

    fn insert_suspect(&mut self, request: Fingerprint, suspicion: Suspicion) {
        self.suspects.insert(request, suspicion);
        let surplus = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        self.suspects.drain(..surplus);
        self.revision += 1;
        self.suspected = self.revision;
    }

    fn put(&mut self, object: &Object, expected: Option<id::Revision>) -> Result<Answer, Answer> {
        let key = object.key();
        self.check_revision(&key, expected)?;
        validate::object(object).map_err(Answer::Invalid)?;
        reference::check_all_exist(self, object).map_err(Answer::Invalid)?;
        let old = self
            .objects
            .get(&key)
            .map(|record| Arc::clone(&record.object));
        let freed = old.as_ref().map_or(0, |old| validate::size(old));
        let bytes = self.bytes - freed + validate::size(object);
        if bytes > MAX_OBJECTS_BYTES {
            return Err(Answer::Invalid(Invalid::Full));
        }
        let narrows = narrow::narrows(self, &key, Some(object));
        self.bytes = bytes;
        self.revision += 1;
        self.deleted.shift_remove(&key);
        let record = Record {
            revision: self.revision,
            object: Arc::new(object.clone()),
        };
        self.objects.insert(key, record);
        Ok(self.done(narrows))
    }

    fn remove(&mut self, key: &Key, expected: Option<id::Revision>) -> Result<Answer, Answer> {
        self.check_revision(key, expected)?;
        let Some(record) = self.objects.get(key) else {
            let name = format!("{:?} {}", key.kind, key.name);
            return Err(Answer::Invalid(Invalid::Missing(name)));
        };
        reference::check_unused(self, key).map_err(Answer::Invalid)?;
        let freed = validate::size(&record.object);
        let narrows = narrow::narrows(self, key, None);
        self.bytes -= freed;
        self.revision += 1;
        self.objects.shift_remove(key);
        self.add_tombstone(key.clone());
        Ok(self.done(narrows))
    }

    fn add_tombstone(&mut self, key: Key) {
        self.deleted.insert(key, self.revision);
        if self.deleted.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some((_, revision)) = self.deleted.shift_remove_index(0) {
            self.floor = self.floor.max(revision);
        }
    }

    fn join(&mut self, member: &Member) -> Result<Answer, Answer> {
        validate::member(member).map_err(Answer::Invalid)?;
        if self.members.get(&member.instance) == Some(member) {
            return Ok(self.done(false));
        }
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&member.instance) {
            return Err(Answer::Invalid(Invalid::Full));
        }
        self.members.insert(member.instance.clone(), member.clone());
        self.revision += 1;
        Ok(self.done(false))
    }

    fn retire(&mut self, instance: &str) -> Result<Answer, Answer> {
        let Some(_) = self.members.shift_remove(instance) else {
            return Err(Answer::Invalid(Invalid::Missing(format!(
                "instance {instance}"
            ))));
        };
        self.revision += 1;
        Ok(self.done(false))
    }

    fn check_revision(&self, key: &Key, expected: Option<id::Revision>) -> Result<(), Answer> {
        let current = self.current_revision(key);
        if expected.is_some_and(|expected| expected != current) {
            return Err(Answer::Conflict { current });
        }
        Ok(())
    }

    const fn done(&self, narrows: bool) -> Answer {
        Answer::Done {
            revision: self.revision,
            narrows,
        }
    }
}
