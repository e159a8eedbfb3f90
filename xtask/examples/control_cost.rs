//! Measures the control group with real processes: commit rate, time until a change is in force,
//! time without a leader, and the cost of a change for each node.
//!
//! `cargo build --release --bins && cargo run --release -p xtask --example control_cost`

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use serde_json::json;
use tonic::transport::Channel;
use zinniastall_api::operator::{
    ApplyRequest, Command, Model, Object, Outcome, object, operator_client::OperatorClient,
};
use zinniastall_tests::{
    Result,
    cluster::Cluster,
    proxy::rule::{Direction, Rule},
    usage, wait,
};

/// One-way latency between regions on the emulated slow link.
const REGION_DELAY: Duration = Duration::from_millis(40);
/// Duration of each load.
const RUN_TIME: Duration = Duration::from_secs(5);
/// Number of changes that are timed until they are in force.
const TIMED_CHANGES: usize = 100;
/// Number of leader losses that are timed.
const LEADER_LOSSES: usize = 5;
/// Number of changes over which CPU time is measured.
const CPU_CHANGES: usize = 2_000;

type Client = OperatorClient<Channel>;

#[actix_rt::main]
async fn main() -> Result<()> {
    zinniastall_tests::binary::use_folder("target/release".into());
    for slow in [false, true] {
        commits(slow).await?;
    }
    leader_losses().await?;
    follower_cost().await?;
    time_to_force(false).await?;
    time_to_force(true).await
}

async fn cluster(slow: bool, entries: usize) -> Result<Cluster> {
    let timing = if slow {
        json!({"heartbeat_ms": 100, "election_ms": 1_000})
    } else {
        json!({"heartbeat_ms": 50, "election_ms": 500})
    };
    let cluster = Cluster::builder()
        .replicas(3)
        .control(json!({"timing": timing}))
        .zone("patras", "a", entries)
        .zone("athens", "a", entries)
        .zone("thessaloniki", "a", entries)
        .start()
        .await?;
    let delayed = Rule::default().with(Direction::Both, |effect| effect.delay = REGION_DELAY);
    cluster.set_link_rules(|from, to| (slow && from.region() != to.region()).then_some(delayed));
    Ok(cluster)
}

/// Connects to the leader directly, without its proxy.
async fn client(cluster: &mut Cluster) -> Result<Client> {
    let leader = cluster.leader().await?;
    let address = cluster
        .control(&leader)?
        .process()
        .address("operators")
        .await?;
    let channel = Channel::from_shared(format!("http://{address}"))
        .map_err(std::io::Error::other)?
        .connect()
        .await
        .map_err(std::io::Error::other)?;
    Ok(OperatorClient::new(channel))
}

fn request(name: String, version: usize, expected: u64, wait_ms: u64) -> ApplyRequest {
    ApplyRequest {
        command: Some(Command {
            operator: "bench".to_owned(),
            id: format!("{:032x}", rand::random::<u128>()),
            expected: Some(expected),
        }),
        object: Some(Object {
            object: Some(object::Object::Model(Model {
                id: name,
                version: version.to_string(),
                weights: "store/map-labels/weights".to_owned(),
            })),
        }),
        wait_ms,
    }
}

async fn commits(slow: bool) -> Result<()> {
    for operators in [1, 16, 64] {
        let mut cluster = cluster(slow, 0).await?;
        let times = Rc::new(Cell::new(Vec::new()));
        let client = client(&mut cluster).await?;
        let start = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..operators {
            let (mut client, times) = (client.clone(), Rc::clone(&times));
            tasks.push(actix_rt::spawn(async move {
                let mut expected = 0;
                for version in 0.. {
                    let begun = Instant::now();
                    let answer = client.apply(request(format!("m{number}"), version, expected, 0));
                    let Ok(answer) = answer.await else { return };
                    expected = answer.into_inner().current;
                    let mut taken = times.take();
                    taken.push(begun.elapsed());
                    times.set(taken);
                    if start.elapsed() > RUN_TIME {
                        return;
                    }
                }
            }));
        }
        for task in tasks {
            task.await.map_err(std::io::Error::other)?;
        }
        let seconds = start.elapsed().as_secs_f64();
        let taken = times.take();
        #[expect(clippy::cast_precision_loss, reason = "a count of some thousands")]
        let rate = taken.len() as f64 / seconds;
        println!(
            "commits slow={slow} operators={operators} a_second={rate:.0} {}",
            quantiles(taken)
        );
    }
    Ok(())
}

