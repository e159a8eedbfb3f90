//! A single replica, message by message.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::election::Timing;
use zinniastall_coord::log::{Entry, Payload, Position};
use zinniastall_coord::replica::{
    Append, Body, Cluster, HardState, Limits, Message, Outcome, Refusal, Replica, Restored, Role,
};
use zinniastall_coord::voters::{Change, Error, Voters};

const CLUSTER: Cluster = [7; 16];
const LIMITS: Limits = Limits {
    message: 1000,
    window: 1000,
    command: 100,
    uncommitted: 250,
    retain: 0,
    lag: 0,
};

/// A replica with id 1 that syncs every batch at once, and its current heartbeat round.
struct Harness {
    replica: Replica,
    now: Instant,
    commands: Vec<Vec<u8>>,
    sent: Vec<(u64, Message)>,
    round: u64,
}

impl Harness {
    fn new(restored: Restored) -> Self {
        let now = Instant::now();
        let timing = Timing::new(Duration::from_millis(50), Duration::from_millis(500));
        let builder = Replica::builder(1, timing)
            .limits(LIMITS)
            .restored(restored);
        let replica = builder.build(now).expect("the timing is sound");
        Self {
            replica,
            now,
            commands: Vec::new(),
            sent: Vec::new(),
            round: 0,
        }
    }

    /// Restores a member of a group of three with one entry of an earlier term, and lets replica 2
    /// elect it.
    fn elected() -> Self {
        let ids = [1, 2, 3];
        let voters: IndexMap<u64, String> = ids.map(|id| (id, id.to_string())).into();
        let set = Voters {
            voters,
            learners: IndexMap::new(),
        };
        let entries = vec![
            Entry {
                term: 1,
                index: 1,
                payload: Payload::Voters(set),
            },
            Entry {
                term: 2,
                index: 2,
                payload: Payload::Command(vec![2]),
            },
        ];
        let hard = HardState {
            term: 2,
            vote: None,
        };
        let mut harness = Self::new(Restored {
            cluster: Some(CLUSTER),
            hard,
            snapshot: None,
            entries,
        });
        harness.wait(Duration::from_secs(1));
        harness.hear(
            2,
            2,
            Body::PreVoteAnswer {
                proposed: 3,
                granted: true,
            },
        );
        harness.hear(2, 3, Body::VoteAnswer { granted: true });
        assert_eq!(harness.replica.status(harness.now).role, Role::Leader);
        harness
    }

    fn wait(&mut self, span: Duration) {
        self.now += span;
        self.replica.tick(self.now);
        self.drain();
    }

    fn hear(&mut self, from: u64, term: u64, body: Body) {
        let message = Message {
            cluster: CLUSTER,
            to: 1,
            term,
            body,
        };
        self.replica.receive(from, message, self.now);
        self.drain();
    }

    /// Lets replica 2 acknowledge the log up to an index.
    fn acknowledge(&mut self, matched: u64) {
        let outcome = Outcome::Accepted { matched };
        self.hear(
            2,
            3,
            Body::AppendAnswer {
                round: self.round,
                outcome,
            },
        );
    }

    fn drain(&mut self) -> usize {
        let mut batches = 0;
        while let Some(ready) = self.replica.ready() {
            for (_, message) in &ready.messages {
                if let Body::Append(append) = &message.body {
                    self.round = self.round.max(append.round);
                }
            }
            self.sent.extend(ready.messages);
            self.commands
                .extend(ready.committed.into_iter().filter_map(command));
            self.replica.synced(ready.batch, self.now);
            batches += 1;
        }
        batches
    }

    fn commit(&self) -> u64 {
        self.replica.status(self.now).commit
    }

    fn change(&mut self, change: &Change) -> Result<(u64, u64), Refusal> {
        let result = self.replica.propose_voters(change, self.now);
        self.drain();
        result
    }
}

fn command(entry: Entry) -> Option<Vec<u8>> {
    match entry.payload {
        Payload::Command(command) => Some(command),
        Payload::Noop | Payload::Voters(_) => None,
    }
}

