//! Digests: ordering, expiry, budgets, and flooding over the overlay.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use proptest::{
    prelude::*,
    test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner},
};
use zinniastall_coord::digest::{Author, Batch, Bucket, Item, Outbox, Renewal, Table, overlay};

const SEED: [u8; 32] = *b"zinniastall digest test seed 001";
const HORIZON: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(500);

type Facts = Table<u32, u32, u32>;

fn item(key: u32, maker: u32, sequence: u64, age_ms: u64, value: u32) -> Item<u32, u32, u32> {
    Item {
        key,
        maker,
        incarnation: 1,
        sequence,
        age_ms,
        value: Some(value),
    }
}

fn value(table: &Facts, key: u32, now: Instant) -> Option<u32> {
    table
        .fresh(now)
        .find(|fresh| *fresh.key == key)
        .map(|fresh| *fresh.value)
}

// A late fact arrives after a newer one. If it were applied, requests would be sent to slots that
// were taken long ago.
#[test]
fn late_item_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let mut table = Facts::new(HORIZON);
    assert!(table.apply(item(1, 7, 2, 0, 20), now));
    assert!(!table.apply(item(1, 7, 1, 0, 10), now));
    assert!(!table.apply(item(1, 7, 2, 0, 20), now));
    assert_eq!(value(&table, 1, now), Some(20));
}

// A zone is cut off and nothing more is heard of it. Its last digest reports free slots, and
// requests sent there would wait for a connection that never comes.
#[test]
fn silent_maker_ages_out() {
    let now = Instant::now();
    let mut table = Facts::new(HORIZON);
    table.apply(item(1, 7, 1, 4_000, 10), now);
    assert_eq!(value(&table, 1, now + Duration::from_secs(6)), Some(10));
    assert_eq!(value(&table, 1, now + Duration::from_secs(7)), None);
    let renewal = Renewal {
        maker: 7,
        incarnation: 1,
        sequence: 1,
        age_ms: 11_000,
    };
    assert!(
        !table.renew(&renewal, now + Duration::from_secs(7)),
        "a late renewal was believed"
    );
    table.sweep(now + Duration::from_secs(30));
    assert_eq!(table.contents(), (vec![], vec![]));
}

// A zone's speaker is lost and another takes over with numbers of its own. Facts of the old speaker
// must neither block the new ones nor return over a slow path.
#[test]
fn another_maker_takes_over() {
    let now = Instant::now();
    let mut table = Facts::new(HORIZON);
    table.apply(item(1, 7, 900, 0, 10), now);
    let later = now + Duration::from_secs(3);
    assert!(table.apply(item(1, 8, 1, 0, 20), later));
    assert!(!table.apply(item(1, 7, 901, 3_500, 11), later));
    assert_eq!(value(&table, 1, later), Some(20));
}

// The budget is spent, so a fact waits while the renewal of its maker could be sent. A receiver
// that got only the renewal would take the outdated fact for confirmed.
#[test]
fn renewal_waits_for_its_makers_items() {
    let now = Instant::now();
    let mut table = Facts::new(HORIZON);
    let mut outbox = Outbox::default();
    for (key, maker) in [(1, 7), (2, 8)] {
        table.apply(item(key, maker, 1, 0, 10), now);
        let renewal = Renewal {
            maker,
            incarnation: 1,
            sequence: 1,
            age_ms: 0,
        };
        table.renew(&renewal, now);
        outbox.renew(maker);
    }
    outbox.push(1);
    let batch: Batch<u32, u32, u32> = outbox.take(&table, 50, |_| 100, now);
    assert!(batch.items.is_empty());
    let makers: Vec<u32> = batch.renewals.iter().map(|renewal| renewal.maker).collect();
    assert_eq!(makers, [8]);
    let batch = outbox.take(&table, 150, |_| 100, now);
    assert_eq!((batch.items.len(), batch.renewals.len()), (1, 1));
    assert!(outbox.is_empty());
}

// A link is slow and a fact changes three times before its turn. If values were queued, outdated
// ones would be sent and the newest would arrive later and later.
#[test]
fn outbox_sends_the_newest_only() {
    let now = Instant::now();
    let mut table = Facts::new(HORIZON);
    let mut outbox = Outbox::default();
    for sequence in 1..=3 {
        table.apply(
            item(1, 7, sequence, 0, 10 * u32::try_from(sequence).unwrap()),
            now,
        );
        outbox.push(1);
    }
    let batch = outbox.take(&table, 1_000, |_| 100, now);
    assert_eq!(batch.items, [item(1, 7, 3, 0, 30)]);
}

