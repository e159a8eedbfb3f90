//! Runs three replicas in one thread and passes their messages by hand.
//!
//! Shows the whole interface that an embedder needs: found a group, admit and promote two more
//! replicas, propose a command, read behind a barrier and under a lease, and transfer leadership.
//! Disks are left out: a real embedder stores and syncs each batch before it calls `synced`, as
//! `zinniastall-store` does.

use std::error::Error;
use std::time::{Duration, Instant};

use zinniastall_coord::election::Timing;
use zinniastall_coord::log::Payload;
use zinniastall_coord::replica::{Message, Replica, Restored, Role};
use zinniastall_coord::voters::Change;
use zinniastall_coord::{Cluster, Id};

const CLUSTER: Cluster = *b"embedded example";
const STEP: Duration = Duration::from_millis(10);

/// A replica and its state: the commands applied so far.
struct Member {
    replica: Replica,
    commands: Vec<String>,
}

/// All replicas, the messages between them, and a simulated clock.
struct Group {
    now: Instant,
    members: Vec<Member>,
    messages: Vec<(Id, Id, Message)>,
}

impl Group {
    /// Builds three replicas; the first founds a cluster and the others wait to be admitted.
    fn new() -> Result<Self, Box<dyn Error>> {
        let now = Instant::now();
        let timing = Timing::new(Duration::from_millis(50), Duration::from_millis(500));
        let mut members = Vec::new();
        for id in 1..=3 {
            let mut builder = Replica::builder(id, timing);
            if id == 1 {
                builder = builder.restored(Restored::founding(CLUSTER, id, "one"));
            }
            members.push(Member {
                replica: builder.build(now)?,
                commands: Vec::new(),
            });
        }
        Ok(Self {
            now,
            members,
            messages: Vec::new(),
        })
    }

    /// Advances the clock and delivers messages until a condition holds.
    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            self.now += STEP;
            for member in &mut self.members {
                member.replica.tick(self.now);
            }
            self.drain();
            for (from, to, message) in std::mem::take(&mut self.messages) {
                let target = self
                    .members
                    .iter_mut()
                    .find(|member| member.replica.id() == to);
                if let Some(member) = target {
                    member.replica.receive(from, message, self.now);
                }
            }
            self.drain();
        }
    }

    /// Processes the batches of all replicas: sends, applies, and reports them as synced.
    fn drain(&mut self) {
        for member in &mut self.members {
            while let Some(ready) = member.replica.ready() {
                let from = member.replica.id();
                let messages = ready.messages.into_iter();
                self.messages
                    .extend(messages.map(|(to, message)| (from, to, message)));
                for entry in ready.committed {
                    if let Payload::Command(command) = entry.payload {
                        member
                            .commands
                            .push(String::from_utf8_lossy(&command).into_owned());
                    }
                }
                member.replica.synced(ready.batch, self.now);
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |member: &Member| member.replica.status(self.now).role == Role::Leader;
        self.members.iter().position(leads)
    }

    /// Changes the voters and waits until the change is committed.
    fn change(&mut self, leader: usize, change: &Change) -> Result<(), Box<dyn Error>> {
        let (_, index) = self.members[leader]
            .replica
            .propose_voters(change, self.now)?;
        self.run_until(|group| group.members[leader].replica.status(group.now).commit >= index);
        Ok(())
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut group = Group::new()?;
    group.run_until(|group| group.members[0].replica.lease(group.now).is_some());
    println!("replica 1 leads alone");

    for id in [2, 3] {
        group.change(
            0,
            &Change::Admit {
                id,
                address: format!("replica {id}"),
            },
        )?;
        group.run_until(|group| {
            let status = group.members[0].replica.status(group.now);
            status
                .peers
                .get(&id)
                .is_some_and(|peer| peer.matched >= status.commit)
        });
        group.change(0, &Change::Promote { id })?;
    }
    group.run_until(|group| {
        group.members[0]
            .replica
            .status(group.now)
            .failure_tolerance()
            == 1
    });
    println!("three vote, and the loss of one is safe");

    let now = group.now;
    let (term, index) = group.members[0]
        .replica
        .propose(b"open the gate".to_vec(), now)?;
    group.run_until(|group| {
        group
            .members
            .iter()
            .all(|member| member.commands.len() == 1)
    });
    println!(
        "'{}' stands at {index} of term {term} everywhere",
        group.members[2].commands[0]
    );

    let barrier = group.members[0].replica.barrier(group.now)?;
    group.run_until(|group| group.members[0].replica.passed(&barrier) == Ok(true));
    println!("a read behind a barrier is current");

    let successor = group.members[0].replica.transfer(group.now)?;
    group.run_until(|group| group.leader().is_some_and(|leader| leader != 0));
    println!("replica {successor} leads now");
    Ok(())
}
