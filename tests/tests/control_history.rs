//! What concurrent operators are told under faults is linearizable, with real processes.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use zinniastall_tests::{
    Result,
    cluster::{group, model},
    ctl,
    history::{Answer, Recorder, Register, Request, check},
};

/// Exit code of a call that was done or accepted.
const ACCEPTED: Option<i32> = Some(0);
/// Exit code of a conflict.
const CONFLICT: Option<i32> = Some(3);

/// Operators read and write one object at once while leaders are killed, frozen and cut off, one
/// after the other. Everything that they were told must fit one order of events; otherwise some
/// operator has decided on a state that never was, or lost a change that was accepted.
#[actix_rt::test]
async fn what_operators_were_told_fits_one_order() -> Result<()> {
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
                let wanted = if turn % 3 == 0 {
                    Request::Read
                } else {
                    Request::Write {
                        expected: held,
                        value: Some(value),
                    }
                };
                held = one_call(&history, &addresses, wanted)
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

/// Makes one call, records it, and returns the revision that the operator knows now.
async fn one_call(
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
    let said = run.answer();
    let number = |field: &str| said[field].as_u64().unwrap_or_default();
    let (told, known) = match (&request, run.code) {
        (Request::Read, ACCEPTED) => {
            let value = said["object"]["model"]["version"]
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
        // Nobody answered, or nothing has been created yet: the caller knows nothing.
        _ => return Ok(None),
    };
    history.end(call, told);
    Ok(Some(known))
}