// Traffic that can wait must not be sent after urgent traffic has used up the budget.
#[test]
fn bucket_holds_back_after_a_burst() {
    let now = Instant::now();
    let mut bucket = Bucket::new(1_000, now);
    assert_eq!(bucket.available(now), 2_000);
    bucket.charge(2_500);
    assert_eq!(bucket.available(now + Duration::from_millis(400)), 0);
    assert_eq!(bucket.available(now + Duration::from_millis(1_500)), 1_000);
    assert_eq!(bucket.available(now + Duration::from_mins(1)), 2_000);
}

/// Nodes of one zone that forward facts to their successors.
struct Zone {
    tables: Vec<Facts>,
    outboxes: IndexMap<(u32, u32), Outbox<u32, u32>>,
}

impl Zone {
    fn new(count: u32) -> Self {
        let names: Vec<u32> = (0..count).collect();
        let mut outboxes = IndexMap::new();
        for own in &names {
            for to in overlay::successors(own, &names) {
                outboxes.insert((*own, *to), Outbox::default());
            }
        }
        Self {
            tables: names.iter().map(|_| Facts::new(HORIZON)).collect(),
            outboxes,
        }
    }

    fn learn(&mut self, at: u32, item: Item<u32, u32, u32>, now: Instant) {
        let key = item.key;
        if self.tables[at as usize].apply(item, now) {
            self.push(at, |outbox| outbox.push(key));
        }
    }

    fn vouch(&mut self, at: u32, renewal: &Renewal<u32>, now: Instant) {
        if self.tables[at as usize].renew(renewal, now) {
            self.push(at, |outbox| outbox.renew(renewal.maker));
        }
    }

    fn push(&mut self, at: u32, put: impl Fn(&mut Outbox<u32, u32>)) {
        for ((from, _), outbox) in &mut self.outboxes {
            if *from == at {
                put(outbox);
            }
        }
    }

    /// Sends one batch on every link; `lost` links lose their outbox and start over.
    fn pass(&mut self, bytes: u64, lost: impl Fn(u32, u32) -> bool, now: Instant) -> usize {
        let mut in_flight = Vec::new();
        for ((from, to), outbox) in &mut self.outboxes {
            let table = &self.tables[*from as usize];
            if lost(*from, *to) {
                *outbox = Outbox::from_table(table, |_| true, |_| true);
            } else {
                in_flight.push((*to, outbox.take(table, bytes, |_| 100, now)));
            }
        }
        let sent = in_flight.iter().map(|(_, batch)| batch.items.len()).sum();
        for (to, batch) in in_flight {
            for item in batch.items {
                self.learn(to, item, now);
            }
            for renewal in batch.renewals {
                self.vouch(to, &renewal, now);
            }
        }
        sent
    }
}

// Facts reach every instance of a zone in a few steps, and each instance sends a fact to at most
// two others. If each sent it to all, the cost of a node would grow with its zone.
#[test]
fn facts_reach_a_whole_zone_at_two_messages_a_node() {
    for count in [1_u32, 2, 3, 9, 25, 60] {
        let start = Instant::now();
        let mut zone = Zone::new(count);
        zone.learn(0, item(1, 0, 1, 0, 10), start);
        let mut sent = 0;
        let mut steps = 0;
        while !zone
            .tables
            .iter()
            .all(|table| value(table, 1, start).is_some())
        {
            sent += zone.pass(1_000, |_, _| false, start);
            steps += 1;
            assert!(
                steps <= 2 * count.isqrt() + 2,
                "{count} nodes: {steps} steps"
            );
        }
        println!("{count} nodes: {steps} steps, {sent} messages");
        assert!(sent <= 2 * count as usize);
    }
}

#[test]
fn speakers_follow_from_the_members() {
    let members = ["a", "b", "c"];
    assert_eq!(overlay::speaker_rank(&"a", &members), Some(0));
    assert_eq!(overlay::speaker_rank(&"b", &members), Some(1));
    assert_eq!(overlay::speaker_rank(&"c", &members), None);
    assert_eq!(overlay::counterpart(1, &["x"]), Some(&"x"));
    assert_eq!(overlay::counterpart::<&str>(0, &[]), None);
}