/// Defines a test on a harness.
macro_rules! case {
    ($name:ident, $harness:expr, |$held:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $held = $harness;
            $body
        }
    };
}

fn founder() -> Harness {
    Harness::new(Restored::founding(CLUSTER, 1, "1"))
}

fn fresh() -> Harness {
    Harness::new(Restored::default())
}

case!(
    a_founder_alone_commits_and_may_answer,
    founder(),
    |harness| {
        harness.wait(Duration::from_secs(1));
        harness
            .replica
            .propose(b"one".to_vec(), harness.now)
            .unwrap();
        harness.drain();
        assert_eq!(harness.commands, [b"one"]);
        assert!(harness.replica.lease(harness.now).is_some());
    }
);

// A disk was lost and the instance came back with another id. If it campaigned, or processed
// messages for its previous id, it would act for a replica whose votes and entries it has
// forgotten.
case!(a_fresh_replica_does_nothing_by_itself, fresh(), |harness| {
    harness.wait(Duration::from_mins(1));
    let body = Body::Append(Append {
        round: 1,
        previous: Position::default(),
        entries: Vec::new(),
        commit: 0,
    });
    let message = Message {
        cluster: CLUSTER,
        to: 9,
        term: 1,
        body,
    };
    harness.replica.receive(2, message, harness.now);
    harness.hear(
        2,
        5,
        Body::Vote {
            last: Position::default(),
            transfer: true,
        },
    );
    assert_eq!(harness.drain(), 0);
    assert_eq!(harness.replica.status(harness.now).cluster, None);
});

// A majority holds an entry of an earlier term, but a replica with a later entry could still be
// elected and replace it. An operator who was told "accepted" now would see the change vanish.
case!(
    an_earlier_terms_entry_commits_with_one_of_this_term,
    Harness::elected(),
    |harness| {
        harness.acknowledge(2);
        assert_eq!(harness.commit(), 0);
        assert!(harness.replica.lease(harness.now).is_none());
        harness.acknowledge(3);
        assert_eq!(harness.commit(), 3);
        assert!(harness.replica.lease(harness.now).is_some());
    }
);

// Two changes of voters at once, or one before the leader knows what is committed, could give two
// leaders majorities that share no replica.
case!(voters_change_one_at_a_time, Harness::elected(), |harness| {
    let admit = Change::Admit {
        id: 4,
        address: "4".into(),
    };
    assert_eq!(harness.change(&admit), Err(Refusal::Unready));
    harness.acknowledge(3);
    assert_eq!(harness.change(&admit), Ok((3, 4)));
    let remove = Change::Remove { id: 4 };
    assert_eq!(harness.change(&remove), Err(Refusal::Pending { index: 4 }));
    harness.acknowledge(4);
    assert_eq!(
        harness.change(&admit),
        Err(Refusal::Voters(Error::Member(4)))
    );
    assert_eq!(harness.change(&remove), Ok((3, 5)));
});

// An operator promotes a replica that hasn't caught up, or removes one without which no majority
// answers. Either would leave the group unable to survive the next loss, or to commit any command
// at all.
case!(
    changes_that_would_stop_the_group_are_refused,
    Harness::elected(),
    |harness| {
        harness.acknowledge(3);
        harness
            .change(&Change::Admit {
                id: 4,
                address: "4".into(),
            })
            .unwrap();
        harness.acknowledge(4);
        let behind = Refusal::Behind {
            matched: 0,
            commit: 4,
        };
        assert_eq!(harness.change(&Change::Promote { id: 4 }), Err(behind));
        let unreachable = Refusal::Unreachable {
            reachable: 1,
            needed: 2,
        };
        assert_eq!(harness.change(&Change::Remove { id: 2 }), Err(unreachable));
    }
);

