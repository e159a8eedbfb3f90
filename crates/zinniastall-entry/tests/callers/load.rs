//! Overload of targets, and callers that do not read their responses.

use std::{
    io::{Read, Write},
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use super::harness::{CHAT, Fake, Harness, KEY, Script, until};

const COMPLETE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}";
const CHAT_PATH: &str = "/v1/chat/completions";

// A target runs one request at a time. The others wait in the queue and are all served.
#[actix_web::test]
async fn requests_wait_for_their_turn() {
    let late = Script::Delayed(Duration::from_millis(30), COMPLETE);
    let target = Fake::start(vec![late]);
    let harness = Harness::with_one_slot(target.address);
    let answers = join_all((0..10).map(|_| harness.post(CHAT_PATH, "", CHAT))).await;
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(target.ran(), 10);
    harness.stop().await;
}

// The target is busy for long, and a request has less time than its wait will take. It must be
// refused at once, with a retry hint, instead of being held until its deadline.
#[actix_web::test]
async fn infeasible_requests_are_refused_on_arrival() {
    let late = Script::Delayed(Duration::from_millis(400), COMPLETE);
    let target = Fake::start(vec![late]);
    let harness = Harness::with_one_slot(target.address);
    // The first response shows how long a request takes.
    harness.post(CHAT_PATH, "", CHAT).await;
    let early = async { join_all((0..6).map(|_| harness.post(CHAT_PATH, "", CHAT))).await };
    let late = async {
        until("the queue is long", || target.ran() >= 2).await;
        actix_web::rt::time::sleep(Duration::from_millis(50)).await;
        let asked = Instant::now();
        let deadline = "x-zinniastall-deadline-ms: 700\r\n";
        let answer = harness.post(CHAT_PATH, deadline, CHAT).await;
        (answer, asked.elapsed())
    };
    let (early, (answer, took)) = futures_util::future::join(early, late).await;
    assert!(
        early
            .iter()
            .all(|answer| answer.starts_with("HTTP/1.1 200"))
    );
    assert!(answer.contains("deadline-not-feasible"), "{answer}");
    assert!(
        answer.contains("not-run") && answer.contains("retry-after:"),
        "{answer}"
    );
    assert!(took < Duration::from_millis(600), "refused after {took:?}");
    harness.stop().await;
}

// A caller requests a huge response and does not read it. The bytes must stay with the target
// instead of filling the instance's memory.
#[actix_web::test]
async fn slow_reader_applies_backpressure() {
    let target = Fake::start(vec![Script::Endless]);
    let harness = Harness::start(&[target.address]);
    let request =
        format!("GET /proofs/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let mut stream = std::net::TcpStream::connect(harness.address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    until("the target has the request", || target.ran() == 1).await;
    let mut start = [0; 16];
    stream.read_exact(&mut start).unwrap();
    let sent = || target.sent.load(Ordering::SeqCst);
    let mut last = (sent(), Instant::now());
    let still = async || {
        loop {
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
            if sent() != last.0 {
                last = (sent(), Instant::now());
            } else if last.1.elapsed() > Duration::from_millis(500) {
                return;
            }
        }
    };
    let bound = Duration::from_secs(20);
    let stopped = actix_web::rt::time::timeout(bound, { still }()).await;
    assert!(
        stopped.is_ok(),
        "the target still writes after {} bytes",
        sent()
    );
    // The limit is slightly more than the kernel buffers of two connections hold.
    assert!(sent() < 32 << 20, "{} bytes", sent());
    harness.stop().await;
}
