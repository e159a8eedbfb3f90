//! Control replicas lost while operators write, with real processes.

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
/// Exit code of a conflict.
const CONFLICT: Option<i32> = Some(3);
/// Operators who write at once.
const OPERATORS: usize = 8;
/// Accepted changes that must have come before and after a fault.
const CHANGES: usize = 24;

/// What operators were told: names of models and the revisions that made them.
type Ledger = Rc<RefCell<Vec<(String, u64)>>>;

/// Operators who create one model after the other.
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

    /// Waits until some more changes were accepted.
    async fn goes_on(&self) -> Result<()> {
        let before = self.ledger.borrow().len();
        wait::until("more accepted changes", async || {
            (self.ledger.borrow().len() >= before + CHANGES).then_some(())
        })
        .await
    }

    /// Lets every operator finish what is under way, and compares what they were told with what
    /// the group holds.
    async fn check(self, cluster: &Cluster) -> Result<()> {
        self.done.set(true);
        for operator in self.operators {
            operator.await.map_err(std::io::Error::other)??;
        }
        let listed = cluster.ctl(&["list", "model"]).await?.json()?;
        let records = listed["records"].as_array().cloned().unwrap_or_default();
        let mut held: Vec<(String, u64)> = records
            .iter()
            .map(|record| {
                let name = record["object"]["model"]["id"].as_str().unwrap_or_default();
                let revision = record["revision"].as_u64().unwrap_or_default();
                (name.to_owned(), revision)
            })
            .collect();
        let mut told = self.ledger.take();
        println!("accepted={}", told.len());
        held.sort_unstable();
        told.sort_unstable();
        assert_eq!(told, held, "what operators were told, and what is there");
        Ok(())
    }
}

/// Creates a model; sends the same command again for as long as nobody answers.
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

/// Cuts the leader off and leaves it so while operators still write to it.
async fn cut_off_leader(cluster: &Cluster) -> Result<String> {
    let leader = cluster.leader().await?;
    cluster.partition(|node| node.name() == leader);
    actix_rt::time::sleep(Duration::from_millis(ELECTION_MS / 2)).await;
    Ok(leader)
}

/// The leader's machine dies while many operators write: first its network, then its process.
/// Every change that an operator was told to be accepted must be there, once and with the revision
/// that was told, and operators must get on within seconds. Three leaders die like that in turn.
#[actix_rt::test]
async fn a_leader_killed_under_load_loses_nothing_accepted() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let load = Load::start(&cluster);
    for _ in 0..3 {
        load.goes_on().await?;
        let leader = cut_off_leader(&cluster).await?;
        cluster.control(&leader)?.process().kill()?;
        cluster.leader_except(&[&leader]).await?;
        load.goes_on().await?;
        cluster.heal();
        cluster.control(&leader)?.restart().await?;
        cluster.wait_next_loss_safe(true).await?;
    }
    load.check(&cluster).await
}

/// The leader's disk is lost while many operators write. It comes back empty and is replaced, and
/// as soon as the status calls the next loss safe, another instance is lost for good. Operators go
/// on all the while; every change that they were told to be accepted must be there.
#[actix_rt::test]
async fn a_leader_wiped_under_load_loses_nothing_accepted() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let load = Load::start(&cluster);
    load.goes_on().await?;
    let lost = cut_off_leader(&cluster).await?;
    let forgotten = cluster.replica_id(&lost).await?;
    cluster.wipe(&lost).await?;
    cluster.heal();
    cluster.leader_except(&[&lost]).await?;
    load.goes_on().await?;
    cluster.replace(&lost, &forgotten).await?;
    let next = cluster.leader().await?;
    cluster.control(&next)?.process().kill()?;
    cluster.leader_except(&[&next]).await?;
    load.goes_on().await?;
    load.check(&cluster).await
}
