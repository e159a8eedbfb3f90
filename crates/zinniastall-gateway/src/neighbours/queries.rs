//! Questions to other instances, by datagram.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{net::UdpSocket, sync::oneshot, time};

use super::datagram::Datagram;

/// Timeout for an answer: a few round trips between the zones of a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(12);

/// Questions that await their answers.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    pending: RefCell<IndexMap<u32, oneshot::Sender<Datagram>>>,
    last_number: Cell<u32>,
}

impl Queries {
    /// Sets the socket to ask from; without one no questions are asked.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.socket.replace(Some(socket));
    }

    /// Asks an instance up to `tries` times, under the same number; returns its answer, or `None` if
    /// it doesn't answer in time.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        tries: usize,
        question: impl FnOnce(u32) -> Datagram,
    ) -> Option<Datagram> {
        self.ask_within(address, tries, ANSWER_TIMEOUT, question)
            .await
    }

    /// Does the same with a timeout for each try, for instances that may be in another region.
    pub(crate) async fn ask_within(
        &self,
        address: SocketAddr,
        tries: usize,
        timeout: Duration,
        question: impl FnOnce(u32) -> Datagram,
    ) -> Option<Datagram> {
        let socket = self.socket.borrow().clone()?;
        let number = self.next_number();
        let bytes = question(number).encode().ok()?;
        let (answer, mut answered) = oneshot::channel();
        self.pending.borrow_mut().insert(number, answer);
        for _ in 0..tries {
            // A question that can't be sent is handled like one without an answer.
            let _ = socket.send_to(&bytes, address).await;
            if let Ok(answered) = time::timeout(timeout, &mut answered).await {
                return answered.ok();
            }
        }
        self.pending.borrow_mut().swap_remove(&number);
        None
    }

    /// Returns the number of the next question.
    pub(crate) fn next_number(&self) -> u32 {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        number
    }

    /// Tells an instance something that needs no answer.
    pub(crate) fn tell(&self, address: SocketAddr, datagram: &Datagram) {
        if let (Some(socket), Ok(bytes)) = (&*self.socket.borrow(), datagram.encode()) {
            // A full send buffer loses the datagram like the network may.
            let _ = socket.try_send_to(&bytes, address);
        }
    }

    /// Completes the question that an instance has answered.
    pub(crate) fn receive_answer(&self, number: u32, answer: Datagram) {
        if let Some(pending) = self.pending.borrow_mut().swap_remove(&number) {
            // The receiver may have given up at this moment.
            let _ = pending.send(answer);
        }
    }

    /// Forgets questions that nobody awaits any more, because their caller has left.
    pub(crate) fn expire(&self) {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, answer| !answer.is_closed());
    }
}
