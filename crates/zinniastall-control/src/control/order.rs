//! Sends orders to targets while this replica leads.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use actix::{AsyncContext, Context, Handler, Message};
use http::{HeaderMap, HeaderValue, Method, header::CONTENT_TYPE};
use tokio::time;
use zinniastall_coord::replica::Role;
use zinniastall_http::{client, connection, head::Response};
use zinniastall_model::{header, id, order::Order};
use zinniastall_wire::follow::Drift;

use super::Control;
use crate::{
    orders::{Dispatch, Orders},
    peers,
};

/// Path of the order interface of targets.
const ORDERS_PATH: &str = "/v1/orders";
/// Longest wait for an answer; a target may load weights before it answers.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(10);

/// An order was answered, or no answer will come.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Ordered(id::Target);

impl Handler<Ordered> for Control {
    type Result = ();

    fn handle(&mut self, ordered: Ordered, _: &mut Context<Self>) {
        if let Some(orders) = &mut self.orders {
            orders.answered(&ordered.0, Instant::now());
        }
    }
}

impl Control {
    /// Records targets whose state differs from the configuration, or forwards them to the leader.
    pub(super) fn note_drift(&mut self, list: Vec<Drift>) {
        if self.role != Role::Leader {
            self.send_leader(&peers::Message::Drift(list));
            return;
        }
        let now = Instant::now();
        let rules = &self.settings.targets;
        let orders = self
            .orders
            .get_or_insert_with(|| Orders::new(rules.clone(), now));
        for drifted in list {
            orders.note(drifted, now);
        }
    }

    /// Sends the orders that are due, or drops all orders if this replica does not lead.
    pub(super) fn send_orders(&mut self, now: Instant, context: &Context<Self>) {
        if self.role != Role::Leader {
            self.orders = None;
            return;
        }
        let Some(lease) = self.replica.lease(now) else {
            return;
        };
        let window = self.settings.timing.lease();
        let state = self.machine.state();
        let Some(orders) = &mut self.orders else {
            return;
        };
        for dispatch in orders.due(state, lease, window, now) {
            let (send, data) = (self.settings.targets.send, self.settings.data.clone());
            let target = dispatch.drifted.target.clone();
            let control = context.address();
            actix::spawn(async move {
                post(dispatch, send, &data).await;
                control.do_send(Ordered(target));
            });
        }
    }
}

/// Sends one order. A failure needs no handling: if the target's state still differs, it is
/// reported again and gets another order with a new fencing token.
async fn post(dispatch: Dispatch, send: Duration, data: &Path) {
    let Dispatch {
        drifted,
        order,
        fence,
        until,
    } = dispatch;
    // Last check of the lease before the write. A process freeze after this point goes unnoticed
    // here; the target's check of the fencing token, or the repair that its next report triggers,
    // corrects the effect.
    if Instant::now() >= until {
        tracing::warn!(
            event = "order-dropped",
            target = drifted.target,
            reason = "lease"
        );
        return;
    }
    pause_if_requested(data);
    let number = fence.to_u64();
    let answered = send_order(&drifted.address, &order, number, send).await;
    match answered {
        Ok(answer) => {
            let status = answer.status.as_u16();
            tracing::info!(
                event = "ordered",
                target = drifted.target,
                fence = number,
                status
            );
        }
        Err(error) => {
            let target = drifted.target;
            tracing::warn!(event = "order-failed", target, fence = number, error = %error);
        }
    }
}

/// Why an order got no answer.
#[derive(Debug, thiserror::Error)]
enum Unanswered {
    #[error("it can't be encoded: {0}")]
    Unencoded(#[from] serde_json::Error),
    #[error(transparent)]
    Failed(#[from] connection::Error),
    #[error("no answer in time")]
    Late(#[from] time::error::Elapsed),
}

async fn send_order(
    address: &str,
    order: &Order,
    fence: u64,
    connect_timeout: Duration,
) -> Result<Response, Unanswered> {
    let body = serde_json::to_vec(order)?;
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    headers.insert(header::FENCE, HeaderValue::from(fence));
    let call = (&Method::POST, ORDERS_PATH);
    let asked = client::ask(address, call, headers, &body, connect_timeout);
    Ok(time::timeout(ANSWER_TIMEOUT, asked).await??)
}

/// Blocks while a certain file exists, in debug builds only. Tests use it to freeze the process
/// between the check of the lease and the write, where a freeze does the most harm.
#[cfg(debug_assertions)]
fn pause_if_requested(data: &Path) {
    let file = data.join("pause-order");
    if !file.exists() {
        return;
    }
    tracing::info!(event = "paused", point = "order");
    while file.exists() {
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[cfg(not(debug_assertions))]
const fn pause_if_requested(_: &Path) {}
