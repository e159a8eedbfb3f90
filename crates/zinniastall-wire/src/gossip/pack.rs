//! Wire format of a delta: facts grouped by maker and place, without field names.
//!
//! Almost all facts are capacities, and almost all facts of a maker concern one place. If each item
//! repeated these names, they would make up most of its bytes.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use zinniastall_model::{id, object::Subject, place::Place};

use super::{Capacity, Fact, Item, Maker, Peer, Renewal, Suspects, Topic};

/// Groups of facts, renewals, and suspects, which are left out if there are none.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Delta(
    Vec<Group>,
    Vec<PackedRenewal>,
    #[serde(default, skip_serializing_if = "is_default")] Suspects,
);

fn is_default(suspects: &Suspects) -> bool {
    *suspects == Suspects::default()
}

/// Instance, its run, region and zone of the facts, and the facts.
#[derive(Debug, Serialize, Deserialize)]
struct Group(
    id::Instance,
    id::Incarnation,
    id::Region,
    id::Zone,
    Vec<PackedItem>,
);

/// Instance, its run, the sequence number of its last item, the age in milliseconds, and whether
/// the instance acts for its region.
#[derive(Debug, Serialize, Deserialize)]
struct PackedRenewal(id::Instance, id::Incarnation, u64, u64, bool);

/// Sequence number, age in milliseconds, topic, and the fact; `None` for a withdrawn one.
#[derive(Debug, Serialize, Deserialize)]
struct PackedItem(u64, u64, PackedTopic, Option<PackedFact>);

#[derive(Debug, Serialize, Deserialize)]
enum PackedTopic {
    #[serde(rename = "d")]
    Contacts,
    /// Model and role, for a zone.
    #[serde(rename = "m")]
    Model(String, String),
    /// Service and role, for a zone.
    #[serde(rename = "s")]
    Service(String, String),
    /// Model and role, for a region.
    #[serde(rename = "n")]
    RegionModel(String, String),
    /// Service and role, for a region.
    #[serde(rename = "t")]
    RegionService(String, String),
}

#[derive(Debug, Serialize, Deserialize)]
enum PackedFact {
    #[serde(rename = "d")]
    Contacts(Vec<Peer>),
    /// Total slots, free slots, expected wait in milliseconds, and price.
    #[serde(rename = "c")]
    Capacity(u32, u32, u64, f64),
    /// Zone, followed by the fields of a capacity.
    #[serde(rename = "r")]
    Region(id::Zone, u32, u32, u64, f64),
}

impl From<super::Delta> for Delta {
    fn from(delta: super::Delta) -> Self {
        let mut groups: IndexMap<(id::Instance, id::Incarnation, Place), Vec<PackedItem>> =
            IndexMap::new();
        for item in delta.items {
            let place = item.key.place().clone();
            let topic = PackedTopic::from(item.key);
            let value = item.value.map(PackedFact::from);
            let packed = PackedItem(item.sequence, item.age_ms, topic, value);
            let group = (item.maker.instance, item.incarnation, place);
            groups.entry(group).or_default().push(packed);
        }
        let group =
            |((maker, incarnation, place), facts): ((id::Instance, id::Incarnation, Place), _)| {
                Group(maker, incarnation, place.region, place.zone, facts)
            };
        let pack_renewal = |renewal: Renewal| {
            PackedRenewal(
                renewal.maker.instance,
                renewal.incarnation,
                renewal.sequence,
                renewal.age_ms,
                renewal.maker.region,
            )
        };
        Self(
            groups.into_iter().map(group).collect(),
            delta.renewals.into_iter().map(pack_renewal).collect(),
            delta.suspects,
        )
    }
}

impl From<Delta> for super::Delta {
    fn from(packed: Delta) -> Self {
        let Delta(groups, renewals, suspects) = packed;
        let renewal = |PackedRenewal(instance, incarnation, sequence, age_ms, region)| Renewal {
            maker: Maker { instance, region },
            incarnation,
            sequence,
            age_ms,
        };
        Self {
            items: groups.into_iter().flat_map(Group::unpack).collect(),
            renewals: renewals.into_iter().map(renewal).collect(),
            suspects,
        }
    }
}

impl Group {
    fn unpack(self) -> Vec<Item> {
        let Self(instance, incarnation, region, zone, facts) = self;
        let place = Place::new(region, zone);
        let item = |PackedItem(sequence, age_ms, topic, value)| Item {
            maker: Maker {
                instance: instance.clone(),
                region: topic.is_region(),
            },
            key: topic.unpack(place.clone()),
            incarnation,
            sequence,
            age_ms,
            value: value.map(Fact::from),
        };
        facts.into_iter().map(item).collect()
    }
}

impl From<Topic> for PackedTopic {
    fn from(topic: Topic) -> Self {
        match topic {
            Topic::Contacts(_) => Self::Contacts,
            Topic::Capacity(_, Subject::Model(name), role) => Self::Model(name, role),
            Topic::Capacity(_, Subject::Service(name), role) => Self::Service(name, role),
            Topic::Region(_, Subject::Model(name), role) => Self::RegionModel(name, role),
            Topic::Region(_, Subject::Service(name), role) => Self::RegionService(name, role),
        }
    }
}

impl PackedTopic {
    const fn is_region(&self) -> bool {
        matches!(self, Self::RegionModel(..) | Self::RegionService(..))
    }

    fn unpack(self, place: Place) -> Topic {
        match self {
            Self::Contacts => Topic::Contacts(place),
            Self::Model(name, role) => Topic::Capacity(place, Subject::Model(name), role),
            Self::Service(name, role) => Topic::Capacity(place, Subject::Service(name), role),
            Self::RegionModel(name, role) => Topic::Region(place, Subject::Model(name), role),
            Self::RegionService(name, role) => Topic::Region(place, Subject::Service(name), role),
        }
    }
}

impl From<Fact> for PackedFact {
    fn from(fact: Fact) -> Self {
        match fact {
            Fact::Contacts(contacts) => Self::Contacts(contacts),
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

impl From<PackedFact> for Fact {
    fn from(value: PackedFact) -> Self {
        match value {
            PackedFact::Contacts(contacts) => Self::Contacts(contacts),
            PackedFact::Capacity(slots, free, wait_ms, price) => Self::Capacity(Capacity {
                slots,
                free,
                wait_ms,
                price,
            }),
            PackedFact::Region(zone, slots, free, wait_ms, price) => {
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
