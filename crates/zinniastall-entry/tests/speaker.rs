//! Capacity gossip of zones and regions: which zone is advertised, how often and for how long.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use zinniastall_entry::{
    spread::{
        digests::Digests,
        links::Handle,
        speaker::{Scope, Snapshot, Speaker},
    },
    view,
};
use zinniastall_model::{object::Subject, place::Place};
use zinniastall_wire::gossip::{Capacity, Delta, Fact, Item, Peer, Serving, Target, Topic};

const SEED: [u8; 32] = *b"zinniastall speaker test seed 01";
const INTERVAL: Duration = Duration::from_secs(2);
const HORIZON: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(500);
/// Links used by the tests: from athens/a to athens/b, and from athens/a to patras/a.
const TO_B: Handle = 1;
const TO_PATRAS: Handle = 2;

fn capacity(slots: u32, free: u32) -> Capacity {
    Capacity {
        slots,
        free,
        wait_ms: if free > 0 { 0 } else { 1_000 },
        price: 1.0,
    }
}

fn subject() -> Subject {
    Subject::Model("map-labels".to_owned())
}

/// Returns the knowledge of athens/a: its own free slots of 24, and those of other zones.
fn snapshot(own: u32, others: &[(&str, u32)]) -> Snapshot {
    let key = (subject(), "both".to_owned());
    let zone = |(zone, free): &(&str, u32)| ((*zone).to_owned(), capacity(24, *free));
    Snapshot {
        contacts: Vec::new(),
        own: [(key.clone(), capacity(24, own))].into(),
        others: [(key, others.iter().map(zone).collect())].into(),
    }
}

fn speaker(now: Instant) -> Speaker {
    let place = Place::new("athens", "a");
    Speaker::new(&"entry-a".to_owned(), 1, place, INTERVAL, now)
}

fn region_fact(items: &[Item]) -> Option<(&str, u32)> {
    items.iter().rev().find_map(|item| match &item.value {
        Some(Fact::Region(zone, capacity)) => Some((zone.as_str(), capacity.free)),
        _ => None,
    })
}

// The zone that a region advertises fills up while other zones have free slots. If this were
// announced late, all other regions would send their requests to the one zone that must refuse
// them.
#[test]
fn full_zone_is_no_longer_advertised() {
    let now = Instant::now();
    let mut speaker = speaker(now);
    let mut announce = |own, others: &[(&str, u32)], after| {
        let snapshot = snapshot(own, others);
        let news = speaker.speak(Scope::Region, &snapshot, now + TICK * after);
        region_fact(&news.items).map(|(zone, free)| (zone.to_owned(), free))
    };
    assert_eq!(announce(4, &[("b", 20)], 0), Some(("b".to_owned(), 20)));
    assert_eq!(announce(24, &[("b", 10)], 1), None, "not urgent");
    assert_eq!(announce(24, &[("b", 0)], 2), Some(("a".to_owned(), 24)));
    assert_eq!(announce(0, &[("b", 0)], 3), Some(("a".to_owned(), 0)));
}

// An instance stops speaking for its region when another zone takes over, and for its zone when
// another instance does. A stale fact would take the place of the new speaker's fact.
#[test]
fn region_fact_is_withdrawn_when_the_role_ends() {
    let now = Instant::now();
    let mut speaker = speaker(now);
    speaker.speak(Scope::Region, &snapshot(4, &[]), now);
    let news = speaker.speak(Scope::Zone, &snapshot(4, &[]), now + TICK);
    let [withdrawn] = &news.items[..] else {
        panic!("{:?}", news.items);
    };
    assert!(matches!(withdrawn.key, Topic::Region(..)) && withdrawn.value.is_none());
}

