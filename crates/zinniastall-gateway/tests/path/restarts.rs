//! Targets that start again under their names with other software, before their reports arrive.

use std::{cell::Cell, rc::Rc};

use indexmap::IndexSet;
use zinniastall_gateway::view::Shared;

use crate::{
    cases,
    harness::{Action, Gateway, Target, known_target},
    versions::{ask, seen, writer, written_by},
};

/// Fields of a stream that its caller takes up.
const TAKEN_UP: &str = "Last-Event-Id: 3\r\nResumes: s\r\n";

/// Responds once, closes the connection while it is idle, and is of another version afterwards.
async fn starts_again_while_idle() -> Target {
    let is_later = Rc::new(Cell::new(false));
    Target::start(move |request| {
        if is_later.replace(true) {
            return writer("v2")(request);
        }
        vec![Action::Send(request.response("v1")), Action::Close]
    })
    .await
}

async fn goes_on_where_connections_stayed_open() {
    let stays = Target::start(writer("v1")).await;
    let targets = [stays, starts_again_while_idle().await].map(|target| {
        let known = known_target(&target.address.to_string(), target.address);
        (target, known)
    });
    // A connection to the one that stays is older than the end of those to the other.
    let board = Shared::new(seen(&targets[..1], &["v1"]));
    let gateway = Gateway::on(board.clone()).await;
    ask(&gateway, "/plans/1", "p", "").await;
    board.publish(seen(&targets, &["v1"]));
    // The second request to the other one finds that its connection has ended, and opens another.
    while targets[1].0.requests().len() < 2 {
        ask(&gateway, "/plans/1", "p", "").await;
    }
    for stream in 0..20 {
        let rest = ask(&gateway, "/resumed/1", &format!("s-{stream}"), TAKEN_UP).await;
        assert!(rest.is_complete(), "{rest:?}");
        assert_eq!(written_by(&rest.body), IndexSet::from(["v1".to_owned()]));
    }
}

cases! {
    /// Guards against a connection that ended while idle, is found by a request that begins and so is
    /// forgotten as a sign of a target that started again.
    a_connection_that_ended_while_idle_stays_a_sign => goes_on_where_connections_stayed_open(),
}
