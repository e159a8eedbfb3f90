//! Selects the instance that coordinates the requests to a target.
//!
//! Every instance of the region derives it from the list of instances by rendezvous hashing, without
//! communication. While lists differ, two instances may both be asked.

use zinniastall_coord::rendezvous::choose;
use zinniastall_model::{id, presence::Presence};

use crate::view::View;

/// Returns the coordinator of a target among the ready instances of the view's region; among all of
/// them if none is ready.
pub fn of<'a>(view: &'a View, target: &str) -> Option<&'a id::Instance> {
    among(view, target, |_| true)
}

/// Returns the coordinator of a target if an instance is left out.
pub fn without<'a>(view: &'a View, target: &str, left_out: &str) -> Option<&'a id::Instance> {
    among(view, target, |instance| instance != left_out)
}

fn among<'a>(
    view: &'a View,
    target: &str,
    includes: impl Fn(&str) -> bool,
) -> Option<&'a id::Instance> {
    let region = &view.place.region;
    let name = |held: &'a Presence| &held.instance;
    let is_member = |instance: &&id::Instance| includes(instance);
    let ready = view.instances.ready_in(region).map(name).filter(is_member);
    let all = || view.instances.in_region(region).map(name).filter(is_member);
    choose(target, ready).or_else(|| choose(target, all()))
}