// Loads change all the time, and each fact is sent to every region. A routine fact must therefore
// be rate limited. An urgent one must be sent at once, or requests go where no slot is free.
#[test]
fn routine_facts_are_rate_limited_and_urgent_ones_are_not() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    println!("seed {:?}", std::str::from_utf8(&SEED));
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    let step = (0..=24_u32, prop::option::of(0..=24_u32), 0..=24_u32);
    let outcome = runner.run(&prop::collection::vec(step, 1..80), |steps| {
        let mut now = Instant::now();
        let mut speaker = speaker(now);
        let mut announced: Option<(String, u32, Instant)> = None;
        for (own, b, c) in steps {
            now += TICK;
            let b = b.map(|free| ("b", free));
            let zones: Vec<(&str, u32)> = b.into_iter().chain([("c", c)]).collect();
            let news = speaker.speak(Scope::Region, &snapshot(own, &zones), now);
            let free: IndexMap<&str, u32> = zones.into_iter().chain([("a", own)]).collect();
            if let Some((zone, now_free)) = region_fact(&news.items) {
                if let Some((before, was_free, at)) = &announced
                    && before == zone
                    && (*was_free == 0) == (now_free == 0)
                {
                    prop_assert!(
                        now >= *at + INTERVAL * 5,
                        "{before} announced again too soon"
                    );
                }
                announced = Some((zone.to_owned(), now_free, now));
            }
            let (zone, announced_free, _) = announced.as_ref().expect("a zone is advertised");
            let known = free.get(zone.as_str());
            prop_assert!(
                known.is_some(),
                "{zone} is advertised, but has no known capacity"
            );
            let any = free.values().any(|free| *free > 0);
            prop_assert_eq!(known.is_some_and(|free| *free > 0), any);
            prop_assert_eq!(*announced_free > 0, any);
        }
        Ok(())
    });
    outcome.unwrap();
}

/// The speaker of a zone with one target.
struct Zone {
    place: Place,
    digests: Digests,
}

impl Zone {
    fn new(region: &str, zone: &str, lines: &[(Handle, Place)], now: Instant) -> Self {
        let name = format!("entry-{region}-{zone}");
        Self::with_speaker(&name, Place::new(region, zone), lines, now)
    }

    fn with_speaker(name: &str, place: Place, lines: &[(Handle, Place)], now: Instant) -> Self {
        let mut digests = Digests::new(&name.to_owned(), 1, place.clone(), INTERVAL, now);
        digests.set_links(&lines.iter().cloned().collect());
        Self { place, digests }
    }

    fn speak(&mut self, scope: Scope, busy: u32, now: Instant) {
        let members = [format!("entry-{}", self.place.zone)];
        self.speak_with(&members, scope, busy, now);
    }

    /// Speaks as an instance that knows the members of its zone.
    fn speak_with(&mut self, members: &[String], scope: Scope, busy: u32, now: Instant) {
        let door = |instance: &String| Peer {
            instance: instance.clone(),
            incarnation: 1,
            place: self.place.clone(),
            links: String::new(),
            callers: String::new(),
            targets: String::new(),
            draining: false,
            load: 0,
            up_ms: 60_000,
        };
        let targets = [("engine".to_owned(), target(&self.place, busy, now))].into();
        let doors = members.iter().map(door).collect();
        self.digests.speak(scope, doors, &targets, now);
    }

    fn flush(&mut self, now: Instant) -> IndexMap<Handle, Delta> {
        self.digests.flush(1_000_000, now).0.into_iter().collect()
    }

    fn take(&mut self, from: &Place, news: Option<&Delta>, now: Instant) {
        if let Some(news) = news {
            self.digests.apply(TO_B, from, news.clone(), now);
        }
    }

    /// Returns the places to which this zone may send requests.
    fn known(&self, now: Instant) -> Vec<String> {
        let digests = self.digests.capacities(now);
        digests
            .iter()
            .map(|digest| digest.report.place.to_string())
            .collect()
    }
}

fn target(place: &Place, busy: u32, now: Instant) -> view::Target {
    view::Target {
        report: Target {
            target: "engine".to_owned(),
            incarnation: 1,
            sequence: 1,
            place: place.clone(),
            address: String::new(),
            health_path: None,
            kind: "standin".to_owned(),
            role: "both".to_owned(),
            serves: vec![Serving {
                subject: subject(),
                version: String::new(),
                adapters: Vec::new(),
            }],
            slots: 8,
            busy,
            price: 1.0,
            leaving: false,
            left_ms: 3_000,
            prefixes: Vec::new(),
            gap: false,
        },
        heard: now,
        until: now + HORIZON,
    }
}

