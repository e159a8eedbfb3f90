//! Which instances callers are directed to.

use std::sync::Arc;

use zinniastall_gateway::{locate::list, policy::LoadControl, view::View};
use zinniastall_model::{
    place::Place,
    presence::Presence,
    routing::{Kind, Route, Service, Share, Table},
};
use zinniastall_wire::hub::Configuration;

const HOST: &str = "maps.example";

/// Returns a view of instances, given by region, name and readiness, and of one route for each list
/// of home regions.
fn view(instances: &[(&str, &str, bool)], homes: &[&[&str]]) -> View {
    let routes = homes.iter().enumerate().map(|(at, homes)| {
        let prefix = format!("/{at}/");
        let share = Share {
            service: "api".to_owned(),
            weight: 1,
        };
        let mut route = Route::new(&prefix, HOST, &prefix, Kind::Stream).to(share);
        route.homes = homes.iter().map(|home| (*home).to_owned()).collect();
        route
    });
    let table = Table::new(1, routes.collect(), vec![Service::new("api")]);
    let mut view = View::new("edge".to_owned(), Place::new("patras", "patras-a"));
    view.configuration = Some(Arc::new(Configuration {
        revision: 1,
        table: Some(table),
        evacuated: Vec::new(),
        versions: None,
    }));
    let presences = instances.iter().map(|(region, name, ready)| {
        let presence = Presence {
            instance: (*name).to_owned(),
            incarnation: 1,
            place: Place::new(*region, format!("{region}-a")),
            callers: (*name).to_owned(),
            forward: String::new(),
            ready: *ready,
            checks_origins: true,
            capacity: 0,
            load: Vec::new(),
        };
        ((*name).to_owned(), presence)
    });
    view.instances = Arc::new(presences.collect());
    view
}

fn located(view: &View) -> Vec<String> {
    list(view, HOST, "patras", "patras-a").addresses
}

#[test]
fn the_callers_own_region_comes_first() {
    let view = view(
        &[("patras", "p1", true), ("athens", "a1", true)],
        &[&["athens"]],
    );
    assert_eq!(located(&view), ["p1"]);
}

/// All instances of a region restart one after the other, and for a moment none of them is ready.
/// Callers are directed elsewhere, but only to home regions: any other region would see the bodies
/// of requests that may not enter it.
#[test]
fn a_region_without_ready_instances_is_replaced_by_homes_only() {
    let instances = [
        ("patras", "p1", false),
        ("athens", "a1", true),
        ("thess", "t1", true),
    ];
    let both = view(&instances, &[&["athens"], &["athens", "thess"], &[]]);
    assert_eq!(located(&both), ["a1"]);
}

/// Two routes of a host have no home region in common, and the region's last instance drains. It
/// still serves, whereas each other region is closed to one of the routes.
#[test]
fn a_draining_instance_comes_before_a_region_that_is_closed_to_some() {
    let instances = [
        ("patras", "p1", false),
        ("athens", "a1", true),
        ("thess", "t1", true),
    ];
    let apart = view(&instances, &[&["athens"], &["thess"]]);
    assert_eq!(located(&apart), ["p1"]);
}

#[test]
fn without_homes_any_region_will_do() {
    let instances = [("athens", "a1", true), ("thess", "t1", true)];
    assert_eq!(located(&view(&instances, &[&[]])), ["a1", "t1"]);
}

/// An instance that has just started learns of instances before it learns of routes and their home
/// regions. A list given then could direct callers to a region that their requests may not enter.
#[test]
fn no_instance_is_listed_before_routes_are_known() {
    let mut early = view(&[("athens", "a1", true)], &[&["patras"]]);
    early.configuration = None;
    assert!(located(&early).is_empty());
}

/// Returns a view of instances of one zone with the given capacities.
fn uneven(capacities: &[u32]) -> View {
    let names: Vec<String> = (0..capacities.len()).map(|at| format!("p{at}")).collect();
    let instances: Vec<_> = names.iter().map(|name| ("patras", &**name, true)).collect();
    let mut view = view(&instances, &[&[]]);
    let mut presences: Vec<Presence> = view.instances.by_name().values().cloned().collect();
    for (presence, capacity) in presences.iter_mut().zip(capacities) {
        presence.capacity = *capacity;
    }
    let listed = presences.into_iter();
    let listed = listed.map(|presence| (presence.instance.clone(), presence));
    view.instances = Arc::new(listed.collect());
    view
}

/// Guards against small instances that get as many connections as large ones and answer late.
#[test]
fn instances_are_listed_in_proportion_to_their_capacity() {
    let mut view = uneven(&[90, 300, 0, 2_000]);
    assert_eq!(located(&view), ["p0", "p1", "p2", "p3"]);
    view.load_control = LoadControl {
        instance_weights: true,
        ..LoadControl::default()
    };
    let listed = located(&view);
    let times = |name: &str| listed.iter().filter(|listed| *listed == name).count();
    assert_eq!(["p0", "p1", "p2", "p3"].map(times), [1, 3, 1, 4]);
}

/// A listing has at most 64 entries. Each instance is named once before any is named again.
#[test]
fn a_full_listing_names_every_instance() {
    let mut view = uneven(&[[90; 30], [300; 30]].concat());
    view.load_control.instance_weights = true;
    let listed = located(&view);
    assert_eq!(listed.len(), 64);
    let named = (0..60).filter(|at| listed.contains(&format!("p{at}")));
    assert_eq!(named.count(), 60);
}
