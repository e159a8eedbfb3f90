//! Replicated configuration state.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use zinniastall_coord::{
    origin::{Stage, Versions},
    quarantine::{CRASH_LIMIT, Judgement, Suspicion},
};

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

/// Maximum number of tombstones; see [`State::floor`].
const MAX_TOMBSTONES: usize = 4096;
/// Maximum number of entry instances.
const MAX_MEMBERS: usize = 4096;
/// Maximum size of all objects, so that a whole state always fits into one frame.
const MAX_OBJECTS_BYTES: usize = 2 << 20;
/// Maximum size of a published routing table, so that it fits into one frame with all objects.
const MAX_PUBLICATION_BYTES: usize = 1 << 20;
/// Maximum number of evacuated zones.
const MAX_EVACUATED_ZONES: usize = 1024;

/// Maximum number of services whose software versions are kept; no streams begin at further ones.
const MAX_VERSIONED_SERVICES: usize = 4096;

/// Maximum number of requests kept as quarantined or released. Each of them has crashed three
/// targets.
const MAX_SUSPECTS: usize = 1024;

/// An object and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision of its last change.
    pub revision: id::Revision,
    /// The object, shared so that publishing a new state copies no objects.
    pub object: Arc<Object>,
}

/// Complete configuration.
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
    /// Number of changes that led to this state.
    pub revision: id::Revision,
    /// Objects by key.
    #[serde(with = "indexmap::map::serde_seq")]
    pub objects: IndexMap<Key, Record>,
    /// Entry instances that may serve requests.
    pub members: IndexMap<id::Instance, Member>,
    /// Tombstones: revisions at which objects were deleted, oldest first.
    #[serde(with = "indexmap::map::serde_seq")]
    pub deleted: IndexMap<Key, id::Revision>,
    /// Highest revision that has been evicted from [`State::deleted`].
    ///
    /// An absent object without a tombstone has this revision. Otherwise a resent creation whose
    /// command id has been evicted could find the deleted object absent and create it a second
    /// time.
    pub floor: id::Revision,
    /// Approximate size of the objects, in bytes.
    pub bytes: usize,
    /// Routing table in force, shared so that publishing a new state copies no routes.
    #[serde(default)]
    pub routing: Option<Arc<Publication>>,
    /// Evacuated availability zones, whose targets get no new requests.
    #[serde(default)]
    pub evacuated: IndexSet<id::Zone>,
    /// Quarantined and released requests by fingerprint, the most recently changed last.
    #[serde(default, with = "indexmap::map::serde_seq")]
    pub suspects: IndexMap<Fingerprint, Suspicion>,
    /// Revision of the last change of [`State::suspects`].
    #[serde(default)]
    pub suspected: id::Revision,
    /// Software versions by service, shared so that publishing a new state copies none.
    #[serde(default)]
    pub versions: IndexMap<id::Service, Arc<Versions>>,
}

impl State {
    /// Applies a committed change.
    ///
    /// Only a change that is answered by [`Answer::Done`] can alter the state and raise its
    /// revision. A change without an effect, such as the join of a member with the same addresses,
    /// leaves both as they are.
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
            Body::Versions(versions) => Ok(self.advance(versions)),
        };
        result.unwrap_or_else(|rejected| rejected)
    }

    /// Returns the revision against which the expected revision of a change is checked.
    ///
    /// It is the revision of the object's last change, including its deletion, and [`State::floor`]
    /// for an absent object without a tombstone.
    pub fn current_revision(&self, key: &Key) -> id::Revision {
        if let Some(record) = self.objects.get(key) {
            return record.revision;
        }
        self.deleted.get(key).copied().unwrap_or(self.floor)
    }

    /// Returns the number of the routing table in force, or 0 if there is none.
    pub fn routing_number(&self) -> Number {
        self.routing
            .as_ref()
            .map_or(0, |publication| publication.table.number)
    }

    /// Tells whether the routing table in force has at least this number, so that a table with this
    /// number would not replace it.
    pub fn has_routing_at_least(&self, number: Number) -> bool {
        self.routing.is_some() && self.routing_number() >= number
    }

    /// Returns the state without the source document of the routing table, which entry instances
    /// don't need.
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

    /// Returns the quarantined requests and parts of prompts, which are no longer run.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        let held = self.suspects.iter();
        let judgement = Judgement::new(held.map(|(suspect, held)| (*suspect, held)), &[]);
        let suspects = self.suspects.keys().copied();
        suspects.filter(move |suspect| judgement.is_quarantined(*suspect))
    }

    /// Tells whether a suspicion must be added to the state.
    ///
    /// That is the case if it quarantines a request that the state doesn't hold, or adds to what
    /// the state holds about a request, such as its release.
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

    /// Returns whether the state doesn't know a software version of a service.
    pub fn lacks_version(&self, service: &str, version: &str) -> bool {
        let held = self.versions.get(service);
        held.is_none_or(|held| !held.has(Some(version)))
    }

    fn advance(&mut self, versions: &[(id::Service, id::Version, Stage)]) -> Answer {
        let mut has_changed = false;
        for (service, version, stage) in versions {
            if !self.versions.contains_key(service) && self.versions.len() >= MAX_VERSIONED_SERVICES
            {
                continue;
            }
            let held = self.versions.entry(service.clone()).or_default();
            has_changed |= Arc::make_mut(held).advance(version, *stage);
        }
        self.revision += u64::from(has_changed);
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
