//! Tests the history checker: it must accept every possible history and reject every impossible
//! one.

use std::sync::Mutex;
use std::thread;

use zinniastall_tests::history::{Answer, Call, Recorder, Register, Request, check, ticket};

type Entry = Call<Request, Answer>;

fn write(expected: u64, value: &str) -> Request {
    Request::Write {
        expected,
        value: Some(value.to_owned()),
    }
}

fn accepted(revision: u64) -> Answer {
    Answer::Accepted { revision }
}

fn conflict(revision: u64) -> Answer {
    Answer::Conflict { revision }
}

fn found(revision: u64, value: &str) -> Answer {
    let value = (!value.is_empty()).then(|| value.to_owned());
    Answer::Found { revision, value }
}

fn call(began: u64, ended: u64, request: Request, answer: impl Into<Option<Answer>>) -> Entry {
    Call {
        request,
        answer: answer.into(),
        began,
        ended,
    }
}

const NEVER: u64 = u64::MAX;

/// Defines a test of one history: its name and whether it is linearizable.
macro_rules! case {
    ($name:ident, $expected:expr, [$($call:expr),* $(,)?]) => {
        #[test]
        fn $name() {
            assert_eq!(check(&Register, &[$($call),*]).is_ok(), $expected);
        }
    };
}

case!(
    one_after_the_other,
    true,
    [
        call(1, 2, write(0, "a"), accepted(5)),
        call(3, 4, Request::Read, found(5, "a")),
        call(5, 6, write(5, "b"), accepted(9)),
        call(7, 8, write(5, "c"), conflict(9)),
    ]
);
case!(
    racing_scripts_of_which_one_wins,
    true,
    [
        call(1, 8, write(0, "a"), conflict(3)),
        call(2, 7, write(0, "b"), accepted(3)),
        call(3, 9, Request::Read, found(0, "")),
    ]
);
case!(
    racing_scripts_that_both_win,
    false,
    [
        call(1, 8, write(0, "a"), accepted(4)),
        call(2, 7, write(0, "b"), accepted(3)),
    ]
);
case!(
    a_stale_read,
    false,
    [
        call(1, 2, write(0, "a"), accepted(1)),
        call(3, 4, Request::Read, found(0, "")),
    ]
);
case!(
    a_change_that_reverts,
    false,
    [
        call(1, 2, write(0, "a"), accepted(1)),
        call(3, 4, write(1, "b"), accepted(2)),
        call(5, 6, Request::Read, found(2, "b")),
        call(7, 8, Request::Read, found(1, "a")),
    ]
);
case!(
    a_change_that_is_lost,
    false,
    [
        call(1, 2, write(0, "a"), accepted(1)),
        call(3, 4, write(0, "b"), accepted(2)),
    ]
);
case!(
    a_conflict_with_the_expected_revision,
    false,
    [
        call(1, 2, write(0, "a"), accepted(1)),
        call(3, 4, write(1, "b"), conflict(1)),
    ]
);
case!(
    a_revision_that_goes_back,
    false,
    [
        call(1, 2, write(0, "a"), accepted(5)),
        call(3, 4, write(5, "b"), accepted(4)),
    ]
);
case!(
    an_unanswered_write_took_effect_late,
    true,
    [
        call(1, NEVER, write(0, "a"), None),
        call(2, 3, Request::Read, found(0, "")),
        call(4, 5, Request::Read, found(7, "a")),
        call(6, 7, write(7, "b"), accepted(8)),
    ]
);
case!(
    an_unanswered_write_never_took_effect,
    true,
    [
        call(1, NEVER, write(0, "a"), None),
        call(2, 3, write(0, "b"), accepted(1)),
        call(4, 5, Request::Read, found(1, "b")),
    ]
);
case!(
    an_unanswered_write_took_effect_unseen,
    true,
    [
        call(1, NEVER, write(0, "a"), None),
        call(2, 3, write(0, "b"), conflict(6)),
        call(4, 5, write(6, "c"), accepted(7)),
    ]
);
case!(
    an_unanswered_write_takes_effect_twice,
    false,
    [
        call(1, NEVER, write(0, "a"), None),
        call(2, 3, Request::Read, found(1, "a")),
        call(4, 5, write(1, "b"), accepted(2)),
        call(6, 7, Request::Read, found(3, "a")),
    ]
);
case!(
    a_write_that_nobody_sent,
    false,
    [call(1, 2, Request::Read, found(1, "x"))]
);
case!(
    a_write_seen_before_it_was_sent,
    false,
    [
        call(1, 2, Request::Read, found(1, "a")),
        call(3, 4, write(0, "a"), accepted(1)),
    ]
);

