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

/// Longest wait for what has to happen.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Wait for what must not happen.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Takes what arrives.
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

/// A machine loses power and its disk. The others' links to it look open for seconds, since nothing closed them,
/// and the replica that starts there anew hears nothing on them: it is not taken in meanwhile, and a second
/// lost disk would end the group. Who is told of it opens the link anew, and only once for each such replica.
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
    assert!(again.is_err(), "a link that is new was opened once more");
    peers.reopen(10, &address);
    accept(&listener).await;
}

/// All replicas lose power and start again. A link to another region takes three round trips to open, and for
/// so long nobody would know what is committed and callers would be refused. The question goes by datagram,
/// which needs no link; nothing else does, since a datagram proves nothing about who sent it.
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
        panic!("another frame");
    };
    assert_eq!((frame.from, frame.to), (1, 2));
    assert_eq!(peers::Message::decode(&frame.message).unwrap(), survey);
}