// Links break, budgets are short, and values change all the time. No node may take an outdated
// value for one that its maker still confirms, and in the end all hold the newest.
#[test]
fn renewals_never_vouch_for_what_was_replaced() {
    let config = RunnerConfig {
        cases: 60,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    println!("seed {:?}", std::str::from_utf8(&SEED));
    let mut runner = TestRunner::new_with_rng(config, random);
    let step = (0..6_u32, 0..50_u32, 0..5_u64, 0..9_u32);
    let outcome = runner.run(&prop::collection::vec(step, 1..60), |steps| {
        let start = Instant::now();
        let mut zone = Zone::new(9);
        let mut author = Author::new(0, 1);
        // When a value of a key stopped being the newest.
        let mut replaced: IndexMap<(u32, u32), Instant> = IndexMap::new();
        let mut now = start;
        let run = |zone: &mut Zone, author: &mut Author<u32, u32, u32>, bytes, lost, now| {
            zone.vouch(0, &author.renewal(), now);
            zone.pass(bytes, |from, to| (from + to) % 9 == lost, now);
        };
        for (key, new, hundreds, lost) in steps {
            now += STEP;
            let old = author.value(&key).copied();
            if let Some(made) = author.make(key, Some(new)) {
                zone.learn(0, made, now);
                replaced.shift_remove(&(key, new));
                replaced.extend(old.map(|old| ((key, old), now)));
            }
            run(&mut zone, &mut author, hundreds * 100, lost, now);
            for fresh in zone.tables.iter().flat_map(|table| table.fresh(now)) {
                let since = replaced.get(&(*fresh.key, *fresh.value));
                prop_assert!(since.is_none_or(|since| fresh.made <= *since + STEP));
            }
        }
        for _ in 0..40 {
            now += STEP;
            run(&mut zone, &mut author, 1_000, 99, now);
        }
        let keys: Vec<u32> = author.keys().copied().collect();
        for key in keys {
            for table in &zone.tables {
                prop_assert_eq!(value(table, key, now), author.value(&key).copied());
            }
        }
        Ok(())
    });
    outcome.unwrap();
}

macro_rules! passing {
    ($($name:ident: about $about:expr, from $from:expr, to $to:expr => $passes:expr;)*) => {$(
        #[test]
        fn $name() {
            let site = |(region, group)| overlay::Site { region, group };
            let own = site(("athens", "a"));
            let passes = overlay::forwards(own, site($about), site($from), site($to));
            assert_eq!(passes, $passes);
        }
    )*};
}

// From the view of an instance of athens/a. If every instance forwarded to every other one, each
// fact would cross each link between regions, and the cost of a speaker would grow with the square
// of the number of regions.
passing! {
    own_facts_go_to_the_region: about ("athens", "a"), from ("athens", "a"), to ("athens", "b") => true;
    own_facts_go_to_other_regions: about ("athens", "a"), from ("athens", "a"), to ("patras", "a") => true;
    facts_of_the_region_go_to_other_regions: about ("athens", "b"), from ("athens", "b"), to ("patras", "a") => true;
    facts_of_the_region_stay_with_their_zone:
        about ("athens", "b"), from ("athens", "b"), to ("athens", "c") => false;
    all_facts_go_to_the_own_zone: about ("patras", "a"), from ("athens", "b"), to ("athens", "a") => true;
    foreign_facts_go_to_the_region_where_they_come_in:
        about ("patras", "a"), from ("patras", "a"), to ("athens", "b") => true;
    foreign_facts_go_no_further_in_the_region:
        about ("patras", "a"), from ("athens", "b"), to ("athens", "c") => false;
    foreign_facts_go_to_no_third_region:
        about ("patras", "a"), from ("patras", "a"), to ("nantes", "a") => false;
}

macro_rules! admitting {
    ($($name:ident: $scope:ident of $about:expr, to $to:expr => $admits:expr;)*) => {$(
        #[test]
        fn $name() {
            let site = |(region, group)| overlay::Site { region, group };
            let own = site(("athens", "a"));
            let admits = overlay::Scope::$scope.admits(own, site($about), site($to));
            assert_eq!(admits, $admits);
        }
    )*};
}

// From the view of an instance of athens/a. The facts of single groups would cost every region
// zones times models. A region's summary is of no use within that region, which knows its groups
// one by one.
admitting! {
    summary_goes_to_other_regions: OtherRegions of ("athens", "a"), to ("patras", "a") => true;
    summary_goes_to_the_second_speaker: OtherRegions of ("athens", "a"), to ("athens", "a") => true;
    summary_stays_out_of_its_region: OtherRegions of ("athens", "a"), to ("athens", "b") => false;
    foreign_summary_reaches_the_groups: OtherRegions of ("patras", "a"), to ("athens", "b") => true;
    regional_fact_goes_to_its_region: Region of ("athens", "b"), to ("athens", "a") => true;
    regional_fact_stays_in_its_region: Region of ("athens", "a"), to ("patras", "a") => false;
    foreign_regional_fact_is_not_passed_on: Region of ("patras", "a"), to ("athens", "b") => false;
    global_fact_goes_everywhere: Everywhere of ("athens", "a"), to ("patras", "a") => true;
}
