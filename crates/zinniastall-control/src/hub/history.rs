//! Keeps recent configurations, to compute the changes for instances that hold one of them.

use std::{collections::VecDeque, sync::Arc};

use zinniastall_model::{id, routing, state::State};
use zinniastall_wire::hub::Changes;

/// Configurations that are kept. An instance that holds an older one gets the whole configuration.
const CAPACITY: usize = 8;

/// The most recent configurations, oldest first. Configurations between which no table was
/// published share the table.
#[derive(Debug, Default)]
pub(super) struct History {
    states: VecDeque<Arc<State>>,
}

impl History {
    /// Records a configuration. One that is older than the last recorded one comes from a repaired
    /// replica whose earlier ones may never have been committed, so those are discarded.
    pub(super) fn note(&mut self, state: Arc<State>) {
        let last = self.states.back().map_or(0, |last| last.revision);
        if state.revision == last {
            return;
        }
        if state.revision < last {
            self.states.clear();
        }
        self.states.push_back(state);
        let surplus = self.states.len().saturating_sub(CAPACITY);
        self.states.drain(..surplus);
    }

    /// Returns an earlier configuration if it can be compared with a later one; `None` if the whole
    /// later one has to be sent.
    pub(super) fn before(&self, held: id::Revision, later: &State) -> Option<Arc<State>> {
        let mut states = self.states.iter();
        let before = states.find(|before| before.revision == held)?;
        let is_comparable =
            later.revision > held && before.routing.is_some() && later.routing.is_some();
        is_comparable.then(|| Arc::clone(before))
    }
}

/// Returns the changes between two configurations that both have a routing table.
pub(super) fn changes(before: &State, after: &State) -> Option<Changes> {
    let (old, new) = (before.routing.as_ref()?, after.routing.as_ref()?);
    let is_same = Arc::ptr_eq(old, new);
    let table = || routing::Changes::between(&old.table, &new.table);
    Some(Changes {
        from: before.revision,
        revision: after.revision,
        table: (!is_same).then(table),
        evacuated: after.evacuated.iter().cloned().collect(),
        versions: Some(after.versions.clone()),
    })
}
