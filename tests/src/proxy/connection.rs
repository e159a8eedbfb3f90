//! One connection through a proxy.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
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
    Rules,
    rule::{Lane, Rule, Way},
};

/// Chunks in flight in one direction; with chunks of 16 KB a delayed link keeps its throughput.
const CHUNKS: usize = 256;
/// Longest chunk.
const CHUNK: usize = 16 * 1024;

/// The rule of one connection, as it changes.
#[derive(Debug, Clone)]
pub(super) struct Watch {
    pub(super) rules: watch::Receiver<Rules>,
    pub(super) caller: Option<String>,
}

impl Watch {
    fn rule(&self) -> Rule {
        self.rules.borrow().rule(self.caller.as_deref())
    }

    fn lane(&self, way: Way) -> Lane {
        let rule = self.rule();
        if way == Way::Up { rule.up } else { rule.down }
    }

    async fn until(&mut self, wanted: impl Fn(&Rule) -> bool) {
        let caller = self.caller.clone();
        let wanted = |rules: &Rules| wanted(&rules.rule(caller.as_deref()));
        if self.rules.wait_for(wanted).await.is_err() {
            // The proxy is gone, and with it every change of its rules.
            std::future::pending::<()>().await;
        }
    }
}

/// Serves one connection until it ends or its rule breaks it.
pub(super) async fn serve(mut caller: TcpStream, mut watch: Watch, upstream: Option<SocketAddr>) {
    // An end that is dropped without an orderly end of both ways is reset, as a cut looks.
    let _ = (caller.set_zero_linger(), caller.set_nodelay(true));
    let epoch = watch.rules.borrow().epoch;
    // Until a stalled connection may pass, its upstream must not even see it opened.
    watch.until(|rule| rule.refused || !rule.up.stalled).await;
    let Some(upstream) = upstream.filter(|_| !watch.rule().refused) else {
        return;
    };
    let Ok(mut server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (server.set_zero_linger(), server.set_nodelay(true));
    if relay(&mut caller, &mut server, &watch, epoch).await == Fate::HalfOpen {
        drop(server);
        ended(&watch, epoch).await;
    }
}

/// How a connection ended.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Ended,
    HalfOpen,
}

async fn relay(caller: &mut TcpStream, server: &mut TcpStream, watch: &Watch, epoch: u64) -> Fate {
    let (caller_in, caller_out) = caller.split();
    let (server_in, server_out) = server.split();
    let up = pass(caller_in, server_out, watch.clone(), Way::Up);
    let down = pass(server_in, caller_out, watch.clone(), Way::Down);
    let mut halves = watch.clone();
    tokio::select! {
        _ = async { tokio::try_join!(up, down) } => Fate::Ended,
        () = ended(watch, epoch) => Fate::Ended,
        () = halves.until(|rule| rule.half_open) => Fate::HalfOpen,
    }
}

/// Waits until the proxy resets the connection.
async fn ended(watch: &Watch, epoch: u64) {
    let mut rules = watch.rules.clone();
    let caller = watch.caller.as_deref();
    let over = |rules: &Rules| rules.epoch != epoch || rules.rule(caller).refused;
    // An error means that the proxy is gone, which ends its connections as well.
    let _ = rules.wait_for(over).await;
}

/// Why a direction ended before the other.
#[derive(Debug)]
struct Cut;

async fn pass(
    input: ReadHalf<'_>,
    output: WriteHalf<'_>,
    watch: Watch,
    way: Way,
) -> Result<(), Cut> {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    let reading = read(input, sender);
    let writing = write(output, receiver, watch, way);
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
    mut watch: Watch,
    way: Way,
) -> Result<(), Cut> {
    let mut written = 0;
    while let Some((arrived, mut chunk)) = receiver.recv().await {
        unstalled(&mut watch, way).await;
        let lane = watch.lane(way);
        tokio::time::sleep_until(arrived + lane.delay).await;
        if let Some(rate) = lane.rate {
            tokio::time::sleep(time_for(chunk.len(), rate)).await;
        }
        unstalled(&mut watch, way).await;
        let left = watch
            .lane(way)
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
    unstalled(&mut watch, way).await;
    output.shutdown().await.map_err(|_| Cut)
}

async fn unstalled(watch: &mut Watch, way: Way) {
    let stalled = |rule: &Rule| match way {
        Way::Up => rule.up.stalled,
        _ => rule.down.stalled,
    };
    watch.until(|rule| !stalled(rule)).await;
}

fn time_for(bytes: usize, rate: u64) -> Duration {
    Duration::from_micros(bytes as u64 * 1_000_000 / rate.max(1))
}
