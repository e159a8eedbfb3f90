//! Property tests of the origins of streams.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use zinniastall_coord::{
    confirmation::{LEASE, SETTLE_TIME},
    origin::{Found, Key, Origin, Record, Records, Requirement, Stage, Versions, asked, copies},
};

const SERVICE: &str = "maps";
const NAMES: [&str; 2] = ["v1", "v2"];
const INSTANCES: usize = 2;
/// How much faster the clock of a replica may run than that of an instance.
const CLOCK_RATIO: f64 = 1.1;

/// Step of a schedule, after a pause in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A target states a version.
    State(usize),
    /// An instance receives the set of versions that the group has reached.
    Deliver(usize),
    /// An instance asks which revision the group has reached.
    Ask(usize),
    /// Its last question is answered, as of when it was asked.
    Answer(usize),
    /// An instance begins a stream at a version, if it may.
    Begin(usize, usize),
    /// An instance takes up any stream that began.
    TakeUp(usize),
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let instance = 0..INSTANCES;
    let version = 0..NAMES.len();
    let step = prop_oneof![
        1 => version.clone().prop_map(Step::State),
        4 => instance.clone().prop_map(Step::Deliver),
        3 => instance.clone().prop_map(Step::Ask),
        3 => instance.clone().prop_map(Step::Answer),
        4 => (instance.clone(), version).prop_map(|(instance, version)| Step::Begin(instance, version)),
        4 => instance.prop_map(Step::TakeUp),
    ];
    (0..400_u64, step)
}

/// What an instance knows.
#[derive(Debug, Default)]
struct Instance {
    revision: usize,
    question: Option<(u64, usize)>,
    confirmed: Option<u64>,
}

/// The group's log of sets, one a revision, and the instances that follow it.
struct Model {
    now: u64,
    log: Vec<Versions>,
    announced: IndexMap<&'static str, u64>,
    instances: [Instance; INSTANCES],
    begun: IndexSet<&'static str>,
}

impl Model {
    fn new() -> Self {
        Self {
            now: 0,
            log: vec![Versions::default()],
            announced: IndexMap::new(),
            instances: Default::default(),
            begun: IndexSet::new(),
        }
    }

    fn advance(&mut self, version: &'static str, stage: Stage) {
        let mut next = self.log.last().expect("never empty").clone();
        if next.advance(version, stage) {
            self.log.push(next);
        }
    }

    /// Settles what is due by the fastest clock.
    fn settle(&mut self) {
        let settle_ms = SETTLE_TIME.div_f64(CLOCK_RATIO).as_millis();
        let is_due = |since: &u64| u128::from(self.now - since) >= settle_ms;
        let due: Vec<&'static str> = self
            .announced
            .iter()
            .filter(|(_, since)| is_due(since))
            .map(|(version, _)| *version)
            .collect();
        for version in due {
            self.advance(version, Stage::Settled);
        }
    }

    fn held(&self, instance: usize) -> &Versions {
        &self.log[self.instances[instance].revision]
    }

    /// Returns the origin that an instance takes for that of all streams.
    fn sole(&self, instance: usize) -> Option<Origin> {
        let confirmed = self.instances[instance].confirmed?;
        let lease = LEASE.as_millis();
        let is_trusted = u128::from(self.now - confirmed) < lease;
        let version = self.held(instance).sole().filter(|_| is_trusted)?;
        Origin::new(SERVICE, Some(version))
    }

    fn run(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::State(version) => {
                self.announced.entry(NAMES[version]).or_insert(self.now);
                self.advance(NAMES[version], Stage::Announced);
            }
            Step::Deliver(instance) => self.instances[instance].revision = self.log.len() - 1,
            Step::Ask(instance) => {
                let reached = self.log.len() - 1;
                self.instances[instance].question = Some((self.now, reached));
            }
            Step::Answer(instance) => {
                let known = &mut self.instances[instance];
                if let Some((asked, reached)) = known.question.take()
                    && known.revision >= reached
                {
                    known.confirmed = Some(asked);
                }
            }
            Step::Begin(instance, version) => {
                let settled = Arc::new(self.held(instance).clone());
                if Requirement::Settled(settled).admits(SERVICE, Some(NAMES[version])) {
                    self.begun.insert(NAMES[version]);
                }
            }
            Step::TakeUp(instance) => {
                let requirement = Requirement::continuing(self.sole(instance));
                let goes_on = |version: &&str| requirement.admits(SERVICE, Some(version));
                for began in &self.begun {
                    let went_on: Vec<_> = NAMES.iter().copied().filter(goes_on).collect();
                    prop_assert!(
                        went_on.is_empty() || went_on == [*began],
                        "a stream of {began} goes on at {went_on:?}"
                    );
                }
            }
        }
        Ok(())
    }
}

