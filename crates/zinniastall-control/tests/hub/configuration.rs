//! How the configuration and the group's confirmations reach gateway instances.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, Context, Handler, MessageResult};
use futures_util::SinkExt;
use tokio::sync::oneshot;
use zinniastall_control::control::ReadIndex;
use zinniastall_model::{
    change::{Body, Change},
    routing::{Account, Kind, Publication, Route, Service, Share, Table},
    state::State,
};
use zinniastall_wire::{
    frame::Frame,
    hub::{Configuration, Message},
};

use super::{Fixture, collect, presence, run};

const COLLECT_TIME: Duration = Duration::from_millis(300);

fn table(number: u64, routes: u64) -> Table {
    let route = |at: u64| {
        Route::new(
            &format!("r{at}"),
            "maps.example",
            &format!("/r{at}/"),
            Kind::Once,
        )
        .to(Share {
            service: "api".to_owned(),
            weight: 1,
        })
    };
    let mut routes: Vec<Route> = (0..routes).map(route).collect();
    routes[0].timeout_ms = number;
    let accounts = vec![Account::new("studio").key("k")];
    Table::new(number, routes, vec![Service::new("api")]).accounts(accounts)
}

fn change(body: Body) -> Change {
    Change {
        origin: None,
        expected: None,
        body,
    }
}

fn publish(number: u64) -> Change {
    change(Body::Publish(Box::new(Publication {
        table: table(number, 1_800),
        document: None,
    })))
}

impl Fixture {
    /// Applies a change, as the group does once it is accepted.
    fn apply(&self, change: &Change) -> Arc<State> {
        let mut state = State::clone(self.feed.borrow().state());
        state.apply(change);
        let state = Arc::new(state);
        self.feed
            .send_modify(|feed| feed.set_state(Arc::clone(&state)));
        state
    }
}

/// Returns the configuration that an instance holds after these messages.
fn held(before: Option<Configuration>, heard: Vec<Message>) -> Option<Configuration> {
    heard
        .into_iter()
        .fold(before, |held, message| match message {
            Message::Configuration(whole) => Some(*whole),
            Message::Changes(changes) => changes.apply(&held.expect("something to change")),
            _ => held,
        })
}

fn size(heard: &[Message]) -> usize {
    let tells =
        |message: &&Message| matches!(message, Message::Configuration(_) | Message::Changes(_));
    let frames = heard.iter().filter(tells).cloned().map(Frame::Hub);
    frames.map(|frame| frame.encode().unwrap().len()).sum()
}

/// Guards against sending a large table again for each change of one route, which would fill the
/// links.
#[test]
fn a_change_of_one_route_is_sent_as_a_delta() {
    run(async {
        let fixture = Fixture::start().await;
        let mut link = fixture.link("edge-1").await;
        let own = [presence(1)];
        let first = fixture.apply(&publish(7));
        link.0.send(Frame::Hub(Message::Fetch(0))).await.unwrap();
        let whole = collect(&mut link, &own, COLLECT_TIME).await;
        assert!(size(&whole) > 100_000, "{}", size(&whole));
        let known = held(None, whole);
        let evacuate = change(Body::Evacuate("patras-a".to_owned()));
        for change in [publish(8), evacuate, publish(9)] {
            fixture.apply(&change);
            collect(&mut link, &own, COLLECT_TIME).await;
        }
        let fetch = Frame::Hub(Message::Fetch(first.revision));
        link.0.send(fetch).await.unwrap();
        let changes = collect(&mut link, &own, COLLECT_TIME).await;
        assert!(size(&changes) < 1_000, "{}", size(&changes));
        let known = held(known, changes).unwrap();
        assert_eq!(known.revision, first.revision + 3);
        assert_eq!(known.evacuated, ["patras-a"]);
        assert_eq!(known.table.unwrap(), table(9, 1_800));
    });
}

