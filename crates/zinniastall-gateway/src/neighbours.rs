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
use zinniastall_model::id;

use crate::{books::Books, view::Board};

/// Time between two datagrams while requests are in progress.
const PACE: Duration = Duration::from_millis(100);
/// Age at which a neighbour's word counts no more: several datagrams were lost, or it is gone.
const OLD: Duration = Duration::from_millis(600);
/// Longest datagram, in bytes; one that is longer would be cut into packets and lost with any of them.
const LONGEST: usize = 1_400;

/// Requests at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub flights: u32,
    /// Expected time to read the prompts of those whose answers have not begun, in microseconds.
    pub reading_us: u64,
}

/// One instance's requests at targets.
#[derive(Debug, Serialize, Deserialize)]
struct Word {
    instance: id::Instance,
    loads: Vec<(id::Target, Load)>,
}

/// What the neighbours said last.
#[derive(Debug, Default)]
pub struct Neighbours {
    words: IndexMap<id::Instance, (Instant, IndexMap<id::Target, Load>)>,
}

impl Neighbours {
    /// Returns what the neighbours have at a target.
    pub fn at(&self, target: &str, now: Instant) -> Load {
        let fresh = |since: Instant| now.saturating_duration_since(since) < OLD;
        let words = self.words.values().filter(|(since, _)| fresh(*since));
        let loads = words.filter_map(|(_, loads)| loads.get(target));
        loads.fold(Load::default(), |sum, load| Load {
            flights: sum.flights + load.flights,
            reading_us: sum.reading_us + load.reading_us,
        })
    }

    /// Takes a neighbour's word.
    pub fn hear(&mut self, instance: id::Instance, loads: Vec<(id::Target, Load)>, now: Instant) {
        let fresh = |since: Instant| now.saturating_duration_since(since) < OLD;
        self.words.retain(|_, (since, _)| fresh(*since));
        self.words
            .insert(instance, (now, loads.into_iter().collect()));
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
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let word: Result<Word, _> = ciborium::from_reader(&buffer[..length]);
                // Whatever is not a word of a neighbour is dropped; the next one comes soon.
                if let Ok(word) = word {
                    neighbours.borrow_mut().hear(word.instance, word.loads, Instant::now());
                }
            }
            _ = pace.tick() => {
                let loads = books.borrow().by_target();
                let is_busy = !loads.is_empty();
                if is_busy || was_busy {
                    tell(&socket, &board, loads).await;
                }
                was_busy = is_busy;
            }
        }
    }
}

async fn tell(socket: &UdpSocket, board: &Board, loads: Vec<(id::Target, Load)>) {
    let view = board.view();
    let word = Word {
        instance: view.instance.clone(),
        loads,
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
    let others = view
        .instances
        .values()
        .filter(|held| held.instance != view.instance);
    let near = others.filter(|held| held.place.region == view.place.region);
    for neighbour in near {
        if let Ok(address) = neighbour.forward.parse::<SocketAddr>() {
            // A lost word is replaced by the next one.
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}
