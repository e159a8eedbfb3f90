//! One connection through a proxy.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    counter::Counter,
    judge::{Judge, Watch},
    rule::{Lane, Rule, Way},
};

/// Chunks in flight in one direction; with chunks of 16 KB a delayed link keeps its throughput.
const CHUNKS: usize = 256;
/// Longest chunk.
const CHUNK: usize = 16 * 1024;
/// Pause between two looks at a caller that waits for the end of a cut.
const LOOK: Duration = Duration::from_millis(10);

/// Serves one connection until it ends or its rule breaks it.
pub(super) async fn serve(
    caller: TcpStream,
    mut judge: Judge,
    upstream: Option<SocketAddr>,
    given_up: Counter,
) {
    // An end that is dropped without an orderly end of both ways is reset, as a cut looks.
    let _ = (caller.set_zero_linger(), caller.set_nodelay(true));
    let late = judge.late().await;
    let (sender, rule) = watch::channel(judge.rule().await);
    tokio::select! {
        () = judge.run(sender) => {}
        () = connect(caller, rule, upstream, late.then_some(given_up)) => {}
    }
}

async fn connect(
    mut caller: TcpStream,
    mut rule: Watch,
    upstream: Option<SocketAddr>,
    late: Option<Counter>,
) {
    if let Some(given_up) = late
        && held(&caller, &mut rule).await == Held::GivenUp
    {
        given_up.increment();
        return;
    }
    let Some(upstream) = upstream.filter(|_| !rule.borrow().refused) else {
        return;
    };
    let Ok(mut server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (server.set_zero_linger(), server.set_nodelay(true));
    if relay(&mut caller, &mut server, &rule).await == Fate::HalfOpen {
        drop(server);
        until(&mut rule, |rule| rule.refused).await;
    }
}

/// How the wait of a connection that was dialled during a cut ended.
#[derive(Debug, PartialEq, Eq)]
enum Held {
    Passed,
    GivenUp,
}

/// Holds a connection until its way is open; until then its upstream must not even see it opened.
///
/// A caller that gives up meanwhile never had a connection; what it wrote must not arrive later.
async fn held(caller: &TcpStream, rule: &mut Watch) -> Held {
    tokio::select! {
        () = until(rule, |rule| rule.refused || !rule.up.stalled) => {}
        () = given_up(caller) => return Held::GivenUp,
    }
    if gave_up(caller) {
        return Held::GivenUp;
    }
    Held::Passed
}

async fn given_up(caller: &TcpStream) {
    while !gave_up(caller) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Asks the kernel whether the caller has closed its end.
///
/// The runtime's own readiness says so only after its next turn, and not at all while unread bytes
/// wait before the end: a connection that was healed sooner passed for one whose caller is there.
fn gave_up(caller: &TcpStream) -> bool {
    let closed = EpollEvent::new(EpollFlags::EPOLLRDHUP, 0);
    let asked = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC).and_then(|epoll| {
        epoll.add(caller, closed)?;
        epoll.wait(&mut [EpollEvent::empty()], EpollTimeout::ZERO)
    });
    asked.expect("the kernel tells the state of a connection") > 0
}

/// How a connection ended.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Ended,
    HalfOpen,
}

async fn relay(caller: &mut TcpStream, server: &mut TcpStream, rule: &Watch) -> Fate {
    let (caller_in, caller_out) = caller.split();
    let (server_in, server_out) = server.split();
    let up = pass(caller_in, server_out, rule.clone(), Way::Up);
    let down = pass(server_in, caller_out, rule.clone(), Way::Down);
    let (mut refused, mut halved) = (rule.clone(), rule.clone());
    tokio::select! {
        _ = async { tokio::try_join!(up, down) } => Fate::Ended,
        () = until(&mut refused, |rule| rule.refused) => Fate::Ended,
        () = until(&mut halved, |rule| rule.half_open) => Fate::HalfOpen,
    }
}

/// Waits until the rule of the connection is as wanted.
async fn until(rule: &mut Watch, wanted: impl Fn(&Rule) -> bool) {
    if rule.wait_for(wanted).await.is_err() {
        // The proxy is gone, which ends the connection from outside.
        std::future::pending::<()>().await;
    }
}

/// Why a direction ended before the other.
#[derive(Debug)]
struct Cut;

async fn pass(
    input: ReadHalf<'_>,
    output: WriteHalf<'_>,
    rule: Watch,
    way: Way,
) -> Result<(), Cut> {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    let reading = read(input, sender);
    let writing = write(output, receiver, rule, way);
    tokio::try_join!(reading, writing).map(drop)
}

async fn read(mut input: ReadHalf<'_>, sender: mpsc::Sender<(Instant, Bytes)>) -> Result<(), Cut> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK);
        let length = input.read_buf(&mut chunk).await.map_err(|_| Cut)?;
        if length == 0 {
            return Ok(());
        }
        let arrived = (Instant::now(), chunk.freeze());
        sender.send(arrived).await.map_err(|_| Cut)?;
    }
}

async fn write(
    mut output: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut rule: Watch,
    way: Way,
) -> Result<(), Cut> {
    let mut written = 0;
    while let Some((arrived, mut chunk)) = receiver.recv().await {
        unstalled(&mut rule, way).await;
        let now = lane(&rule, way);
        tokio::time::sleep_until(arrived + now.delay).await;
        if let Some(rate) = now.rate {
            tokio::time::sleep(time_for(chunk.len(), rate)).await;
        }
        unstalled(&mut rule, way).await;
        let left = lane(&rule, way)
            .cut_after
            .map(|limit| limit.saturating_sub(written));
        if let Some(left) = left.and_then(|left| usize::try_from(left).ok()) {
            chunk.truncate(left);
        }
        output.write_all(&chunk).await.map_err(|_| Cut)?;
        written += chunk.len() as u64;
        if left.is_some_and(|left| left <= chunk.len() as u64) {
            return Err(Cut);
        }
    }
    unstalled(&mut rule, way).await;
    output.shutdown().await.map_err(|_| Cut)
}

async fn unstalled(rule: &mut Watch, way: Way) {
    until(rule, |rule| !rule.lane(way).stalled).await;
}

fn lane(rule: &Watch, way: Way) -> Lane {
    rule.borrow().lane(way)
}

fn time_for(bytes: usize, rate: u64) -> Duration {
    Duration::from_micros(bytes as u64 * 1_000_000 / rate.max(1))
}
