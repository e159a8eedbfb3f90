//! Tests with real processes that lose control replicas while operators write.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use zinniastall_tests::{
    Result,
    cluster::{Cluster, ELECTION_MS, group, model},
    ctl, wait,
};

/// Exit code of a change that is accepted.
const ACCEPTED: Option<i32> = Some(0);
/// Exit code of a change whose expected revision was out of date.
const CONFLICT: Option<i32> = Some(3);
/// Operators that write concurrently.
const OPERATORS: usize = 8;
/// Accepted changes that count as progress before and after a fault.
const MIN_PROGRESS: usize = 24;

/// Acknowledged changes: names of models and the revisions that created them.
type Ledger = Rc<RefCell<Vec<(String, u64)>>>;

/// Operators that create one model after the other.
#[derive(Debug)]
struct Load {
    ledger: Ledger,
    done: Rc<Cell<bool>>,
    operators: Vec<actix_rt::task::JoinHandle<Result<()>>>,
}

impl Load {
    fn start(cluster: &Cluster) -> Self {
        let (ledger, done) = (Ledger::default(), Rc::new(Cell::new(false)));
        let operator = |number: usize| {
            let (ledger, done) = (Rc::clone(&ledger), Rc::clone(&done));
            let mut addresses = cluster.operators();
            addresses.rotate_left(number % 3);
            actix_rt::spawn(async move {
                for turn in 0.. {
                    if done.get() {
                        break;
                    }
                    let name = format!("m{number}-{turn}");
                    let revision = create(&addresses, &name).await?;
                    ledger.borrow_mut().push((name, revision));
                }
                Ok(())
            })
        };
        let operators = (0..OPERATORS).map(operator).collect();
        Self {
            ledger,
            done,
            operators,
        }
    }

    /// Waits until [`MIN_PROGRESS`] more changes were accepted.
    async fn wait_for_progress(&self) -> Result<()> {
        let before = self.ledger.borrow().len();
        wait::until("more accepted changes", async || {
            (self.ledger.borrow().len() >= before + MIN_PROGRESS).then_some(())
        })
        .await
    }

    /// Lets every operator finish its current call, and compares the acknowledged changes with
    /// those that the group holds.
    async fn check(self, cluster: &Cluster) -> Result<()> {
        self.done.set(true);
        for operator in self.operators {
            operator.await.map_err(std::io::Error::other)??;
        }
        let listed = cluster.ctl(&["list", "model"]).await?.json()?;
        let records = listed["records"].as_array().cloned().unwrap_or_default();
        let mut stored: Vec<(String, u64)> = records
            .iter()
            .map(|record| {
                let name = record["object"]["model"]["id"].as_str().unwrap_or_default();
                let revision = record["revision"].as_u64().unwrap_or_default();
                (name.to_owned(), revision)
            })
            .collect();
        let mut acknowledged = self.ledger.take();
        println!("accepted={}", acknowledged.len());
        stored.sort_unstable();
        acknowledged.sort_unstable();
        assert_eq!(
            acknowledged, stored,
            "acknowledged changes, and stored ones"
        );
        Ok(())
    }
}

/// Creates a model; resends the same command until it is answered.
async fn create(addresses: &[SocketAddr], name: &str) -> Result<u64> {
    let command = format!("create-{name}");
    let object = model(name, "1");
    let arguments = [
        "--timeout",
        "2000",
        "--command",
        &command,
        "--expected",
        "0",
        "apply",
        &object,
    ];
    let what = format!("{name} accepted");
    let run = wait::until(&what, async || {
        let run = ctl::run(addresses, &arguments).await.ok()?;
        (run.code == ACCEPTED || run.code == CONFLICT).then_some(run)
    })
    .await?;
    let answer = run.json()?;
    Ok(answer["revision"].as_u64().unwrap_or_default())
}

/// Isolates the leader and waits while operators still write to it.
async fn cut_off_leader(cluster: &Cluster) -> Result<String> {
    let leader = cluster.leader().await?;
    cluster.partition(|node| node.name() == leader);
    actix_rt::time::sleep(Duration::from_millis(ELECTION_MS / 2)).await;
    Ok(leader)
}

/// The leader's machine fails while many operators write: first its network, then its process.
/// Every acknowledged change must exist once, with the revision that was reported, and operators
/// must make progress again within seconds. Three leaders fail in turn.
#[actix_rt::test]
async fn a_leader_killed_under_load_loses_nothing_accepted() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let load = Load::start(&cluster);
    for _ in 0..3 {
        load.wait_for_progress().await?;
        let leader = cut_off_leader(&cluster).await?;
        cluster.control(&leader)?.process().kill()?;
        cluster.leader_except(&[&leader]).await?;
        load.wait_for_progress().await?;
        cluster.heal();
        cluster.control(&leader)?.restart().await?;
        cluster.wait_next_loss_safe(true).await?;
    }
    load.check(&cluster).await
}

/// The leader's disk is lost while many operators write. It comes back empty and is replaced,
/// and as soon as the status calls the next loss safe, another instance is lost for good.
/// Operators write all the while, and every acknowledged change must exist.
#[actix_rt::test]
async fn a_leader_wiped_under_load_loses_nothing_accepted() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let load = Load::start(&cluster);
    load.wait_for_progress().await?;
    let lost = cut_off_leader(&cluster).await?;
    let lost_id = cluster.replica_id(&lost).await?;
    cluster.wipe(&lost).await?;
    cluster.heal();
    cluster.leader_except(&[&lost]).await?;
    load.wait_for_progress().await?;
    cluster.replace(&lost, &lost_id).await?;
    let next = cluster.leader().await?;
    cluster.control(&next)?.process().kill()?;
    cluster.leader_except(&[&next]).await?;
    load.wait_for_progress().await?;
    load.check(&cluster).await
}