/// Returns athens/a, athens/b and patras/a; facts go from athens/b to athens/a and from there to
/// patras/a.
fn three_zones(now: Instant) -> [Zone; 3] {
    let [a, b, patras] = [("athens", "a"), ("athens", "b"), ("patras", "a")]
        .map(|(region, zone)| Place::new(region, zone));
    [
        Zone::new("athens", "a", &[(TO_B, b), (TO_PATRAS, patras)], now),
        Zone::new("athens", "b", &[(TO_B, a)], now),
        Zone::new("patras", "a", &[], now),
    ]
}

// Two zones of a region serve the same model. If each were announced to every other region, zones
// times models would exceed a node's budget fivefold at the target size.
#[test]
fn regions_exchange_one_fact_per_model() {
    let now = Instant::now();
    let [mut a, mut b, mut patras] = three_zones(now);
    b.speak(Scope::Zone, 0, now);
    a.take(&b.place.clone(), b.flush(now).get(&TO_B), now);
    a.speak(Scope::Region, 6, now);
    let out = a.flush(now);
    let facts_for = |line| -> Vec<&Item> {
        let items = &out[&line].items;
        items
            .iter()
            .filter(|item| !matches!(item.key, Topic::Contacts(_)))
            .collect()
    };
    let [one] = &facts_for(TO_PATRAS)[..] else {
        panic!("{:?}", facts_for(TO_PATRAS));
    };
    assert!(matches!(one.key, Topic::Region(..)), "{one:?}");
    let [near] = &facts_for(TO_B)[..] else {
        panic!("{:?}", facts_for(TO_B));
    };
    assert!(matches!(near.key, Topic::Capacity(..)), "{near:?}");
    patras.take(&a.place.clone(), out.get(&TO_PATRAS), now);
    assert_eq!(patras.known(now), ["athens/b"], "b has more free slots");
}

// A speaker opens a new link while its loads change all the time and its budget is short. Short
// facts for the other links fit into the budget on every turn. If they always took all of it, the
// longer fact that tells the new peer where to send requests would never be sent, and the peer
// would never learn of the zone.
#[test]
fn long_fact_on_a_new_link_is_not_starved() {
    let mut now = Instant::now();
    let [mut a, _, _] = three_zones(now);
    let place = |line: Handle| Place::new(format!("region-{line}"), "a");
    let mut lines: IndexMap<Handle, Place> = (1..20).map(|line| (line, place(line))).collect();
    a.digests.set_links(&lines);
    a.speak(Scope::Region, 0, now);
    a.flush(now);
    lines.insert(20, place(20));
    a.digests.set_links(&lines);
    let mut balance = 0;
    for turn in 0..200 {
        now += TICK;
        balance += 400;
        a.speak(Scope::Region, if turn % 2 == 0 { 8 } else { 0 }, now);
        let (out, spent) = a.digests.flush(balance, now);
        let items = || {
            out.iter()
                .flat_map(|(line, news)| news.items.iter().map(move |item| (line, item)))
        };
        let is_door = |item: &Item| matches!(item.key, Topic::Contacts(_));
        if items().any(|(line, item)| *line == 20 && is_door(item)) {
            return;
        }
        assert!(spent <= balance, "{spent} of {balance}");
        balance -= spent;
    }
    panic!("the new link got no fact about the instances within 200 turns");
}

// A zone is lost while the speaker of its region keeps renewing the region's facts. Other regions
// must not send requests to the lost zone for longer than to a zone that speaks for itself.
#[test]
fn lost_zone_is_not_renewed_by_its_region() {
    let start = Instant::now();
    let [mut a, mut b, mut patras] = three_zones(start);
    b.speak(Scope::Zone, 0, start);
    let news = b.flush(start);
    a.take(&b.place.clone(), news.get(&TO_B), start);
    for tick in 0..40 {
        let now = start + TICK * tick;
        a.speak(Scope::Region, 6, now);
        patras.take(&a.place.clone(), a.flush(now).get(&TO_PATRAS), now);
        let offered = patras.known(now) == ["athens/b"];
        assert!(
            !offered || now <= start + HORIZON / 2 + TICK,
            "still offered after {tick} ticks"
        );
    }
    assert_eq!(patras.known(start + TICK * 40), ["athens/a"]);
}

