//! Tests with real processes that concurrent operator calls are linearizable under faults.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use zinniastall_tests::{
    Result,
    cluster::{group, model},
    ctl,
    history::{Answer, Recorder, Register, Request, check},
};

/// Exit code of a call that succeeded.
const ACCEPTED: Option<i32> = Some(0);
/// Exit code of a change whose expected revision was out of date.
const CONFLICT: Option<i32> = Some(3);

/// Operators read and write one object concurrently while leaders are killed, frozen and cut off
/// one after the other. All answers must fit one order of events; otherwise an operator has seen
/// a state that never existed, or an accepted change was lost.
#[actix_rt::test]
async fn operator_calls_are_linearizable() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let history = Rc::new(Recorder::default());
    let done = Rc::new(Cell::new(false));
    let operators = cluster.operators();
    let operator = |number: usize| {
        let (history, done) = (Rc::clone(&history), Rc::clone(&done));
        let mut addresses = operators.clone();
        actix_rt::spawn(async move {
            let mut held = 0;
            for turn in 0.. {
                if done.get() {
                    return Ok::<_, zinniastall_tests::Error>(());
                }
                addresses.rotate_left(number % 2 + 1);
                let value = format!("{number}-{turn}");
                let request = if turn % 3 == 0 {
                    Request::Read
                } else {
                    Request::Write {
                        expected: held,
                        value: Some(value),
                    }
                };
                held = record_call(&history, &addresses, request)
                    .await?
                    .unwrap_or(held);
            }
            Ok(())
        })
    };
    let operators: Vec<_> = (0..4).map(operator).collect();
    for fault in 0..6 {
        let leader = cluster.leader().await?;
        match fault % 3 {
            0 => cluster.control(&leader)?.process().kill()?,
            1 => cluster.control(&leader)?.process().freeze()?,
            _ => cluster.partition(|node| node.name() == leader),
        }
        cluster.leader_except(&[&leader]).await?;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        match fault % 3 {
            0 => cluster.control(&leader)?.restart().await?,
            1 => cluster.control(&leader)?.process().resume()?,
            _ => cluster.heal(),
        }
    }
    done.set(true);
    for operator in operators {
        operator.await.map_err(std::io::Error::other)??;
    }
    let calls = Rc::into_inner(history)
        .map(Recorder::into_calls)
        .unwrap_or_default();
    let answered = calls.iter().filter(|call| call.answer.is_some()).count();
    println!("calls={} answered={answered}", calls.len());
    assert!(answered > 50, "{answered} of {}", calls.len());
    let verdict = check(&Register, &calls);
    assert!(verdict.is_ok(), "{verdict:?}");
    Ok(())
}

/// Makes one call, records it, and returns the revision that the operator now knows.
async fn record_call(
    history: &Recorder<Request, Answer>,
    addresses: &[SocketAddr],
    request: Request,
) -> Result<Option<u64>> {
    let call = history.begin(request.clone());
    let run = match &request {
        Request::Read => {
            let arguments = ["--timeout", "2000", "get", "model", "m"];
            ctl::run(addresses, &arguments).await?
        }
        Request::Write { expected, value } => {
            let expected = expected.to_string();
            let object = model("m", value.as_deref().unwrap_or_default());
            let arguments = [
                "--timeout",
                "2000",
                "--expected",
                &expected,
                "apply",
                &object,
            ];
            ctl::run(addresses, &arguments).await?
        }
    };
    let output = run.answer();
    let number = |field: &str| output[field].as_u64().unwrap_or_default();
    let (answer, revision) = match (&request, run.code) {
        (Request::Read, ACCEPTED) => {
            let value = output["object"]["model"]["version"]
                .as_str()
                .map(str::to_owned);
            let revision = number("revision");
            (Answer::Found { revision, value }, revision)
        }
        (Request::Write { .. }, ACCEPTED) => {
            let revision = number("revision");
            (Answer::Accepted { revision }, revision)
        }
        (Request::Write { .. }, CONFLICT) => {
            let revision = number("current");
            (Answer::Conflict { revision }, revision)
        }
        // Without an answer, or before anything was created, the operator learns nothing.
        _ => return Ok(None),
    };
    history.end(call, answer);
    Ok(Some(revision))
}