/// Measures the time from sending a change until every instance has confirmed it.
async fn time_to_force(slow: bool) -> Result<()> {
    let mut cluster = cluster(slow, 3).await?;
    wait_current(&cluster, 9).await?;
    let mut client = client(&mut cluster).await?;
    let (mut whole, mut commit) = (Vec::new(), Vec::new());
    for number in 0..TIMED_CHANGES {
        let begun = Instant::now();
        let answer = client.apply(request(format!("c{number}"), 0, 0, 0)).await;
        answer.map_err(std::io::Error::other)?;
        commit.push(begun.elapsed());
        let begun = Instant::now();
        let answer = client
            .apply(request(format!("f{number}"), 0, 0, 10_000))
            .await;
        let answer = answer.map_err(std::io::Error::other)?.into_inner();
        assert_eq!(answer.outcome(), Outcome::Accepted);
        assert!(answer.waiting.is_empty(), "{answer:?}");
        whole.push(begun.elapsed());
    }
    println!("commit alone slow={slow} {}", quantiles(commit));
    println!("in force at 9 of 9 slow={slow} {}", quantiles(whole));
    Ok(())
}

async fn leader_losses() -> Result<()> {
    let mut cluster = cluster(false, 0).await?;
    let mut times = Vec::new();
    for _ in 0..LEADER_LOSSES {
        let leader = cluster.leader().await?;
        let mut left = Vec::new();
        for name in ["control-1", "control-2", "control-3"] {
            if name != leader {
                let address = cluster
                    .control(name)?
                    .process()
                    .address("operators")
                    .await?;
                left.push(address);
            }
        }
        cluster.control(&leader)?.process().kill()?;
        let begun = Instant::now();
        wait::until("a commit", async || accepts(&left).await.then_some(())).await?;
        times.push(begun.elapsed());
        cluster.control(&leader)?.restart().await?;
        wait::until("the next loss safe", async || {
            let status = cluster.ctl(&["status"]).await.ok()?.json().ok()?;
            (status["next_loss_safe"] == true).then_some(())
        })
        .await?;
    }
    println!(
        "kill to next commit election_ms=500 runs={LEADER_LOSSES} {}",
        quantiles(times)
    );
    Ok(())
}

async fn accepts(addresses: &[std::net::SocketAddr]) -> bool {
    for address in addresses {
        let Ok(endpoint) = Channel::from_shared(format!("http://{address}")) else {
            continue;
        };
        let Ok(channel) = endpoint.connect().await else {
            continue;
        };
        let name = format!("{:x}", rand::random::<u128>());
        let answer = OperatorClient::new(channel)
            .apply(request(name, 0, 0, 0))
            .await;
        if answer.is_ok_and(|answer| answer.into_inner().outcome() == Outcome::Accepted) {
            return true;
        }
    }
    false
}

/// Measures the CPU time of all nodes over many changes, less that of an equally long idle time.
async fn follower_cost() -> Result<()> {
    let mut cluster = cluster(false, 3).await?;
    wait_current(&cluster, 9).await?;
    let mut client = client(&mut cluster).await?;
    let leader = cluster.leader().await?;
    let names: Vec<String> = cluster.nodes().map(|node| node.name().to_owned()).collect();
    let idle = cpu_times(&cluster);
    actix_rt::time::sleep(RUN_TIME).await;
    let before = cpu_times(&cluster);
    let begun = Instant::now();
    let mut expected = 0;
    for version in 0..CPU_CHANGES {
        let answer = client
            .apply(request("m".to_owned(), version, expected, 0))
            .await;
        expected = answer.map_err(std::io::Error::other)?.into_inner().current;
    }
    wait_current(&cluster, 9).await?;
    let took = begun.elapsed();
    let after = cpu_times(&cluster);
    println!(
        "cost leader={leader} changes={CPU_CHANGES} seconds={:.2}",
        took.as_secs_f64()
    );
    for (number, name) in names.iter().enumerate() {
        let at_rest = before[number].saturating_sub(idle[number]);
        let background = at_rest.mul_f64(took.as_secs_f64() / RUN_TIME.as_secs_f64());
        let busy = after[number]
            .saturating_sub(before[number])
            .saturating_sub(background);
        let each = busy.as_secs_f64() * 1e6 / f64::from(u32::try_from(CPU_CHANGES).unwrap_or(1));
        let rest = at_rest.as_secs_f64() / RUN_TIME.as_secs_f64() * 100.0;
        println!("cost {name} a_change={each:.0}us at_rest={rest:.2}% of a core");
    }
    Ok(())
}

fn cpu_times(cluster: &Cluster) -> Vec<Duration> {
    let of = |node: &zinniastall_tests::node::Node| usage::cpu_time(node.running().id());
    cluster
        .nodes()
        .map(|node| of(node).unwrap_or_default())
        .collect()
}

async fn wait_current(cluster: &Cluster, wanted: usize) -> Result<()> {
    wait::until("all members up to date", async || {
        let status = cluster.ctl(&["status"]).await.ok()?.json().ok()?;
        let instances = status["instances"].as_array()?;
        let current = |instance: &&serde_json::Value| instance["revision"] == status["revision"];
        (instances.iter().filter(current).count() == wanted).then_some(())
    })
    .await
}

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |share: usize| {
        let index = (times.len() * share / 100).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or_default().as_secs_f64() * 1e3
    };
    let (count, p50, p99) = (times.len(), at(50), at(99));
    format!(
        "count={count} p50={p50:.2}ms p99={p99:.2}ms max={:.2}ms",
        at(100)
    )
}
