//! A worker that started again under its id signs off, and the system goes on sending to it.

#[path = "../stand-ins/common.rs"]
mod common;

use common::*;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// `drain_ms` of the installation.
const DRAIN: Duration = Duration::from_millis(4_000);
/// A worker serves a little longer than that, and exits.
const LONGER: Duration = Duration::from_millis(1_000);
const WORK: Duration = Duration::from_millis(200);
const CLIENTS: usize = 48;

fn manifest() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"app\",\"max_attempts\":{attempts},\"sticky\":false,\"resumable\":false,\"gap_aim_ms\":0,\"home_regions\":[]}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":410,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("confirm", "/confirm/", "non_idempotent", 1),
        route("lookup", "/lookup/", "idempotent", 2)
    )
}

fn main() {
    let record = Record::new();
    let bounds = BOUNDS
        .replace("drain_ms = 3000", "drain_ms = 4000")
        .replace("stable_window_ms = 5000", "stable_window_ms = 6000")
        .replace("config_apply_ms = 3000", "config_apply_ms = 4000");
    let system = match System::start(&record, &["central", "north", "south"], &[2, 1, 1], &bounds) {
        Ok(system) => system,
        Err(error) => conclude(&record, None, NOT_RUN, &format!("could not run: {error}")),
    };
    match run(&record, &system) {
        Ok((code, why)) => conclude(&record, Some(system), code, &why),
        Err(error) => conclude(&record, Some(system), NOT_RUN, &format!("could not run: {error}")),
    }
}

fn run(record: &Record, system: &System) -> std::io::Result<(i32, String)> {
    let (status, _) = system.order("PUT", "/-/config", &manifest())?;
    record.say(format!("the manifest is answered {status}"));
    system.wait_ready()?;
    let nodes: Vec<_> = system
        .of("core")
        .into_iter()
        .map(|core| system.address(core, CONTROL))
        .collect();
    let ledger = Ledger::default();
    let work = WORK;
    let start = |number: u8, node: usize| {
        let address = (system.ip(100 + number), WORKER).into();
        // Each start picks one of the nodes, and the others if that one doesn't acknowledge.
        let mut order = nodes.clone();
        order.rotate_left(node);
        Worker::start(
            &format!("i-{number}"),
            address,
            "app",
            &system.zone(0),
            6,
            work,
            order,
            &ledger,
            record,
        )
    };
    let first = start(1, 0)?;
    // One worker of eight is a share of 0.125: no more than the site file's largest of `srv_crash` (0.25) and of
    // `scale_in` (0.135).
    let mut others = Vec::new();
    for number in 2..=8 {
        others.push(start(number, usize::from(number) % nodes.len())?);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let number = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let edges = system.of("edge");
        let address = system.address(edges[client % edges.len()], FRONT);
        let (stop, outcomes, number) = (Arc::clone(&stop), Arc::clone(&outcomes), Arc::clone(&number));
        clients.push(thread::spawn(move || {
            let mut channel = None;
            while !stop.load(Ordering::SeqCst) {
                let at = number.fetch_add(1, Ordering::SeqCst);
                let (method, path) = if at % 2 == 0 {
                    ("POST", "/confirm/1")
                } else {
                    ("GET", "/lookup/1")
                };
                let held = match channel.take() {
                    Some(held) => held,
                    None => match Channel::open(address) {
                        Ok(held) => held,
                        Err(_) => {
                            thread::sleep(Duration::from_millis(100));
                            continue;
                        }
                    },
                };
                let mut held: Channel = held;
                let body: &[u8] = if method == "POST" { b"shift" } else { b"" };
                let outcome = request(
                    &mut held,
                    method,
                    path,
                    &format!("{at:016x}"),
                    Duration::from_secs(6),
                    "",
                    body,
                );
                if outcome.is_whole {
                    channel = Some(held);
                }
                outcomes.lock().unwrap().push((path.to_owned(), outcome));
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    let leaving = if has_trouble() {
        record.say("trouble: worker i-1 crashes, and starts again under its id 3 s later");
        first.end();
        thread::sleep(Duration::from_secs(3));
        start(1, 1)?
    } else {
        let mut order = nodes.clone();
        order.rotate_left(1);
        *first.nodes.lock().unwrap() = order;
        thread::sleep(Duration::from_secs(3));
        first
    };
    // The system is left alone for longer than the stable window.
    thread::sleep(Duration::from_secs(9));
    let Some((node, acknowledged)) = leaving.sign_off(&nodes) else {
        return Ok((NOT_RUN, "no node acknowledged the sign-off".into()));
    };
    thread::sleep(DRAIN + LONGER);
    leaving.end();
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    for (path, outcome) in outcomes.iter() {
        record.note(format!(
            "request {} {path} sent {:.3} ended {:.3}: {:?} whole {} {}",
            outcome.id,
            outcome.sent.duration_since(record.start).as_secs_f64(),
            outcome.ended.duration_since(record.start).as_secs_f64(),
            outcome.status,
            outcome.is_whole,
            outcome.error
        ));
    }
    let arrivals = ledger.arrivals.lock().unwrap();
    for arrival in arrivals.iter() {
        record.note(format!(
            "arrival {:.3} worker {} request {} {} run {}",
            arrival.at.duration_since(record.start).as_secs_f64(),
            arrival.worker,
            arrival.id,
            arrival.path,
            arrival.was_run
        ));
    }
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.worker == "i-1" && arrival.was_run && arrival.at > acknowledged + DRAIN)
        .collect();
    let served = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.status == Some(200))
        .count();
    let failed = late.iter().filter(|arrival| {
        outcomes
            .iter()
            .any(|(_, outcome)| outcome.id == arrival.id && outcome.status != Some(200))
    });
    let failed = failed.count();
    let last = late.last().map_or(0.0, |arrival| {
        arrival.at.duration_since(acknowledged).as_secs_f64()
    });
    record.say(format!(
        "{} requests, {served} served; {} acknowledged the sign-off at {:.3}",
        outcomes.len(),
        node,
        acknowledged.duration_since(record.start).as_secs_f64()
    ));
    if outcomes.len() < 100 || served * 10 < outcomes.len() * 9 {
        return Ok((NOT_RUN, "the system did not serve".into()));
    }
    if late.is_empty() {
        return Ok((
            HELD,
            "held: no request reached i-1 later than drain_ms after the acknowledgement".into(),
        ));
    }
    Ok((
        BROKEN,
        format!(
            "broken: DRAIN: {} requests reached i-1 later than drain_ms after the acknowledgement, the last one {last:.1} s after it; {failed} of them ended without success",
            late.len()
        ),
    ))
}
