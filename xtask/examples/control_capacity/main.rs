//! Measures the cost of relays for a control group of five real processes, and the cost of a call.
//!
//! Run with `cargo xtask control`. Relays are follow links of this process; each represents its
//! share of the 1,700 instances of the target size. Requires `ss` from iproute2.

mod relay;
mod traffic;

use std::{
    net::SocketAddr,
    process::{Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use nix::sys::resource::{UsageWho, getrusage};
use relay::Relay;
use zinniastall_tests::{
    Result,
    cluster::{Cluster, model},
    usage, wait,
};

/// Number of relays in each case; the first is the target size, at which calls are measured too.
const RELAY_COUNTS: [usize; 3] = [134, 67, 0];
/// Number of instances that a relay represents: 1,700 divided by 134.
const INSTANCES_PER_RELAY: usize = 13;
/// Numbers of clients and models at the target size.
const CLIENTS: usize = 460;
const MODELS: usize = 28;
/// Idle time, and number of changes that are spread over an equally long time.
const RUN_TIME: Duration = Duration::from_secs(10);
const CHANGES: u32 = 50;
/// Number of calls of each kind.
const CALL_COUNT: u32 = 20;

#[actix_rt::main]
async fn main() -> Result<()> {
    zinniastall_tests::binary::use_folder("target/release".into());
    for relays in RELAY_COUNTS {
        case(relays).await?;
    }
    Ok(())
}

async fn case(relays: usize) -> Result<()> {
    let mut cluster = Cluster::builder()
        .replicas(5)
        .zone("patras", "a", 0)
        .start()
        .await?;
    configure(&cluster).await?;
    let followers = follow(&mut cluster, relays).await?;
    wait_joined(&cluster, relays * INSTANCES_PER_RELAY).await?;
    if relays == RELAY_COUNTS[0] {
        measure_calls(&cluster).await?;
    }
    let leader = cluster.leader().await?;
    let first = sample(&cluster)?;
    actix_rt::time::sleep(RUN_TIME).await;
    let second = sample(&cluster)?;
    let begun = Instant::now();
    for change in 0..CHANGES {
        cluster
            .apply(&serde_json::from_str(&model(
                "changing",
                &change.to_string(),
            ))?)
            .await?;
        actix_rt::time::sleep(RUN_TIME / CHANGES).await;
    }
    let took = begun.elapsed();
    let third = sample(&cluster)?;
    for ((name, first), ((_, second), (_, third))) in
        first.iter().zip(second.iter().zip(third.iter()))
    {
        let role = if *name == leader {
            "leader"
        } else {
            "follower"
        };
        report(relays, role, [first, second, third], took);
    }
    for follower in followers {
        follower.abort();
    }
    Ok(())
}

async fn configure(cluster: &Cluster) -> Result<()> {
    for first in (0..CLIENTS).step_by(20) {
        let names: Vec<String> = (first..first + 20)
            .map(|id| format!("client-{id}"))
            .collect();
        let clients = names.iter().map(|name| cluster.client(name, name));
        futures_util::future::try_join_all(clients).await?;
    }
    for id in 0..MODELS {
        cluster.model(&format!("model-{id}")).await?;
    }
    Ok(())
}

/// Starts relays that follow the replicas in turn, without the proxies.
async fn follow(
    cluster: &mut Cluster,
    relays: usize,
) -> Result<Vec<actix_rt::task::JoinHandle<()>>> {
    let names: Vec<String> = cluster.controls().map(|node| node.name().into()).collect();
    let mut addresses: Vec<Rc<str>> = Vec::new();
    for name in names {
        let address = cluster.control(&name)?.process().address("links").await?;
        addresses.push(address.to_string().into());
    }
    let one = |number: usize| {
        let address = Rc::clone(&addresses[number % addresses.len()]);
        actix_rt::spawn(async move {
            if let Err(error) = Relay::new(number, INSTANCES_PER_RELAY)
                .follow(address)
                .await
            {
                println!("relay {number} ended: {error}");
            }
        })
    };
    Ok((0..relays).map(one).collect())
}

/// Waits until all instances are members and have the latest revision in force.
async fn wait_joined(cluster: &Cluster, wanted: usize) -> Result<()> {
    let begun = Instant::now();
    wait::within(
        Duration::from_mins(2),
        "all members up to date",
        async || {
            let status = cluster.ctl(&["status"]).await.ok()?.json().ok()?;
            let instances = status["instances"].as_array()?;
            let current =
                |instance: &&serde_json::Value| instance["revision"] == status["revision"];
            (instances.iter().filter(current).count() == wanted).then_some(())
        },
    )
    .await?;
    println!(
        "joined instances={wanted} seconds={:.1}",
        begun.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Cumulative resource usage of a replica.
#[derive(Debug, Clone, Copy)]
struct Sample {
    cpu_time: Duration,
    memory: u64,
    traffic: traffic::Traffic,
}

fn sample(cluster: &Cluster) -> Result<Vec<(String, Sample)>> {
    let traffic = traffic::sample()?;
    let of = |node: &zinniastall_tests::node::Node| {
        let id = node.running().id();
        let sample = Sample {
            cpu_time: usage::cpu_time(id)?,
            memory: usage::memory(id)?,
            traffic: traffic.get(&id).copied().unwrap_or_default(),
        };
        Ok((node.name().to_owned(), sample))
    };
    cluster.controls().map(of).collect()
}

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
fn report(relays: usize, role: &str, samples: [&Sample; 3], took: Duration) {
    let [first, second, third] = samples;
    let at_rest = second.cpu_time.saturating_sub(first.cpu_time).as_secs_f64();
    let busy = third.cpu_time.saturating_sub(second.cpu_time).as_secs_f64();
    let (run, took) = (RUN_TIME.as_secs_f64(), took.as_secs_f64());
    let rest = second.traffic.since(&first.traffic);
    let changing = third.traffic.since(&second.traffic);
    let over_rest =
        |busy: u64, rest: u64| (busy as f64 - rest as f64 * took / run) / f64::from(CHANGES);
    println!(
        "case relays={relays} role={role} memory_kb={} rest_percent={:.2} rest_sent_bps={:.0} \
         rest_received_bps={:.0} rest_segments_a_second={:.1} rest_wire_bps={:.0} \
         change_us={:.0} change_sent={:.0} change_segments={:.1} change_wire={:.0}",
        third.memory / 1024,
        at_rest / run * 100.0,
        rest.sent_bytes as f64 / run,
        rest.received_bytes as f64 / run,
        rest.sent_segments as f64 / run,
        rest.on_the_wire() as f64 / run,
        (busy - at_rest * took / run) / f64::from(CHANGES) * 1e6,
        over_rest(changing.sent_bytes, rest.sent_bytes),
        over_rest(changing.sent_segments, rest.sent_segments),
        over_rest(changing.on_the_wire(), rest.on_the_wire()),
    );
}

/// Measures calls from the command line, each of which runs as a separate process.
async fn measure_calls(cluster: &Cluster) -> Result<()> {
    let changing = model("called", "1");
    let kinds: [(&str, &[&str]); 3] = [
        ("get", &["get", "client", "client-1"]),
        ("apply", &["apply", &changing]),
        ("status", &["status"]),
    ];
    for (kind, arguments) in kinds {
        let (mut times, before, opened) = (Vec::new(), children_cpu_time()?, opened(cluster)?);
        for _ in 0..CALL_COUNT {
            let begun = Instant::now();
            cluster.ctl(arguments).await?.json()?;
            times.push(begun.elapsed());
        }
        times.sort_unstable();
        let after = children_cpu_time()?;
        let connections = opened_since(cluster, opened)?;
        let peak = peak_memory(&cluster.operators(), arguments)?;
        println!(
            "call {kind} calls={CALL_COUNT} p50={:.1?} max={:.1?} processor_ms={:.2} memory_kb={} \
             connections={:.1}",
            times[times.len() / 2],
            times[times.len() - 1],
            (after.saturating_sub(before) / CALL_COUNT).as_secs_f64() * 1e3,
            peak,
            f64::from(u32::try_from(connections).unwrap_or(u32::MAX)) / f64::from(CALL_COUNT),
        );
    }
    Ok(())
}

/// Returns the CPU time of all exited child processes.
fn children_cpu_time() -> Result<Duration> {
    let usage = getrusage(UsageWho::RUSAGE_CHILDREN).map_err(std::io::Error::from)?;
    let micros = |time: nix::sys::time::TimeVal| {
        let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
        Duration::from_secs(seconds) + Duration::from_micros(time.tv_usec().unsigned_abs())
    };
    Ok(micros(usage.user_time()) + micros(usage.system_time()))
}

/// Runs a call and returns the peak resident memory of its process in KB.
///
/// The kernel's maximum for exited children includes the memory of this process at the time of the
/// fork, so the peak is read repeatedly while the call runs, and the last value is returned.
fn peak_memory(addresses: &[SocketAddr], arguments: &[&str]) -> Result<u64> {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut child = Command::new(zinniastall_tests::binary::path("zinniastall-ctl")?)
        .args(["--address", &list.join(",")])
        .args(arguments)
        .stdout(Stdio::null())
        .spawn()?;
    let mut peak = 0;
    while child.try_wait()?.is_none() {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let held = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        peak = held.unwrap_or(peak);
    }
    Ok(peak)
}

fn opened(cluster: &Cluster) -> Result<u64> {
    let proxies = cluster.controls().map(|node| node.proxy("operators"));
    proxies.map(|proxy| Ok(proxy?.opened())).sum()
}

fn opened_since(cluster: &Cluster, before: u64) -> Result<u64> {
    Ok(opened(cluster)?.saturating_sub(before))
}
