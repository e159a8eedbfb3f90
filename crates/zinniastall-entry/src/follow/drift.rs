//! Configuration drift: targets of the zone that don't hold what the configuration says.

use zinniastall_model::{
    object::Subject,
    order::{Holding, Order, Version},
    state::State,
};
use zinniastall_wire::{follow::Drift, gossip};

use crate::view::View;

/// Maximum number of targets per report; the others are reported once these are corrected.
const MAX_REPORTED: usize = 64;

/// Returns the targets that announce something else than the configuration says.
pub(super) fn find(state: &State, view: &View) -> Vec<Drift> {
    let drifted = view.targets.values().filter_map(|target| {
        let report = &target.report;
        if !is_engine(report) {
            return None;
        }
        let order = Order::for_target(state, &report.place, &report.target)?;
        let holding = holding(report);
        (!order.matches(&holding)).then(|| Drift {
            target: report.target.clone(),
            incarnation: report.incarnation,
            place: report.place.clone(),
            address: report.address.clone(),
            kind: report.kind.clone(),
            holding,
        })
    });
    drifted.take(MAX_REPORTED).collect()
}

/// Returns whether a target is a model engine; plain services take no orders.
fn is_engine(report: &gossip::Target) -> bool {
    let is_service = |serving: &gossip::Serving| matches!(serving.subject, Subject::Service(_));
    report.serves.is_empty() || !report.serves.iter().all(is_service)
}

fn holding(report: &gossip::Target) -> Holding {
    let version = |serving: &gossip::Serving| match &serving.subject {
        Subject::Model(id) => Some(Version {
            id: id.clone(),
            version: serving.version.clone(),
        }),
        Subject::Service(_) => None,
    };
    let mut adapters: Vec<String> = report
        .serves
        .iter()
        .flat_map(|serving| serving.adapters.clone())
        .collect();
    adapters.sort_unstable();
    adapters.dedup();
    Holding {
        role: report.role.clone(),
        models: report.serves.iter().filter_map(version).collect(),
        adapters,
    }
}
