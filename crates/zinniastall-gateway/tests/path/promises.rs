//! Promises of room between instances, and how requests proceed when one of the elements fails.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{net::UdpSocket, time};
use zinniastall_gateway::{
    decide::returns::promises::{Promise, State},
    metrics::Metrics,
    neighbours::{
        datagram::Datagram,
        returns::{Answer, Part, Returns},
    },
    view::{Shared, View},
};
use zinniastall_model::place::Place;

use crate::{
    cases,
    harness::{Gateway, PLACE, instance, view},
    partitions::exchange,
};

/// Time until the promises of these tests are due.
const DUE: Duration = Duration::from_secs(1);

/// Instances of one region, some of which are frozen. The one that gives promises and the one that asks
/// for them are not listed, so they hold none.
struct Region {
    view: View,
    frozen: Vec<UdpSocket>,
    giver: Returns,
    asker: Gateway,
}

impl Region {
    async fn start(live: usize, frozen: usize) -> Self {
        let mut view = view(Vec::new(), &[]);
        view.load_control.returns = true;
        let asker = Gateway::start(view.clone()).await;
        exchange(&asker).await;
        let (mut present, mut sockets) = (Vec::new(), Vec::new());
        for at in 0..live {
            let gateway = Gateway::start(view.clone()).await;
            exchange(&gateway).await;
            let name = format!("live-{at}");
            present.push(instance(&name, PLACE, &gateway.forward.to_string()));
        }
        for at in 0..frozen {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let address = socket.local_addr().unwrap().to_string();
            present.push(instance(&format!("frozen-{at}"), PLACE, &address));
            sockets.push(socket);
        }
        view.instances = Arc::new(present.into_iter().collect());
        let giver = Returns::default();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.writable().await.unwrap();
        giver.set_socket(Rc::new(socket));
        Self {
            view,
            frozen: sockets,
            giver,
            asker,
        }
    }

    fn give(&self, keys: std::ops::Range<u64>) {
        keys.for_each(|key| self.giver.give(&self.view, promise(key)));
    }

    async fn ask(&self, keys: std::ops::Range<u64>) -> Vec<State> {
        let mut states = Vec::new();
        for key in keys {
            let asked = self.asker.proxy.returns.ask(&self.view, key);
            states.push(asked.await.state);
        }
        states
    }

    /// Returns the number of questions that a frozen instance has received.
    fn questions_at(&self, frozen: usize) -> usize {
        let mut buffer = [0; 64];
        let datagrams = std::iter::from_fn(|| {
            let length = self.frozen[frozen].try_recv(&mut buffer).ok()?;
            Datagram::decode(&buffer[..length]).ok()
        });
        let is_question = |held: &Datagram| matches!(held, Datagram::ReturnQuestion { .. });
        datagrams.filter(is_question).count()
    }
}

fn promise(key: u64) -> Promise {
    Promise {
        key,
        id: 1,
        due: DUE,
        until: DUE + Duration::from_secs(1),
    }
}

/// The rejecting instance is killed, and callers return to another one: the holders have the promises,
/// which are early at first and redeemed once.
async fn the_giver_is_killed() {
    let mut region = Region::start(4, 0).await;
    region.give(0..16);
    region.giver = Returns::default();
    assert!(matches!(region.ask(0..1).await[..], [State::Early(_)]));
    time::sleep(DUE).await;
    assert_eq!(region.ask(0..16).await, [State::Due; 16]);
    assert_eq!(region.ask(0..16).await, [State::None; 16]);
}

/// Holders are frozen: the other one answers instead after some milliseconds, and is asked first from
/// then on. If both are frozen, the request is decided as a first attempt.
async fn holders_are_frozen() {
    let region = Region::start(2, 2).await;
    region.give(0..64);
    time::sleep(DUE).await;
    let since = Instant::now();
    let states = region.ask(0..64).await;
    // The two frozen instances are both holders of about a sixth of the promises.
    let due = states.iter().filter(|state| **state == State::Due).count();
    assert!((33..64).contains(&due), "{due} of 64 were found");
    let intervals = since.elapsed().as_millis() / 500 + 1;
    for frozen in 0..2 {
        let asked = region.questions_at(frozen) as u128;
        assert!((1..=intervals).contains(&asked), "{asked} in {intervals}");
    }
}

/// All instances lost power and start with nothing: callers are decided as first attempts.
async fn all_lost_power() {
    let region = Region::start(2, 0).await;
    assert_eq!(region.ask(7..8).await, [State::None]);
}

/// Another region is cut off: no promise depends on it, since its instances hold none of this region's.
async fn a_region_is_cut_off() {
    let mut region = Region::start(2, 1).await;
    region.view.place = Place::new("athens", "athens-a");
    assert_eq!(region.asker.proxy.returns.instances(&region.view), 0);
    region.give(0..16);
    assert!(region.frozen[0].try_recv(&mut [0; 64]).is_err());
    assert_eq!(region.ask(7..8).await, [State::None]);
}

cases! {
    a_promise_survives_the_instance_that_gave_it => the_giver_is_killed(),
    silent_holders_are_passed_over => holders_are_frozen(),
    an_instance_that_starts_knows_no_promise => all_lost_power(),
    promises_stay_in_their_region => a_region_is_cut_off(),
}

/// An instance without a network that receives datagrams.
struct Receiver {
    returns: Returns,
    state: Shared,
    metrics: Metrics,
}

impl Receiver {
    fn new(is_on: bool) -> Self {
        let mut view = view(Vec::new(), &[]);
        view.load_control.returns = is_on;
        let metrics = Metrics::new();
        Self {
            returns: Returns::new(metrics.clone()),
            state: Shared::new(view),
            metrics,
        }
    }

    fn receive(&self, datagram: Datagram, now: Instant) -> Option<Datagram> {
        let sender = "127.0.0.1:1".parse().unwrap();
        self.returns.receive(&self.state, sender, datagram, now)
    }
}

/// A datagram that the network repeats after the promise was redeemed doesn't bring it back.
#[test]
fn a_repeated_promise_is_redeemed_once() {
    let (receiver, now) = (Receiver::new(true), Instant::now());
    for (number, state) in [(1, Answer::Due), (2, Answer::None)] {
        receiver.receive(Datagram::ReturnPromise(promise(7).into()), now);
        let question = Datagram::ReturnQuestion { number, key: 7 };
        let answer = receiver.receive(question, now + DUE + Duration::from_millis(100));
        assert_eq!(answer, Some(Datagram::ReturnAnswer { number, state }));
    }
}

/// A faulty instance sends promises in the past, beyond the schedule and without an end: they are
/// dropped and counted.
#[test]
fn impossible_promises_are_dropped_and_counted() {
    let receiver = Receiver::new(true);
    for (due_ms, until_ms) in [(0, 500), (4_001, 4_500), (500, 60_000)] {
        let part = Part {
            due_ms,
            until_ms,
            ..promise(7).into()
        };
        receiver.receive(Datagram::ReturnPromise(part), Instant::now());
    }
    let text = receiver.metrics.text();
    assert!(
        text.contains("returns_total{event=\"invalid\"} 3"),
        "{text}"
    );
    assert!(receiver.returns.is_empty());
}

/// Guards against an instance that holds or answers anything while the schedule is off.
#[test]
fn nothing_is_held_while_the_schedule_is_off() {
    let receiver = Receiver::new(false);
    let question = Datagram::ReturnQuestion { number: 1, key: 7 };
    for datagram in [Datagram::ReturnPromise(promise(7).into()), question] {
        assert_eq!(receiver.receive(datagram, Instant::now()), None);
    }
    assert!(receiver.returns.is_empty());
}
