//! How news travels: grouped by maker and place, without field names.
//!
//! Almost all facts are capacities, and almost all of a maker's are of one place. Written out in
//! full, its names would be most of an item's bytes.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use zinniastall_model::{id, object::Subject, place::Place};

use super::{Capacity, Fact, Item, Maker, Peer, Renewal, Topic};

/// News, as it travels.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct News(Vec<Group>, Vec<Word>);

/// Maker, its run, the place, and the facts.
#[derive(Debug, Serialize, Deserialize)]
struct Group(
    id::Instance,
    id::Incarnation,
    id::Region,
    id::Zone,
    Vec<Packed>,
);

/// Maker, its run, the number of its last item, the age in milliseconds, and whether it is a
/// region's.
#[derive(Debug, Serialize, Deserialize)]
struct Word(id::Instance, id::Incarnation, u64, u64, bool);

/// Number, age in milliseconds, what it is about, and the fact.
#[derive(Debug, Serialize, Deserialize)]
struct Packed(u64, u64, About, Option<Value>);

#[derive(Debug, Serialize, Deserialize)]
enum About {
    #[serde(rename = "d")]
    Doors,
    #[serde(rename = "m")]
    Model(String, String),
    #[serde(rename = "s")]
    Service(String, String),
    /// A region's.
    #[serde(rename = "n")]
    RegionModel(String, String),
    #[serde(rename = "t")]
    RegionService(String, String),
}

#[derive(Debug, Serialize, Deserialize)]
enum Value {
    #[serde(rename = "d")]
    Doors(Vec<Peer>),
    /// Slots, free ones, wait in milliseconds, price.
    #[serde(rename = "c")]
    Capacity(u32, u32, u64, f64),
    /// Zone, then the same.
    #[serde(rename = "r")]
    Region(id::Zone, u32, u32, u64, f64),
}

impl From<super::News> for News {
    fn from(news: super::News) -> Self {
        let mut groups: IndexMap<(id::Instance, id::Incarnation, Place), Vec<Packed>> =
            IndexMap::new();
        for item in news.items {
            let place = item.key.place().clone();
            let about = About::from(item.key);
            let value = item.value.map(Value::from);
            let packed = Packed(item.sequence, item.age_ms, about, value);
            let group = (item.maker.instance, item.incarnation, place);
            groups.entry(group).or_default().push(packed);
        }
        let group = |((maker, run, place), facts): ((id::Instance, id::Incarnation, Place), _)| {
            Group(maker, run, place.region, place.zone, facts)
        };
        let word = |renewal: Renewal| {
            Word(
                renewal.maker.instance,
                renewal.incarnation,
                renewal.sequence,
                renewal.age_ms,
                renewal.maker.region,
            )
        };
        Self(
            groups.into_iter().map(group).collect(),
            news.renewals.into_iter().map(word).collect(),
        )
    }
}

impl From<News> for super::News {
    fn from(packed: News) -> Self {
        let News(groups, words) = packed;
        let renewal = |Word(instance, incarnation, sequence, age_ms, region)| Renewal {
            maker: Maker { instance, region },
            incarnation,
            sequence,
            age_ms,
        };
        Self {
            items: groups.into_iter().flat_map(Group::unpack).collect(),
            renewals: words.into_iter().map(renewal).collect(),
        }
    }
}

impl Group {
    fn unpack(self) -> Vec<Item> {
        let Self(instance, incarnation, region, zone, facts) = self;
        let place = Place::new(region, zone);
        let item = |Packed(sequence, age_ms, about, value)| Item {
            maker: Maker {
                instance: instance.clone(),
                region: about.is_region(),
            },
            key: about.topic(place.clone()),
            incarnation,
            sequence,
            age_ms,
            value: value.map(Fact::from),
        };
        facts.into_iter().map(item).collect()
    }
}

impl From<Topic> for About {
    fn from(topic: Topic) -> Self {
        match topic {
            Topic::Doors(_) => Self::Doors,
            Topic::Capacity(_, Subject::Model(name), role) => Self::Model(name, role),
            Topic::Capacity(_, Subject::Service(name), role) => Self::Service(name, role),
            Topic::Region(_, Subject::Model(name), role) => Self::RegionModel(name, role),
            Topic::Region(_, Subject::Service(name), role) => Self::RegionService(name, role),
        }
    }
}

impl About {
    const fn is_region(&self) -> bool {
        matches!(self, Self::RegionModel(..) | Self::RegionService(..))
    }

    fn topic(self, place: Place) -> Topic {
        match self {
            Self::Doors => Topic::Doors(place),
            Self::Model(name, role) => Topic::Capacity(place, Subject::Model(name), role),
            Self::Service(name, role) => Topic::Capacity(place, Subject::Service(name), role),
            Self::RegionModel(name, role) => Topic::Region(place, Subject::Model(name), role),
            Self::RegionService(name, role) => Topic::Region(place, Subject::Service(name), role),
        }
    }
}

impl From<Fact> for Value {
    fn from(fact: Fact) -> Self {
        match fact {
            Fact::Doors(doors) => Self::Doors(doors),
            Fact::Capacity(Capacity {
                slots,
                free,
                wait_ms,
                price,
            }) => Self::Capacity(slots, free, wait_ms, price),
            Fact::Region(zone, capacity) => Self::Region(
                zone,
                capacity.slots,
                capacity.free,
                capacity.wait_ms,
                capacity.price,
            ),
        }
    }
}

impl From<Value> for Fact {
    fn from(value: Value) -> Self {
        match value {
            Value::Doors(doors) => Self::Doors(doors),
            Value::Capacity(slots, free, wait_ms, price) => Self::Capacity(Capacity {
                slots,
                free,
                wait_ms,
                price,
            }),
            Value::Region(zone, slots, free, wait_ms, price) => {
                let capacity = Capacity {
                    slots,
                    free,
                    wait_ms,
                    price,
                };
                Self::Region(zone, capacity)
            }
        }
    }
}
