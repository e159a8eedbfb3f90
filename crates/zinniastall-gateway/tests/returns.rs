//! Promises of room between instances, and how requests proceed when one of the elements fails.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{net::UdpSocket, time};
use zinniastall_gateway::{
    decide::{
        quota::{self, Quotas},
        returns::promises::{Promise, State},
    },
    metrics::Metrics,
    neighbours::{
        self, Context,
        datagram::Datagram,
        returns::{Part, Returns},
    },
    view::{Shared, View},
};
use zinniastall_model::{place::Place, presence::Presence};

const TIMEOUT: Duration = Duration::from_secs(20);
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Time until the promises of these tests are due: the least time that a promise may have.
const DUE: Duration = Duration::from_millis(250);

/// Instances of one region, and one of another region, that exchange promises over UDP sockets.
struct Region {
    view: View,
    returns: Vec<Rc<Returns>>,
    metrics: Vec<Metrics>,
    sockets: Vec<Rc<UdpSocket>>,
}

impl Region {
    /// Binds a socket for each instance; those that `are_alive` serve it.
    async fn start(is_on: bool, are_alive: impl Fn(&str) -> bool) -> Self {
        let place = Place::new("patras", "patras-a");
        let (mut sockets, mut present) = (Vec::new(), Vec::new());
        for name in NAMES.into_iter().chain(["far"]) {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
            let presence = Presence {
                instance: name.to_owned(),
                incarnation: 1,
                place: if name == "far" {
                    Place::new("athens", "athens-a")
                } else {
                    place.clone()
                },
                callers: String::new(),
                forward: socket.local_addr().expect("bound").to_string(),
                ready: true,
                checks_origins: true,
                capacity: 0,
                load: Vec::new(),
            };
            present.push((name.to_owned(), presence));
            sockets.push(Rc::new(socket));
        }
        let mut view = View::new(String::new(), place);
        view.instances = Arc::new(present.into_iter().collect());
        view.load_control.returns = is_on;
        let (mut returns, mut metrics) = (Vec::new(), Vec::new());
        for (name, socket) in NAMES.iter().zip(&sockets) {
            let counted = Metrics::new();
            let own = Rc::new(Returns::new(counted.clone()));
            own.set_socket(Rc::clone(socket));
            returns.push(Rc::clone(&own));
            metrics.push(counted);
            if are_alive(name) {
                let mut view = view.clone();
                (*name).clone_into(&mut view.instance);
                let context = Context {
                    state: Shared::new(view),
                    tracker: Rc::default(),
                    neighbours: Rc::default(),
                    claims: Rc::default(),
                    rates: Rc::default(),
                    reach: Rc::default(),
                    origins: Rc::default(),
                    returns: own,
                    quotas: Rc::new(Quotas::new(quota::Bound::default()).into()),
                    suspects: Rc::default(),
                    permits: Rc::default(),
                    news: Rc::default(),
                };
                actix::spawn(neighbours::run(Rc::clone(socket), context));
            }
        }
        // The runtime reports the sockets as writable when it first polls them.
        time::sleep(Duration::from_millis(20)).await;
        Self {
            view,
            returns,
            metrics,
            sockets,
        }
    }

    fn view_of(&self, instance: usize) -> View {
        let mut view = self.view.clone();
        NAMES[instance].clone_into(&mut view.instance);
        view
    }

    /// Gives a promise by the instance at an index.
    fn give(&self, by: usize, key: u64) {
        self.returns[by].give(&self.view_of(by), promise(key));
    }

    /// Gives promises until one has the two holders; returns its request.
    async fn held_by(&self, by: usize, holders: [usize; 2]) -> u64 {
        for key in 0.. {
            let before = self.held();
            self.give(by, key);
            while self.held().iter().sum::<usize>() < before.iter().sum::<usize>() + 2 {
                time::sleep(Duration::from_millis(1)).await;
            }
            let after = self.held();
            if holders.iter().all(|at| after[*at] > before[*at]) {
                return key;
            }
        }
        unreachable!("an endless range")
    }

    /// Returns the number of promises that each instance holds.
    fn held(&self) -> Vec<usize> {
        self.returns.iter().map(|held| held.len()).collect()
    }

    /// Returns the number of questions that an instance which doesn't run has received.
    fn questions_at(&self, instance: usize) -> usize {
        let mut buffer = [0; 64];
        let datagrams = std::iter::from_fn(|| {
            let length = self.sockets[instance].try_recv(&mut buffer).ok()?;
            Datagram::decode(&buffer[..length]).ok()
        });
        let is_question = |held: &Datagram| matches!(held, Datagram::ReturnQuestion { .. });
        datagrams.filter(is_question).count()
    }

    async fn ask(&self, by: usize, key: u64) -> State {
        let view = self.view_of(by);
        self.returns[by].ask(&view, key).await.state
    }

