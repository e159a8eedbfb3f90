//! What the other instances of this region have at each target, told by datagram.
//!
//! Instances that share targets place by what they know of each other's requests. Over the control
//! replicas that is half a second old and a sum; in a burst all of them then turn to the same target.
//! A datagram ten times a second, to the few instances of the region, says it by target.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time};
use zinniastall_model::{id, presence::Presence};

use crate::{
    books::Books,
    view::{Board, View},
};

/// Time between two datagrams while requests are in progress, for each [`FEW`] neighbours.
const PACE: Duration = Duration::from_millis(100);
/// Neighbours that are told at the full pace. Forty told ten times a second would take a tenth of the
/// processor that an instance of such a region has.
const FEW: usize = 8;
/// Rounds after which a neighbour's word counts no more: several datagrams were lost, or it is gone.
const OLD: u32 = 6;
/// Longest datagram, in bytes; one that is longer would be cut into packets and lost with any of them.
const LONGEST: usize = 1_400;
/// Targets of one datagram: with names of 16 bytes each takes 26 bytes. A region of 70 targets needs two.
const TARGETS: usize = 40;

/// Requests at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub flights: u32,
    /// Expected time to read the prompts of those whose answers have not begun, in microseconds.
    pub reading_us: u64,
}

/// One instance's requests at targets, or a part of them.
#[derive(Debug, Serialize, Deserialize)]
struct Word {
    #[serde(rename = "i")]
    instance: id::Instance,
    /// The same in all parts that are told at once.
    #[serde(rename = "t")]
    turn: u32,
    /// Target, requests, reading time in microseconds.
    #[serde(rename = "l")]
    loads: Vec<(id::Target, u32, u64)>,
}

/// What one neighbour said last.
#[derive(Debug)]
struct Said {
    turn: u32,
    since: Instant,
    loads: IndexMap<id::Target, Load>,
}

/// What the neighbours said last.
#[derive(Debug, Default)]
pub struct Neighbours {
    words: IndexMap<id::Instance, Said>,
    rounds: u32,
}

impl Neighbours {
    /// Returns what the neighbours have at a target.
    pub fn at(&self, target: &str, now: Instant) -> Load {
        let old = self.old();
        let fresh = |since: Instant| now.saturating_duration_since(since) < old;
        let words = self.words.values().filter(|said| fresh(said.since));
        let loads = words.filter_map(|said| said.loads.get(target));
        loads.fold(Load::default(), |sum, load| Load {
            flights: sum.flights + load.flights,
            reading_us: sum.reading_us + load.reading_us,
        })
    }

    /// Notes how many neighbours there are; returns in how many rounds of the pace each is told once.
    pub fn spread(&mut self, neighbours: usize) -> u32 {
        let rounds = u32::try_from(neighbours.div_ceil(FEW));
        self.rounds = rounds.unwrap_or(u32::MAX).max(1);
        self.rounds
    }

    fn old(&self) -> Duration {
        PACE * OLD * self.rounds.max(1)
    }

    /// Takes a neighbour's word, or a part of it; a part of another turn replaces what was said before.
    pub fn hear(
        &mut self,
        instance: &str,
        turn: u32,
        loads: impl IntoIterator<Item = (id::Target, Load)>,
        now: Instant,
    ) {
        let old = self.old();
        let fresh = |since: Instant| now.saturating_duration_since(since) < old;
        self.words.retain(|_, said| fresh(said.since));
        let new = || Said {
            turn,
            since: now,
            loads: IndexMap::new(),
        };
        let said = self.words.entry(instance.to_owned()).or_insert_with(new);
        if said.turn != turn {
            *said = new();
        }
        said.since = now;
        said.loads.extend(loads);
    }
}

/// Tells the neighbours and hears them, for ever.
pub async fn run(
    socket: UdpSocket,
    board: Board,
    books: Rc<RefCell<Books>>,
    neighbours: Rc<RefCell<Neighbours>>,
) {
    let mut pace = time::interval(PACE);
    pace.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; LONGEST];
    let mut was_busy = false;
    let mut round: u32 = 0;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let word: Result<Word, _> = ciborium::from_reader(&buffer[..length]);
                // Whatever is not a word of a neighbour is dropped; the next one comes soon.
                if let Ok(word) = word {
                    let loads = word.loads.into_iter().map(|(target, flights, reading_us)| {
                        (target, Load { flights, reading_us })
                    });
                    let mut neighbours = neighbours.borrow_mut();
                    neighbours.hear(&word.instance, word.turn, loads, Instant::now());
                }
            }
            _ = pace.tick() => {
                round = round.wrapping_add(1);
                let count = near(&board.view()).count();
                if !round.is_multiple_of(neighbours.borrow_mut().spread(count)) {
                    continue;
                }
                let loads = books.borrow().by_target();
                let is_busy = !loads.is_empty();
                if is_busy || was_busy {
                    tell(&socket, &board, round, &loads).await;
                }
                was_busy = is_busy;
            }
        }
    }
}

/// Returns the other instances of this region.
fn near(view: &View) -> impl Iterator<Item = &Presence> {
    let others = view.instances.by_name().values();
    let others = others.filter(|held| held.instance != view.instance);
    others.filter(|held| held.place.region == view.place.region)
}

async fn tell(socket: &UdpSocket, board: &Board, turn: u32, loads: &[(id::Target, Load)]) {
    let view = board.view();
    let mut parts = loads.chunks(TARGETS).peekable();
    if parts.peek().is_none() {
        // Nothing is in progress any more, which is worth a word too.
        tell_part(socket, &view, turn, &[]).await;
    }
    for part in parts {
        tell_part(socket, &view, turn, part).await;
    }
}

async fn tell_part(socket: &UdpSocket, view: &View, turn: u32, loads: &[(id::Target, Load)]) {
    let loads = loads.iter();
    let word = Word {
        instance: view.instance.clone(),
        turn,
        loads: loads
            .map(|(target, load)| (target.clone(), load.flights, load.reading_us))
            .collect(),
    };
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(&word, &mut bytes) {
        tracing::warn!(event = "word-not-encoded", error = %error);
        return;
    }
    if bytes.len() > LONGEST {
        tracing::warn!(event = "word-too-long", bytes = bytes.len());
        return;
    }
    for neighbour in near(view) {
        if let Ok(address) = neighbour.forward.parse::<SocketAddr>() {
            // A lost word is replaced by the next one.
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}
