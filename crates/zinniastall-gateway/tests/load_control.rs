//! Which parts of load control are switched on.

use zinniastall_gateway::policy::{LoadControl, Policy, Switches, UnknownPart};

#[test]
fn all_parts_are_off_by_default() {
    let switches = Policy::default().load_control;
    assert_eq!(switches.effective(false), LoadControl::default());
    assert_eq!(switches.effective(true), LoadControl::default());
}

#[test]
fn parts_are_named_on_the_command_line() {
    let text = "returns,overflow,capacity,division,fair-shares,urgent-room,instance-weights";
    let on: LoadControl = text.parse().unwrap();
    assert_eq!(on.to_string(), text);
    let one: LoadControl = "capacity".parse().unwrap();
    assert!(one.capacity && !one.returns && !one.division);
}

/// Guards against a misspelt part that stays off unnoticed; all errors are told at once.
#[test]
fn unknown_parts_are_refused_together() {
    let unknown = "retunrs,capacity,fair_shares".parse::<LoadControl>();
    let expected = UnknownPart(vec!["retunrs".to_owned(), "fair_shares".to_owned()]);
    assert_eq!(unknown, Err(expected));
}

#[test]
fn uneven_capacities_add_parts() {
    let switches = Switches {
        always: "returns".parse().unwrap(),
        if_uneven: "division".parse().unwrap(),
    };
    assert_eq!(switches.effective(false).to_string(), "returns");
    assert_eq!(switches.effective(true).to_string(), "returns,division");
}