proptest! {
    /// Guards against an instance that relies on a set of one version, while others begin streams at a
    /// second one: whatever is delivered, asked and answered late or not at all.
    #[test]
    fn nobody_relies_on_one_version_while_streams_begin_at_two(
        steps in prop::collection::vec(step(), 1..300)
    ) {
        let mut model = Model::new();
        for (pause, step) in steps {
            model.now += pause;
            model.settle();
            model.run(step)?;
        }
    }

    /// Guards against a record that names another beginning than was told, or one of two.
    #[test]
    fn a_record_names_what_was_told_or_nothing(
        told in prop::collection::vec((0..4_u8, 0..NAMES.len(), 0..90_000_u64, any::<bool>()), 1..40)
    ) {
        let start = Instant::now();
        let mut records = Records::default();
        let mut now = start;
        let mut live: IndexMap<u8, (IndexSet<usize>, Instant)> = IndexMap::new();
        for (stream, version, pause, is_merged) in told {
            now += Duration::from_millis(pause);
            let key = Key::of(&stream.to_string());
            let origin = Origin::new(SERVICE, Some(NAMES[version])).expect("stated");
            let life = Duration::from_mins(1);
            if is_merged {
                records.merge(&Record { key, origin, left_ms: 60_000 }, now);
            } else {
                records.insert(key, &origin, life, now);
            }
            let held = live.entry(stream).or_insert_with(|| (IndexSet::new(), now));
            if held.1 <= now {
                held.0.clear();
            }
            held.0.insert(version);
            held.1 = now + life;
            for (stream, (versions, until)) in &live {
                let found = records.find(&Key::of(&stream.to_string()), now);
                if *until <= now {
                    prop_assert_eq!(found, Found::Nothing);
                } else if versions.len() == 1 {
                    let origin = Origin::new(SERVICE, Some(NAMES[versions[0]])).expect("stated");
                    prop_assert_eq!(found, Found::Origin(origin));
                } else {
                    prop_assert_eq!(found, Found::Disputed);
                }
            }
        }
    }

    /// Guards against copies that nobody asks for: in every region, with the list of before or after
    /// the end of the instance that began the stream and of one that was told.
    #[test]
    fn whoever_takes_a_stream_up_asks_one_that_was_told(
        sizes in prop::collection::vec(1..6_usize, 1..6), id in any::<u64>(), end in any::<usize>()
    ) {
        let names: Vec<Vec<String>> = sizes
            .iter()
            .enumerate()
            .map(|(region, size)| (0..*size).map(|at| format!("r{region}-{at}")).collect())
            .collect();
        let regions: Vec<String> = (0..sizes.len()).map(|region| format!("r{region}")).collect();
        let list = |without: &[&str]| {
            let mut list: IndexMap<&str, Vec<&str>> = IndexMap::new();
            for (region, names) in regions.iter().zip(&names) {
                let names = names.iter().map(String::as_str);
                let left = names.filter(|name| !without.contains(name)).collect();
                list.insert(region, left);
            }
            list
        };
        let key = Key::of(&id.to_string());
        let own = names[0][0].as_str();
        let told = copies(&key, "r0", &list(&[own]));
        let others = sizes.iter().sum::<usize>() - 1;
        prop_assert_eq!(told.len(), others.min(3));
        prop_assert!(!told.contains(&own));
        let distinct: IndexSet<&&str> = told.iter().collect();
        prop_assert_eq!(distinct.len(), told.len());
        if told.len() < 2 {
            return Ok(());
        }
        let ended = told[end % told.len()];
        for region in &regions {
            for without in [vec![], vec![own], vec![own, ended]] {
                let list = list(&without);
                let asked = asked(&key, region, &list);
                let knows = |name: &&&str| told.contains(name) && **name != ended;
                prop_assert!(
                    asked.iter().any(|name| knows(&name)),
                    "{region} asks {asked:?}, told are {told:?}, {without:?} are gone"
                );
            }
        }
    }
}

/// Guards against targets without a version that are taken for one version.
#[test]
fn targets_without_a_version_are_never_the_same() {
    assert_eq!(Origin::new(SERVICE, None), None);
    assert_eq!(Origin::new(SERVICE, Some("")), None);
    let mut versions = Versions::default();
    assert!(versions.advance("", Stage::Announced));
    assert!(versions.is_settled(None), "streams begin there");
    assert_eq!(versions.sole(), None);
}

/// Guards against a set that shrinks to one version because it was full.
#[test]
fn a_full_set_is_not_a_set_of_one() {
    let mut versions = Versions::default();
    for number in 0..1_000 {
        versions.advance(&format!("v{number}"), Stage::Announced);
        assert_eq!(versions.sole().is_some(), number == 0);
    }
    assert!(!versions.has(Some("v0")));
}

/// Guards against records that grow without bound under a flood of ids.
#[test]
fn a_flood_of_streams_is_bounded() {
    let now = Instant::now();
    let mut records = Records::default();
    let origin = Origin::new(SERVICE, Some("v1")).expect("stated");
    for id in 0..200_000 {
        records.insert(Key::of(&id.to_string()), &origin, Duration::ZERO, now);
    }
    assert!(records.len() <= 65_536, "{}", records.len());
    let last = records.find(&Key::of("199999"), now);
    assert_eq!(last, Found::Origin(origin));
    records.expire(now + Duration::from_secs(31));
    assert!(records.is_empty());
}

/// Guards against records that outgrow the control traffic of an instance, which gets 229 a second at
/// the target size, with headers of 28 bytes each, and may take 17,000 bytes.
#[test]
fn a_record_is_small() {
    let record = Record {
        key: Key::of("9a784277088719a8"),
        origin: Origin::new("zinnia-maps", Some("v1.1")).expect("stated"),
        left_ms: 12_000,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("encodes");
    // The list and the kind of message around a single record.
    let datagram = bytes.len() + 4;
    assert!(229 * (datagram + 28) <= 17_000, "{datagram}");
    let read: Record = ciborium::from_reader(bytes.as_slice()).expect("decodes");
    assert_eq!(read, record);
}
