//! Time to the first leader after all replicas of a group stopped at once.

use std::time::{Duration, Instant};

use zinniastall_coord::{
    Replica,
    election::Timing,
    replica::{Restored, Role},
};

const HEARTBEAT: Duration = Duration::from_millis(150);
const ELECTION: Duration = Duration::from_millis(700);

/// Returns how long the only voter of a group takes to lead after its start.
fn time_to_lead(seed: u64, leases: bool) -> Duration {
    let start = Instant::now();
    let builder = Replica::builder(1, Timing::new(HEARTBEAT, ELECTION))
        .restored(Restored::founding([7; 16], 1, "here"))
        .seed(seed);
    let builder = if leases {
        builder
    } else {
        builder.without_leases()
    };
    let mut replica = builder.build(start).expect("the timing is sound");
    let mut now = start;
    while replica.status(now).role != Role::Leader {
        now += Duration::from_millis(5);
        replica.tick(now);
        while let Some(ready) = replica.ready() {
            replica.synced(ready.batch, now);
        }
        assert!(now < start + ELECTION * 10, "nobody leads");
    }
    now - start
}

/// All replicas lose power and start again together. With leases each must wait until a lease that
/// it may have granted right before has run out. Without leases that wait would only be time in
/// which nobody can change or read the configuration and starting instances get none.
#[test]
fn without_leases_a_group_leads_soon_after_its_start() {
    for seed in 1..40 {
        assert!(time_to_lead(seed, true) >= ELECTION, "seed {seed}");
        let early = time_to_lead(seed, false);
        assert!(early < ELECTION, "seed {seed}: {early:?}");
        assert!(
            early >= HEARTBEAT,
            "seed {seed}: links need a moment to open"
        );
    }
}
