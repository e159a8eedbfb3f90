//! The last configurations, for instances that hold one of them and need what has changed since.

use std::{collections::VecDeque, sync::Arc};

use zinniastall_model::{id, routing, state::State};
use zinniastall_wire::hub::Changes;

/// Configurations that are remembered. Who holds an older one gets the whole.
const CAPACITY: usize = 8;

/// The last configurations, oldest first. Those between which no table was published share it.
#[derive(Debug, Default)]
pub(super) struct History {
    states: VecDeque<Arc<State>>,
}

impl History {
    /// Notes a configuration. One that isn't newer than the last comes from a repaired replica, whose earlier
    /// ones may never have been committed.
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

    /// Returns an earlier configuration with a routing table; `None` where the whole of a later one is to be sent.
    pub(super) fn before(&self, held: id::Revision, later: &State) -> Option<Arc<State>> {
        let mut states = self.states.iter();
        let before = states.find(|before| before.revision == held)?;
        let is_comparable =
            later.revision > held && before.routing.is_some() && later.routing.is_some();
        is_comparable.then(|| Arc::clone(before))
    }
}

/// Returns what has changed between two configurations that both have a routing table.
pub(super) fn changes(before: &State, after: &State) -> Option<Changes> {
    let (old, new) = (before.routing.as_ref()?, after.routing.as_ref()?);
    let is_same = Arc::ptr_eq(old, new);
    let table = || routing::Changes::between(&old.table, &new.table);
    Some(Changes {
        from: before.revision,
        revision: after.revision,
        table: (!is_same).then(table),
        evacuated: after.evacuated.iter().cloned().collect(),
    })
}