/// Guards against sending changes to an instance that holds another configuration than the replica
/// assumes.
#[test]
fn an_unknown_revision_gets_the_whole_configuration() {
    run(async {
        let fixture = Fixture::start().await;
        let mut link = fixture.link("edge-1").await;
        fixture.apply(&publish(7));
        collect(&mut link, &[presence(1)], COLLECT_TIME).await;
        link.0.send(Frame::Hub(Message::Fetch(99))).await.unwrap();
        let whole = collect(&mut link, &[presence(1)], COLLECT_TIME).await;
        assert!(
            whole
                .iter()
                .any(|message| matches!(message, Message::Configuration(_)))
        );
    });
}

/// A control group whose answers the test sets.
struct Group {
    revision: Rc<Cell<Option<u64>>>,
    asked: Rc<Cell<u32>>,
}

impl Actor for Group {
    type Context = Context<Self>;
}

impl Handler<ReadIndex> for Group {
    type Result = MessageResult<ReadIndex>;

    fn handle(&mut self, _: ReadIndex, _: &mut Self::Context) -> Self::Result {
        self.asked.set(self.asked.get() + 1);
        let (reply, deferred) = oneshot::channel();
        if let Some(revision) = self.revision.get() {
            let _ = reply.send(revision);
        }
        MessageResult(deferred)
    }
}

fn answers(heard: &[Message]) -> Vec<(u64, u64)> {
    let answers = heard.iter().filter_map(|message| match message {
        Message::ReadIndexAnswer { stamp, revision } => Some((*stamp, *revision)),
        _ => None,
    });
    answers.collect()
}

/// Guards against leases that are never renewed after a time without a leader, during which
/// questions piled up.
#[test]
fn a_recovered_group_answers_the_newest_question() {
    run(async {
        let fixture = Fixture::start().await;
        let (revision, asked) = (Rc::new(Cell::new(None)), Rc::new(Cell::new(0)));
        let group = Group {
            revision: Rc::clone(&revision),
            asked,
        };
        actix::spawn(fixture.hub.clone().read_index(group.start().recipient()));
        let mut link = fixture.link("edge-1").await;
        for stamp in 1..=9 {
            let question = Frame::Hub(Message::ReadIndex(stamp));
            link.0.send(question).await.unwrap();
        }
        let own = [presence(1)];
        assert!(answers(&collect(&mut link, &own, COLLECT_TIME).await).is_empty());
        revision.set(Some(5));
        let answered = collect(&mut link, &own, COLLECT_TIME).await;
        assert_eq!(answers(&answered), [(9, 5)]);
    });
}

/// Guards against asking the group once for each instance, and against an answer without a
/// majority.
#[test]
fn one_question_to_the_group_answers_all_instances() {
    run(async {
        let fixture = Fixture::start().await;
        let (revision, asked) = (Rc::new(Cell::new(None)), Rc::new(Cell::new(0)));
        let group = Group {
            revision: Rc::clone(&revision),
            asked: Rc::clone(&asked),
        };
        actix::spawn(fixture.hub.clone().read_index(group.start().recipient()));
        let mut links = Vec::new();
        for number in 0..4 {
            let mut link = fixture.link(&format!("edge-{number}")).await;
            let question = Frame::Hub(Message::ReadIndex(100 + number));
            link.0.send(question).await.unwrap();
            links.push(link);
        }
        let own = [presence(1)];
        let heard_first = collect(&mut links[0], &own, COLLECT_TIME).await;
        assert!(
            answers(&heard_first).is_empty(),
            "answered without a majority"
        );
        revision.set(Some(5));
        asked.set(0);
        let again = Frame::Hub(Message::ReadIndex(200));
        links[3].0.send(again).await.unwrap();
        for (number, link) in (0..).zip(&mut links) {
            let stamp = if number == 3 { 200 } else { 100 + number };
            let heard = collect(link, &own, COLLECT_TIME).await;
            assert_eq!(answers(&heard), [(stamp, 5)]);
        }
        assert!(
            asked.get() <= 2,
            "asked {} times for five questions",
            asked.get()
        );
    });
}