// The link from the speaking zone breaks just after it has advertised another zone, whose instances
// were announced long ago. A zone cannot be reached without known instances, whatever its region
// says.
#[test]
fn zone_without_known_instances_is_not_offered() {
    let start = Instant::now();
    let [mut a, mut b, mut patras] = three_zones(start);
    b.speak(Scope::Zone, 0, start);
    a.take(&b.place.clone(), b.flush(start).get(&TO_B), start);
    let later = start + HORIZON / 2;
    a.speak(Scope::Region, 6, later);
    patras.take(&a.place.clone(), a.flush(later).get(&TO_PATRAS), later);
    assert_eq!(patras.known(later), ["athens/b"]);
    let over = start + HORIZON + TICK;
    assert!(
        patras.known(over).is_empty(),
        "offered without known instances: {:?}",
        patras.known(over)
    );
}

// The speaker of a region loses its links to other regions and stops speaking for it. The facts of
// its own zone continue through another zone. If those renewed the old fact of the region too,
// other regions would use it for ever.
#[test]
fn zone_fact_does_not_renew_the_region_fact() {
    let start = Instant::now();
    let [mut a, mut b, mut patras] = three_zones(start);
    let to_patras: IndexMap<Handle, Place> = [(TO_PATRAS, patras.place.clone())].into();
    b.digests.set_links(&to_patras);
    b.speak(Scope::Region, 0, start);
    patras.take(&b.place.clone(), b.flush(start).get(&TO_PATRAS), start);
    assert_eq!(patras.known(start), ["athens/b"]);
    let to_a: IndexMap<Handle, Place> = [(TO_B, a.place.clone())].into();
    b.digests.set_links(&to_a);
    for tick in 1..60 {
        let now = start + TICK * tick;
        b.speak(Scope::Zone, 8, now);
        a.take(&b.place.clone(), b.flush(now).get(&TO_B), now);
        patras.take(&a.place.clone(), a.flush(now).get(&TO_PATRAS), now);
        let offered = patras.known(now);
        assert!(
            offered.is_empty() || now <= start + HORIZON,
            "{offered:?} after {tick} ticks"
        );
    }
    let doors = patras.digests.contacts(start + TICK * 60);
    assert_eq!(doors.len(), 1, "the zone's own facts are still renewed");
}

/// Returns how old the facts about a zone get elsewhere, of which two instances speak until one hears what
/// `is_heard` selects of what the other one sent.
fn oldest_fact(is_heard: impl Fn(&Delta) -> bool) -> Duration {
    let start = Instant::now();
    let [_, _, mut patras] = three_zones(start);
    let place = Place::new("athens", "a");
    let links = [(TO_PATRAS, patras.place.clone())];
    let members = ["entry-a".to_owned(), "entry-b".to_owned()];
    let [mut stays, mut stops] =
        [0, 1].map(|at: usize| Zone::with_speaker(&members[at], place.clone(), &links, start));
    let mut sent = Vec::new();
    let mut oldest = Duration::ZERO;
    for tick in 0..40 {
        let now = start + TICK * tick;
        stays.speak_with(&members, Scope::Region, 6, now);
        patras.take(&place, stays.flush(now).get(&TO_PATRAS), now);
        if tick < 6 {
            // What it sends arrives last.
            stops.speak_with(&members, Scope::Region, 6, now);
            sent.extend(stops.flush(now).swap_remove(&TO_PATRAS));
            patras.take(&place, sent.last(), now);
        }
        if tick == 6 {
            stays.take(&place, sent.iter().find(|news| is_heard(news)), now);
        }
        let digests = patras.digests.capacities(now);
        let ages = digests.iter().map(|digest| now - digest.made);
        oldest = oldest.max(ages.max().unwrap_or(HORIZON));
    }
    oldest
}

/// Guards against losing a zone whose load does not change: two of its instances speak for it until they
/// know each other, and the facts of the one that stops are the younger ones.
#[test]
fn facts_of_a_former_speaker_do_not_hide_those_of_the_next() {
    let bound = INTERVAL * 5 / 2;
    let of_items = oldest_fact(|news| !news.items.is_empty());
    let of_renewals = oldest_fact(|news| news.items.is_empty());
    assert!(
        of_items <= bound && of_renewals <= bound,
        "{of_items:?}, {of_renewals:?}"
    );
}