// A learner caught up and then fell silent. As a voter it would only raise the majority.
case!(
    a_silent_learner_is_not_promoted,
    Harness::elected(),
    |harness| {
        harness.acknowledge(3);
        harness
            .change(&Change::Admit {
                id: 4,
                address: "4".into(),
            })
            .unwrap();
        harness.acknowledge(4);
        let outcome = Outcome::Accepted { matched: 4 };
        harness.hear(4, 3, Body::AppendAnswer { round: 1, outcome });
        for _ in 0..2 {
            harness.wait(Duration::from_millis(300));
            harness.acknowledge(4);
            harness.hear(3, 3, Body::AppendAnswer { round: 1, outcome });
        }
        assert_eq!(
            harness.change(&Change::Promote { id: 4 }),
            Err(Refusal::Silent { id: 4 })
        );
        harness.hear(4, 3, Body::AppendAnswer { round: 1, outcome });
        assert_eq!(harness.change(&Change::Promote { id: 4 }), Ok((3, 5)));
    }
);

// A replica was admitted and promoted while this one was behind, and then the others were lost. Only
// the new one holds everything, and it needs the vote of this one, which has never heard of it.
case!(
    a_replica_that_is_behind_votes_for_one_it_does_not_know,
    Harness::elected(),
    |harness| {
        harness.acknowledge(3);
        harness.wait(Duration::from_secs(2));
        let last = Position { index: 9, term: 4 };
        harness.hear(9, 4, Body::PreVote { last });
        let granted = Body::PreVoteAnswer {
            proposed: 5,
            granted: true,
        };
        let answered = |(to, message): &(u64, Message)| *to == 9 && message.body == granted;
        assert!(
            harness.sent.iter().any(answered),
            "{:?}",
            harness.sent.last()
        );
    }
);

// Thousands of reads arrive while a heartbeat is in flight over a slow link. The answer to it must
// still count, or a busy leader that everybody follows would lose its quorum.
case!(
    thousands_of_reads_do_not_cost_the_quorum,
    Harness::elected(),
    |harness| {
        harness.acknowledge(3);
        harness.wait(Duration::from_millis(300));
        let round = harness.round;
        for _ in 0..3000 {
            harness.replica.barrier(harness.now).unwrap();
        }
        let outcome = Outcome::Accepted { matched: 3 };
        harness.hear(2, 3, Body::AppendAnswer { round, outcome });
        harness.wait(Duration::from_millis(300));
        assert_eq!(harness.replica.status(harness.now).role, Role::Leader);
    }
);

// Both others answered a moment ago, and one of them is lost now. Whoever asks whether another one
// may be taken down must be told no, although the lost one was heard within the election timeout.
case!(
    failure_tolerance_since_counts_later_answers_only,
    Harness::elected(),
    |harness| {
        let outcome = Outcome::Accepted { matched: 3 };
        let round = harness.round;
        harness.hear(3, 3, Body::AppendAnswer { round, outcome });
        harness.acknowledge(3);
        assert_eq!(harness.replica.status(harness.now).failure_tolerance(), 1);
        let barrier = harness.replica.barrier(harness.now).unwrap();
        harness.drain();
        harness.acknowledge(3);
        assert_eq!(harness.replica.failure_tolerance_since(&barrier), Ok(0));
        let (round, outcome) = (harness.round, Outcome::Accepted { matched: 3 });
        harness.hear(3, 3, Body::AppendAnswer { round, outcome });
        assert_eq!(harness.replica.failure_tolerance_since(&barrier), Ok(1));
    }
);

case!(proposals_are_bounded, Harness::elected(), |harness| {
    let large = harness.replica.propose(vec![0; 101], harness.now);
    assert_eq!(
        large,
        Err(Refusal::TooLarge {
            bytes: 101,
            limit: 100
        })
    );
    while harness.replica.propose(vec![0; 100], harness.now).is_ok() {}
    let more = harness.replica.propose(vec![0; 100], harness.now);
    assert!(
        matches!(more, Err(Refusal::Busy { limit: 250, .. })),
        "{more:?}"
    );
    harness.drain();
    harness.acknowledge(harness.replica.status(harness.now).last);
    assert!(harness.replica.propose(vec![0; 100], harness.now).is_ok());
});
