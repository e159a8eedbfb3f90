//! Links between replicas.
#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test, as its own lines do"
)]

use std::time::Duration;

use actix::{Actor, Context, Handler};
use tokio::{
    net::{TcpListener, UdpSocket},
    time,
};
use zinniastall_control::peers::{
    self, Peers, Received, Timing,
    datagram::{Arrived, Datagrams},
};
use zinniastall_coord::replica::{self, Body};
use zinniastall_model::place::Place;
use zinniastall_wire::{
    frame::Frame,
    hello::{Hello, Purpose, VERSION},
    link::Link,
};

/// Longest wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time during which an unexpected event must not occur.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Discards incoming frames.
struct Sink;

impl Actor for Sink {
    type Context = Context<Self>;
}

impl Handler<Received> for Sink {
    type Result = ();

    fn handle(&mut self, _: Received, _: &mut Context<Self>) {}
}

impl Handler<Arrived> for Sink {
    type Result = ();

    fn handle(&mut self, _: Arrived, _: &mut Context<Self>) {}
}

fn hello() -> Hello {
    Hello {
        version: VERSION,
        purpose: Purpose::Replica,
        cluster: None,
        instance: "replica".to_owned(),
        incarnation: 1,
        place: Place::new("patras", "patras-a"),
        links: String::new(),
        service: String::new(),
    }
}

async fn accept(listener: &TcpListener) -> Link {
    let accepted = time::timeout(TIMEOUT, listener.accept()).await;
    let (stream, _) = accepted.expect("no link was opened in time").unwrap();
    Link::accept(stream, |_| Ok(hello())).await.unwrap()
}

/// A machine loses power and its disk. The other replicas' links to it look open for seconds, since
/// nothing closed them, and the replica that starts there next receives nothing on them. It would
/// not be admitted meanwhile, and the loss of a second disk would end the group. So a replica that
/// learns of the new one reopens the link, exactly once for each such replica.
#[actix::test]
async fn the_link_to_a_replaced_replica_is_reopened() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let timing = Timing {
        ping_interval: Duration::from_mins(1),
        idle_timeout: Duration::from_mins(1),
        max_backoff: Duration::from_mins(1),
    };
    let sink = Sink.start().recipient();
    let mut peers = Peers::new(1, hello(), timing, sink);
    peers.dial(&hello(), std::slice::from_ref(&address));
    let _lost = accept(&listener).await;
    peers.reopen(9, &address);
    let _reopened = accept(&listener).await;
    peers.reopen(9, &address);
    peers.dial(&hello(), std::slice::from_ref(&address));
    let again = time::timeout(QUIET_PERIOD, listener.accept()).await;
    assert!(again.is_err(), "a reopened link was opened again");
    peers.reopen(10, &address);
    accept(&listener).await;
}

/// All replicas lose power and start again. A link to another region takes three round trips to
/// open; until then no replica would know what is committed, and callers would be refused. So
/// surveys also go by datagram, which needs no link. No other message does, since a datagram does
/// not prove who sent it.
#[actix::test]
async fn surveys_are_sent_by_datagram() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let timing = Timing::new(Duration::from_millis(700));
    let sink = Sink.start();
    let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagrams = Datagrams::start(own, sink.clone().recipient());
    let peers = Peers::new(1, hello(), timing, sink.recipient()).with_datagrams(Some(datagrams));
    let log_message = |body: Body| {
        let message = replica::Message {
            cluster: [1; 16],
            to: 2,
            term: 3,
            body,
        };
        peers::Message::Log(Box::new(message))
    };
    peers.send(2, Some(&address), &log_message(Body::Transfer));
    let survey = log_message(Body::Survey { number: 7 });
    peers.send(2, Some(&address), &survey);
    let mut buffer = [0; 1_400];
    let received = time::timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (length, _) = received.expect("nothing was sent").unwrap();
    let Frame::Replica(frame) = Frame::decode(&buffer[..length]).unwrap() else {
        panic!("unexpected frame");
    };
    assert_eq!((frame.from, frame.to), (1, 2));
    assert_eq!(peers::Message::decode(&frame.message).unwrap(), survey);
}