/// Defines a test of one ticket: the answers to its requests, one after the other, how often the
/// work ran, and whether that is consistent.
macro_rules! ticket {
    ($($name:ident: [$($answer:expr),*], $runs:literal => $expected:literal;)+) => {$(
        #[test]
        fn $name() {
            let answers = [$($answer),*].map(parse_answer);
            let mut calls = Vec::new();
            for (answer, began) in answers.into_iter().zip((1..).step_by(2)) {
                calls.push(Call {
                    request: ticket::Request::Ask,
                    began,
                    ended: if answer.is_some() { began + 1 } else { NEVER },
                    answer,
                });
            }
            calls.push(Call {
                request: ticket::Request::Count,
                answer: Some(ticket::Answer::Ran($runs)),
                began: 100,
                ended: 101,
            });
            let model = ticket::Ticket { expected: "map".to_owned() };
            assert_eq!(check(&model, &calls).is_ok(), $expected);
        }
    )+};
}

fn parse_answer(answer: &str) -> Option<ticket::Answer> {
    match answer {
        "unknown" => None,
        "not run" => Some(ticket::Answer::NotRun),
        text => Some(ticket::Answer::Whole(text.to_owned())),
    }
}

ticket! {
    ticket_answered: ["map", "map"], 1 => true;
    ticket_answered_after_a_loss: ["unknown", "map"], 1 => true;
    ticket_lost_and_run: ["unknown", "unknown"], 1 => true;
    ticket_lost_and_not_run: ["unknown"], 0 => true;
    ticket_refused: ["not run", "not run"], 0 => true;
    ticket_refused_after_a_loss: ["unknown", "not run"], 0 => true;
    ticket_run_twice: ["map"], 2 => false;
    ticket_lost_and_run_twice: ["unknown", "unknown"], 2 => false;
    ticket_refused_but_run: ["not run"], 1 => false;
    ticket_refused_after_its_answer: ["map", "not run"], 1 => false;
    ticket_refused_after_a_loss_but_run: ["unknown", "not run"], 1 => false;
    ticket_run_after_its_refusal: ["not run", "map"], 1 => false;
    ticket_answered_but_not_run: ["map"], 0 => false;
    ticket_answered_with_half: ["ma"], 1 => false;
    ticket_answered_with_anothers: ["bill"], 1 => false;
}

// Threads race on a shared object and some answers are lost. The recorded history must be
// accepted, and must be rejected once one answer is changed to an impossible one.
#[test]
fn a_recorded_race_passes_and_a_forged_answer_does_not() {
    let object = Mutex::new((0_u64, None));
    let recorder = Recorder::default();
    thread::scope(|scope| {
        for client in 0..6_u64 {
            let (object, recorder) = (&object, &recorder);
            scope.spawn(move || {
                let mut seen = 0;
                for round in 0..60_u64 {
                    let request = if round % 3 == 0 {
                        Request::Read
                    } else {
                        write(seen, &format!("{client}-{round}"))
                    };
                    let number = recorder.begin(request.clone());
                    let answer = serve(&mut object.lock().expect("no thread panicked"), request);
                    let (Answer::Found { revision, .. }
                    | Answer::Accepted { revision }
                    | Answer::Conflict { revision }) = &answer;
                    seen = *revision;
                    if round % 20 != 7 {
                        recorder.end(number, answer);
                    }
                }
            });
        }
    });
    let mut calls = recorder.into_calls();
    assert_eq!(check(&Register, &calls), Ok(()));
    let forged = calls
        .iter_mut()
        .rev()
        .find_map(|call| match &mut call.answer {
            Some(Answer::Accepted { revision }) => Some(revision),
            _ => None,
        });
    *forged.expect("a change was accepted") += 1000;
    let end = calls.len() as u64 * 3;
    let (revision, value) = object.into_inner().expect("no thread panicked");
    calls.push(call(
        end,
        end + 1,
        Request::Read,
        Answer::Found { revision, value },
    ));
    assert!(check(&Register, &calls).is_err());
}

fn serve((revision, value): &mut (u64, Option<String>), request: Request) -> Answer {
    match request {
        Request::Read => Answer::Found {
            revision: *revision,
            value: value.clone(),
        },
        Request::Write { expected, .. } if expected != *revision => Answer::Conflict {
            revision: *revision,
        },
        Request::Write { value: new, .. } => {
            *revision += 2;
            *value = new;
            Answer::Accepted {
                revision: *revision,
            }
        }
    }
}
