//! Tests many concurrent callers with tickets while instances are killed and frozen.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::{join, join_all};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::json;
use zinniastall_tests::{
    Error, Result,
    history::{
        Recorder, check,
        ticket::{Answer, Request, Ticket},
    },
};

use super::support::{System, ask_once, chat, error, expected, runs, text, ticket, zone_with};

const SEED: u64 = 20_261_202;
const CALLERS: usize = 8;
/// Requests of each caller.
const WORK_PER_CALLER: usize = 6;
const TOKENS: usize = 6;
/// Most rounds in which a request is sent, two sends in each.
const MAX_ROUNDS: usize = 4;
/// Losses of an instance, alternately killed and frozen.
const LOSSES: usize = 6;

/// One at-most-once request and the answers that its caller got.
struct Work {
    prompt: String,
    calls: Recorder<Request, Answer>,
}

/// Sends the request once and records the answer.
async fn send(work: &Work, address: SocketAddr, ticket: &str) -> Option<Answer> {
    let call = work.calls.begin(Request::Ask);
    let body = chat(&work.prompt, TOKENS, false);
    let request = ask_once(address, ticket, &body).header("x-zinniastall-deadline-ms", "2000");
    let answer = request.send().await.ok()?;
    let reply = if answer.status() == 200 {
        let chosen = &answer.json().ok()?["choices"][0];
        Answer::Whole(text(&chosen["message"]["content"]))
    } else if error(&answer).0 == "not-run" {
        Answer::NotRun
    } else {
        return None;
    };
    work.calls.end(call, reply.clone());
    Some(reply)
}

/// Sends each request until its outcome is known, to random instances, two at a time.
async fn caller(
    number: usize,
    addresses: [SocketAddr; 2],
    random: Rc<RefCell<StdRng>>,
) -> Vec<Work> {
    let pick = || *addresses.choose(&mut *random.borrow_mut()).expect("two");
    let mut done = Vec::new();
    for piece in 0..WORK_PER_CALLER {
        let work = Work {
            prompt: format!("bill {number}-{piece} of {SEED}"),
            calls: Recorder::default(),
        };
        let ticket = loop {
            match ticket(pick()).await {
                Ok(ticket) if !ticket.is_empty() => break ticket,
                // The instance is unavailable for a moment.
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
        for _ in 0..MAX_ROUNDS {
            let (one, other) = (pick(), pick());
            let pause = Duration::from_millis(random.borrow_mut().random_range(0..100));
            let again = async {
                tokio::time::sleep(pause).await;
                send(&work, other, &ticket).await
            };
            let reply = join(send(&work, one, &ticket), again).await;
            if reply.0.or(reply.1).is_some() {
                break;
            }
        }
        done.push(work);
    }
    done
}

/// Alternately kills and freezes the instances; each returns before the next is lost.
async fn lose_instances(cluster: &mut System, random: &RefCell<StdRng>) -> Result<()> {
    for loss in 0..LOSSES {
        let pause = random.borrow_mut().random_range(200..600);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let node = cluster.entry(["patras-a-1", "patras-a-2"][loss / 2 % 2])?;
        if loss % 2 == 0 {
            node.restart().await?;
        } else {
            node.process().freeze()?;
            tokio::time::sleep(Duration::from_millis(pause * 4)).await;
            node.process().resume()?;
        }
    }
    Ok(())
}

// Eight callers send at-most-once requests, each ticket often to two instances concurrently and
// again after a loss, while the instances are killed and frozen. Each request must have run at
// most once, and no answer may contradict another answer or the engines' ledgers.
#[actix_rt::test]
async fn racing_callers_get_consistent_outcomes_for_each_ticket() -> Result<()> {
    println!("seed {SEED}");
    let engine = json!({"engine": {"token_us": 20_000}, "slots": 4});
    let entry = json!({"tickets": {"linger_ms": 200}});
    let mut cluster = zone_with(&[engine.clone(), engine], entry).await?;
    let addresses = [
        cluster.entry("patras-a-1")?.address("callers")?,
        cluster.entry("patras-a-2")?.address("callers")?,
    ];
    let random = Rc::new(RefCell::new(StdRng::seed_from_u64(SEED)));
    let callers = (0..CALLERS).map(|number| caller(number, addresses, Rc::clone(&random)));
    let (done, lost) = join(join_all(callers), lose_instances(&mut cluster, &random)).await;
    lost?;
    let (mut whole, mut refused, mut unknown) = (0, 0, 0);
    for work in done.into_iter().flatten() {
        let body = chat(&work.prompt, TOKENS, false);
        let first = runs(&mut cluster, "engine-1", &body).await?.len();
        let ran = first + runs(&mut cluster, "engine-2", &body).await?.len();
        let count = work.calls.begin(Request::Count);
        work.calls.end(count, Answer::Ran(ran));
        let calls = work.calls.into_calls();
        for call in &calls {
            match call.answer {
                Some(Answer::Whole(_)) => whole += 1,
                Some(Answer::NotRun) => refused += 1,
                Some(Answer::Ran(_)) => {}
                None => unknown += 1,
            }
        }
        let model = Ticket {
            expected: expected(&work.prompt, TOKENS),
        };
        check(&model, &calls).map_err(|violation| {
            Error::Unknown(format!("{violation} for {:?}: {calls:#?}", work.prompt))
        })?;
    }
    println!("{whole} whole, {refused} not run, {unknown} unknown");
    assert!(whole > 0 && unknown > 0, "nothing was lost, or everything");
    cluster.stop().await
}