    /// Sends a datagram to an instance as the one of another region.
    async fn send(&self, to: usize, datagram: &Datagram) {
        let address = self.sockets[to].local_addr().expect("bound");
        let bytes = datagram.encode().expect("short");
        let sent = self.sockets[NAMES.len()].send_to(&bytes, address).await;
        sent.expect("sent");
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

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        time::timeout(TIMEOUT, test).await.expect("test timed out");
    });
}

/// The rejecting instance is killed, and the caller returns to another one: the holders have the
/// promise, which is early at first and is redeemed once. No instance of another region holds it.
#[test]
fn a_promise_survives_the_instance_that_gave_it() {
    run(async {
        // The giver serves nothing, so it isn't asked.
        let region = Region::start(true, |name| name != "a").await;
        let key = region.held_by(0, [1, 2]).await;
        assert!(matches!(region.ask(3, key).await, State::Early(_)));
        time::sleep(DUE).await;
        assert_eq!(region.ask(3, key).await, State::Due);
        assert_eq!(region.ask(2, key + 1_000_000).await, State::None);
        let far = region.sockets[NAMES.len()].try_recv(&mut [0; 64]);
        assert!(far.is_err(), "a promise left its region");
    });
}

/// A holder is frozen: the other one answers instead after some milliseconds, and is asked first from
/// then on. If both are frozen, the request is decided as a first attempt.
#[test]
fn silent_holders_are_passed_over() {
    run(async {
        let region = Region::start(true, |name| name == "a" || name == "b").await;
        for key in 0..64 {
            region.give(0, key);
        }
        // The frozen instances c and d are both holders of about a sixth of the promises.
        time::sleep(DUE).await;
        let since = Instant::now();
        let mut states = Vec::new();
        for key in 0..64 {
            states.push(region.ask(1, key).await);
        }
        let due = states.iter().filter(|state| **state == State::Due).count();
        assert!((33..64).contains(&due), "{due} of 64 were found");
        let intervals = since.elapsed().as_millis() / 500 + 1;
        for frozen in [2, 3] {
            let asked = region.questions_at(frozen) as u128;
            assert!(asked <= intervals, "{asked} questions in {intervals}");
        }
    });
}

/// A datagram that the network repeats after the promise was redeemed doesn't bring it back.
#[test]
fn a_repeated_promise_is_redeemed_once() {
    run(async {
        let region = Region::start(true, |_| true).await;
        let key = region.held_by(0, [1, 2]).await;
        time::sleep(DUE).await;
        assert_eq!(region.ask(3, key).await, State::Due);
        let again = Datagram::ReturnPromise(promise(key).into());
        for holder in [1, 2] {
            region.send(holder, &again).await;
        }
        time::sleep(DUE).await;
        // The first holder redeemed it and is asked again; the second is asked only if it is silent.
        assert_eq!(region.ask(3, key).await, State::None);
    });
}

/// All instances lost power and start with nothing: callers are decided as first attempts.
#[test]
fn an_instance_that_starts_knows_no_promise() {
    run(async {
        let region = Region::start(true, |_| true).await;
        assert_eq!(region.ask(0, 7).await, State::None);
    });
}

/// A faulty instance sends promises in the past and beyond the schedule: they are dropped and counted.
#[test]
fn impossible_promises_are_dropped_and_counted() {
    run(async {
        let region = Region::start(true, |_| true).await;
        for (due_ms, until_ms) in [(0, 500), (4_001, 4_500), (500, 60_000)] {
            let part = Part {
                key: 7,
                id: 1,
                due_ms,
                until_ms,
            };
            region.send(0, &Datagram::ReturnPromise(part)).await;
        }
        let counted = || region.metrics[0].text();
        while !counted().contains("returns_total{event=\"invalid\"} 3") {
            time::sleep(Duration::from_millis(5)).await;
        }
        assert!(region.returns[0].is_empty());
    });
}

/// Guards against an instance that holds or answers anything while the schedule is off.
#[test]
fn nothing_is_held_while_the_schedule_is_off() {
    run(async {
        let region = Region::start(false, |_| true).await;
        region
            .send(0, &Datagram::ReturnPromise(promise(7).into()))
            .await;
        let question = Datagram::ReturnQuestion { number: 1, key: 7 };
        region.send(0, &question).await;
        // An answer to another question shows that both were received.
        let claim = Datagram::Claim {
            number: 2,
            target: 1,
            reading_ms: 1,
        };
        region.send(0, &claim).await;
        let mut buffer = [0; 64];
        let received = region.sockets[NAMES.len()].recv(&mut buffer).await;
        let answer = Datagram::decode(&buffer[..received.expect("received")]);
        assert!(matches!(answer, Ok(Datagram::Claimed { .. })));
        assert!(region.returns[0].is_empty());
    });
}
