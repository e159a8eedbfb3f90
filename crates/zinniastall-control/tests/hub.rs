//! What a replica passes on to gateway instances, and how often.
#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test, as its own lines do"
)]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{SinkExt, StreamExt};
use tokio::{net::TcpListener, sync::watch, time};
use zinniastall_control::hub::Hub;
use zinniastall_model::{
    place::Place,
    presence::{Load, Presence},
    state::State as Configuration,
    target::{Report, State},
};
use zinniastall_wire::{
    feed::Feed,
    frame::Frame,
    hello::{Hello, Purpose, VERSION},
    hub::Message,
    link::{Link, Receiver, Sender},
};

const LONGEST: Duration = Duration::from_secs(20);

fn hello(instance: &str) -> Hello {
    Hello {
        version: VERSION,
        purpose: Purpose::Hub,
        cluster: None,
        instance: instance.to_owned(),
        incarnation: 1,
        place: Place::new("patras", "patras-a"),
        links: String::new(),
        service: String::new(),
    }
}

/// A replica's hub, and a way to link with it.
struct Bench {
    hub: Hub,
    listener: TcpListener,
    _feed: watch::Sender<Feed>,
}

impl Bench {
    async fn start() -> Self {
        let (feed, news) = watch::channel(Feed::new(Arc::new(Configuration::default()), 8));
        let hub = Hub::new(news);
        actix::spawn(hub.clone().run());
        Self {
            hub,
            listener: TcpListener::bind("127.0.0.1:0").await.unwrap(),
            _feed: feed,
        }
    }

    /// Links a gateway instance with the hub.
    async fn link(&self, instance: &str) -> (Sender, Receiver) {
        let address = self.listener.local_addr().unwrap().to_string();
        let dial = Link::dial(&address, hello(instance));
        let accept = async {
            let (stream, _) = self.listener.accept().await.unwrap();
            Link::accept(stream, |peer| Ok(peer.clone())).await.unwrap()
        };
        let (dialled, accepted) = tokio::join!(dial, accept);
        actix::spawn(self.hub.clone().serve(accepted));
        dialled.unwrap().split()
    }
}

/// Collects what a link says for a time, and keeps it open by the instance's word.
async fn heard(link: &mut (Sender, Receiver), own: &[Presence], time: Duration) -> Vec<Message> {
    let (sender, receiver) = link;
    let until = Instant::now() + time;
    let mut heard = Vec::new();
    let mut number = 0;
    let mut present = time::interval(Duration::from_millis(200));
    while Instant::now() < until {
        tokio::select! {
            frame = receiver.next() => match frame {
                Some(Ok(Frame::Hub(message))) => heard.push(message),
                other => panic!("{other:?}"),
            },
            _ = present.tick() => {
                let presence = own[number % own.len()].clone();
                number += 1;
                sender.send(Frame::Hub(Message::Present(presence))).await.unwrap();
            }
        }
    }
    heard
}

fn presence(flights: u32) -> Presence {
    Presence {
        instance: "edge-1".to_owned(),
        incarnation: 1,
        place: Place::new("patras", "patras-a"),
        callers: "c".to_owned(),
        forward: "f".to_owned(),
        ready: true,
        load: vec![Load {
            service: "api".to_owned(),
            flights,
            reading_us: 10,
        }],
    }
}

fn report(sequence: u64, state: State) -> Report {
    Report {
        target: "t".to_owned(),
        incarnation: 1,
        sequence,
        service: "api".to_owned(),
        address: "a".to_owned(),
        place: Place::new("patras", "patras-a"),
        slots: 4,
        state,
        cold_ms: 0,
        left_ms: None,
        age_ms: 0,
    }
}

fn reports(heard: &[Message]) -> Vec<State> {
    let reports = heard.iter().filter_map(|message| match message {
        Message::Targets(reports) => Some(reports.iter().map(|report| report.state)),
        _ => None,
    });
    reports.flatten().collect()
}

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        time::timeout(LONGEST, test).await.expect("the test hangs");
    });
}

/// Heartbeats that say nothing new are kept back for three seconds; the first word of an end is passed on
/// at once.
#[test]
fn only_what_is_new_of_a_target_is_passed_on_at_once() {
    run(async {
        let bench = Bench::start().await;
        let mut link = bench.link("edge-1").await;
        let own = [presence(1)];
        heard(&mut link, &own, Duration::from_millis(300)).await;
        for sequence in 1..=8 {
            bench.hub.note(report(sequence, State::Ready));
        }
        let first = heard(&mut link, &own, Duration::from_millis(500)).await;
        assert_eq!(reports(&first), [State::Ready]);
        bench.hub.note(report(9, State::Ready));
        let same = heard(&mut link, &own, Duration::from_millis(500)).await;
        assert!(reports(&same).is_empty(), "{same:?}");
        bench.hub.note(report(10, State::Draining));
        let end = heard(&mut link, &own, Duration::from_millis(500)).await;
        assert_eq!(reports(&end), [State::Draining]);
        bench.hub.leave("t");
        let gone = heard(&mut link, &own, Duration::from_millis(500)).await;
        assert_eq!(reports(&gone), [State::Gone]);
    });
}

/// An instance's load changes all the time. Told to everybody with the list of all instances, it would be
/// most of what links of a hundred instances carry; the sum of its region is told three times a second.
#[test]
fn load_is_told_as_a_sum_and_not_with_the_list() {
    run(async {
        let bench = Bench::start().await;
        let mut link = bench.link("edge-1").await;
        let own: Vec<Presence> = (1..=40).map(presence).collect();
        let heard = heard(&mut link, &own, Duration::from_millis(2_600)).await;
        let lists = heard.iter().filter(|message| match message {
            Message::Instances(instances) => !instances.is_empty(),
            _ => false,
        });
        assert_eq!(lists.count(), 1, "the list was told again for its load");
        let loads = heard.iter().filter_map(|message| match message {
            Message::Loads(loads) => loads.first(),
            _ => None,
        });
        let loads: Vec<u32> = loads.map(|held| held.load.flights).collect();
        assert!((5..=10).contains(&loads.len()), "{loads:?}");
        assert!(loads.windows(2).all(|two| two[0] <= two[1]), "{loads:?}");
    });
}

/// An instance's link breaks. The others are told that it is gone, and those that come later never hear
/// of it.
#[test]
fn a_lost_link_takes_its_instance_off_the_list() {
    run(async {
        let bench = Bench::start().await;
        let mut first = bench.link("edge-1").await;
        heard(&mut first, &[presence(1)], Duration::from_millis(300)).await;
        assert_eq!(bench.hub.instances().len(), 1);
        drop(first);
        let since = Instant::now();
        while !bench.hub.instances().is_empty() {
            assert!(since.elapsed() < LONGEST);
            time::sleep(Duration::from_millis(10)).await;
        }
    });
}
