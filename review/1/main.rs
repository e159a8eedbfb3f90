//! Two core machines are replaced as planned; half a minute later a third one loses its disk, and the group never
//! leads again.

#[path = "../stand-ins/common.rs"]
mod common;

use common::*;
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// `catch_up_s` of the installation.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for which a new machine runs before the one that it replaces is stopped.
const OVERLAP: Duration = Duration::from_secs(8);
/// Time from the end of the first machine that is replaced to the start of the second one's successor.
const NEXT: Duration = Duration::from_millis(4_300);
/// Time from the end of the second machine that is replaced to the loss of the third one's disk.
const CALM: Duration = Duration::from_secs(20);
/// `seed_lag_s`.
const SEED_LAG: Duration = Duration::from_secs(3);
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator reads back, several times `stable_window_ms`.
const READ_BACK: Duration = Duration::from_secs(15);

fn manifest(version: u64) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"app\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false,\"gap_aim_ms\":0,\"home_regions\":[]}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("proofs", "/proofs/"),
        route("added", &format!("/v{version}/")),
    )
}

fn main() {
    let record = Record::new();
    let mut system = match System::start(&record, &["ouest", "nantes", "paris"], &[1, 1, 1], BOUNDS) {
        Ok(system) => system,
        Err(error) => conclude(&record, None, NOT_RUN, &format!("could not run: {error}")),
    };
    match run(&record, &mut system) {
        Ok((code, why)) => conclude(&record, Some(system), code, &why),
        Err(error) => conclude(&record, Some(system), NOT_RUN, &format!("could not run: {error}")),
    }
}

/// Reads the manifest at a node, over two redirects at most.
fn read(mut node: SocketAddr) -> (u16, String) {
    for _ in 0..3 {
        let Ok(answer) = call(node, "GET", "/-/config", "") else {
            return (0, String::new());
        };
        match (answer.status, answer.redirect()) {
            (307, Some(next)) => node = next,
            (status, _) => return (status, String::from_utf8_lossy(&answer.body).into_owned()),
        }
    }
    (307, String::new())
}

fn run(record: &Record, system: &mut System) -> std::io::Result<(i32, String)> {
    let (status, _) = system.order("PUT", "/-/config", &manifest(7))?;
    record.say(format!("manifest 7 is answered {status}"));
    system.wait_ready()?;
    let cores = system.of("core");
    let ledger = Ledger::default();
    let nodes: Vec<_> = cores.iter().map(|core| system.address(*core, CONTROL)).collect();
    let _worker = Worker::start(
        "i-1",
        (system.ip(100), WORKER).into(),
        "app",
        &system.zone(0),
        6,
        Duration::from_millis(30),
        nodes,
        &ledger,
        record,
    )?;
    thread::sleep(Duration::from_secs(6));
    let first = replace(system, cores[2], 2, 40)?;
    thread::sleep(NEXT.saturating_sub(SEED_LAG));
    let second = replace(system, cores[1], 1, 41)?;
    thread::sleep(CALM.saturating_sub(SEED_LAG));
    let (status, _) = order(record, system, &[cores[0], first, second], &manifest(8))?;
    record.say(format!("manifest 8 is answered {status}"));
    if status != 200 {
        return Ok((NOT_RUN, "manifest 8 was not acknowledged".into()));
    }
    if has_trouble() {
        record.say("trouble: one core machine loses power right after the acknowledgement, and its disk");
        let lost = cores[0];
        system.kill(lost);
        system.wipe(lost)?;
        thread::sleep(Duration::from_secs(1));
        system.spawn(lost, false)?;
    }
    thread::sleep(RECOVERY);
    let mut counts = std::collections::BTreeMap::<u16, usize>::new();
    let mut held = false;
    let until = Instant::now() + READ_BACK;
    while Instant::now() < until {
        for core in [cores[0], first, second] {
            let (status, text) = read(system.address(core, CONTROL));
            *counts.entry(status).or_default() += 1;
            held |= status == 200 && text == manifest(8);
            record.note(format!(
                "read at {}: {status}, {} bytes",
                system.machines[core].name,
                text.len()
            ));
        }
        thread::sleep(Duration::from_millis(300));
    }
    record.say(format!("reads of the manifest by status: {counts:?}"));
    let another = order(record, system, &[cores[0], first, second], &manifest(9));
    record.say(format!(
        "manifest 9 is answered {:?}",
        another
            .map(|(status, _)| status)
            .map_err(|error| error.to_string())
    ));
    if held {
        return Ok((HELD, "held: manifest 8 was read back".into()));
    }
    Ok((
        BROKEN,
        format!(
            "broken: CONFIG: manifest 8 was acknowledged and can't be read back at any node, {} s after all machines were back",
            (RECOVERY + READ_BACK).as_secs()
        ),
    ))
}

/// Replaces a core machine as planned: the new one first, then SIGTERM to the old one; the seeds follow.
fn replace(system: &mut System, old: usize, region: usize, last: u8) -> std::io::Result<usize> {
    let new = system.add("core", region, last);
    system.spawn(new, false)?;
    system.record.say(format!(
        "{} starts, to replace {}",
        system.machines[new].name, system.machines[old].name
    ));
    thread::sleep(OVERLAP.max(CATCH_UP));
    system.signal(old, SIGTERM);
    let since = Instant::now();
    while let Some(process) = system.machines[old].process.as_mut() {
        if process.try_wait()?.is_some() {
            system.machines[old].process = None;
        } else if since.elapsed() > Duration::from_secs(8) {
            system.kill(old);
        }
        thread::sleep(Duration::from_millis(10));
    }
    system
        .record
        .say(format!("{} has ended and is removed", system.machines[old].name));
    thread::sleep(SEED_LAG);
    system.seeds.retain(|seed| *seed != old);
    system.seeds.push(new);
    system.rewrite_settings()?;
    Ok(new)
}

/// Sends a manifest to some nodes in turn until one acknowledges it, for ten seconds at most.
fn order(record: &Record, system: &System, to: &[usize], body: &str) -> std::io::Result<(u16, String)> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for core in to {
            let mut node = system.address(*core, CONTROL);
            for _ in 0..3 {
                let Ok(answer) = call(node, "PUT", "/-/config", body) else {
                    break;
                };
                record.note(format!("manifest at {node}: {}", answer.status));
                match (answer.status, answer.redirect()) {
                    (307, Some(next)) => node = next,
                    (200, _) => return Ok((200, String::new())),
                    _ => break,
                }
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err(std::io::Error::other("no node acknowledged the manifest"))
}
