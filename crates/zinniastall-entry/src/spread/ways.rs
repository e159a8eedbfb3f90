//! Which facts go out on which links.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::{Outbox, Table, overlay};
use zinniastall_model::place::Place;
use zinniastall_wire::gossip::{Delta, Fact, Item, Maker, Topic};

use super::lines::Line;

/// Most bytes of facts on one link in a turn; more than the longest fact has.
const TURN: u64 = 2_000;

/// All facts that are held.
pub type Facts = Table<Topic, Maker, Fact>;

/// Link and place that something came from; `None` when it was made here.
pub type Origin<'a> = Option<(Line, &'a Place)>;

/// A link on which facts are passed on.
#[derive(Debug)]
struct Path {
    to: Place,
    outbox: Outbox<Topic, Maker>,
}

/// Where a maker is, and whether its facts come over a border between regions, and not by the own
/// region.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    about: Place,
    direct: bool,
}

/// Links on which facts are passed on, and what they still have to carry.
#[derive(Debug)]
pub struct Ways {
    place: Place,
    boxes: IndexMap<Line, Path>,
    /// Link whose next fact did not fit into what was left of the budget.
    held: Option<Line>,
    /// Where each maker is and how its word comes: its facts and renewals go the same ways, or a
    /// renewal would vouch for a fact that has been replaced on another way.
    sources: IndexMap<Maker, Source>,
}

impl Ways {
    /// Creates the ways of an instance at a place; no link is open yet.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            boxes: IndexMap::new(),
            held: None,
            sources: IndexMap::new(),
        }
    }

    /// Sets the links on which facts are passed on, with the places of their other ends; one that is
    /// new gets all facts that go there.
    pub fn set(&mut self, table: &Facts, lines: &IndexMap<Line, Place>) {
        self.boxes.retain(|line, _| lines.contains_key(line));
        for (line, to) in lines {
            if self.boxes.contains_key(line) {
                continue;
            }
            let outbox = Outbox::from_table(
                table,
                |topic| self.passes(table, topic, to),
                |maker| self.passes_renewal(maker, to),
            );
            let path = Path {
                to: to.clone(),
                outbox,
            };
            self.boxes.insert(*line, path);
        }
    }

    /// Tells whether a fact goes to a place.
    fn passes(&self, table: &Facts, topic: &Topic, to: &Place) -> bool {
        let maker = table.maker(topic);
        maker.is_some_and(|maker| self.goes(scope(topic), maker, to))
    }

    /// Tells whether a maker's renewals go to a place.
    fn passes_renewal(&self, maker: &Maker, to: &Place) -> bool {
        let scope = if maker.region {
            overlay::Scope::OtherRegions
        } else {
            overlay::Scope::Everywhere
        };
        self.goes(scope, maker, to)
    }

    fn goes(&self, scope: overlay::Scope, maker: &Maker, to: &Place) -> bool {
        let Some(source) = self.sources.get(maker) else {
            return false;
        };
        let (own, to) = (site(&self.place), site(to));
        let about = site(&source.about);
        let from = if source.direct { about } else { own };
        scope.admits(own, about, to) && overlay::forwards(own, about, from, to)
    }

    /// Tells whether a fact of a maker has come.
    pub fn knows(&self, maker: &Maker) -> bool {
        self.sources.contains_key(maker)
    }

    /// Passes on a fact that the table has taken in.
    pub fn learned(&mut self, table: &Facts, from: Origin<'_>, topic: &Topic) {
        if let Some(maker) = table.maker(topic) {
            self.trace(table, from, maker, topic.place());
            self.push(table, from, topic);
        }
    }

    /// Passes on a renewal that the table has taken in.
    pub fn renewed(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker) {
        let known = self.sources.get(maker);
        let Some(about) = known.map(|known| known.about.clone()) else {
            return;
        };
        self.trace(table, from, maker, &about);
        let goes = |ways: &Self, to: &Place| ways.passes_renewal(maker, to);
        self.pass(from, goes, |outbox| outbox.renew(maker.clone()));
    }

    /// Returns what fits into a number of bytes, by link, and the bytes that it takes.
    ///
    /// Links take turns. The first one whose next fact is longer than what is left of the budget comes
    /// first the next time, and until then no other gets more: with an equal share for each link, short facts
    /// on the others would use up every budget, and a long one would never go out.
    pub fn flush(&mut self, table: &Facts, bytes: u64, now: Instant) -> (Vec<(Line, Delta)>, u64) {
        let first = self.held.take();
        let first = first.and_then(|line| self.boxes.get_index_of(&line));
        let count = self.boxes.len();
        let mut left = bytes;
        let mut out = Vec::new();
        for turn in 0..count {
            let index = (first.unwrap_or(0) + turn) % count;
            let Some((line, path)) = self.boxes.get_index_mut(index) else {
                continue;
            };
            let share = if self.held.is_some() {
                0
            } else {
                left.min(TURN)
            };
            let batch = path.outbox.take(table, share, size, now);
            left -= batch.items.iter().map(size).sum::<u64>();
            if self.held.is_none() && batch.items.is_empty() && !path.outbox.is_empty() {
                self.held = Some(*line);
            }
            if !batch.items.is_empty() || !batch.renewals.is_empty() {
                let news = Delta {
                    items: batch.items,
                    renewals: batch.renewals,
                };
                out.push((*line, news));
            }
        }
        (out, bytes - left)
    }

    /// Returns how many facts wait to be sent, over all links.
    pub fn waiting(&self) -> usize {
        self.boxes.values().map(|path| path.outbox.len()).sum()
    }

    /// Forgets the makers of whom nothing is held any more.
    pub fn sweep(&mut self, table: &Facts) {
        let (keys, _) = table.contents();
        let makers: IndexSet<&Maker> = keys.iter().filter_map(|key| table.maker(key)).collect();
        self.sources.retain(|maker, _| makers.contains(maker));
    }

    /// Notes how a maker's word came. A speaker gets most of it twice, over the border and by its
    /// zone; while it has a link over the border that counts, or the ways would change all the time.
    fn trace(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker, about: &Place) {
        let abroad = |place: &Place| place.region != self.place.region;
        let open = || {
            let mut paths = self.boxes.values();
            paths.any(|path| path.to.region == about.region && abroad(&path.to))
        };
        let known = self.sources.get(maker);
        let held = known.is_some_and(|known| known.direct) && open();
        let source = Source {
            about: about.clone(),
            direct: held || from.is_some_and(|(_, place)| abroad(place)),
        };
        let known = self.sources.insert(maker.clone(), source.clone());
        if known.is_some_and(|known| known != source) {
            self.pass_all(table, from, maker);
        }
    }

    /// Passes a maker's facts on once more, since they now go other ways than before.
    fn pass_all(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker) {
        let (keys, _) = table.contents();
        for topic in keys {
            if table.maker(&topic) == Some(maker) {
                self.push(table, from, &topic);
            }
        }
    }

    fn push(&mut self, table: &Facts, from: Origin<'_>, topic: &Topic) {
        let goes = |ways: &Self, to: &Place| ways.passes(table, topic, to);
        self.pass(from, goes, |outbox| outbox.push(topic.clone()));
    }

    /// Puts something into the outboxes of the links where it goes, other than the one that it came
    /// on.
    fn pass(
        &mut self,
        from: Origin<'_>,
        goes: impl Fn(&Self, &Place) -> bool,
        put: impl Fn(&mut Outbox<Topic, Maker>),
    ) {
        let from = from.map(|(line, _)| line);
        let open = self.boxes.iter().filter(|(line, _)| Some(**line) != from);
        let lines = open.filter(|(_, path)| goes(self, &path.to));
        for line in lines.map(|(line, _)| *line).collect::<Vec<_>>() {
            if let Some(path) = self.boxes.get_mut(&line) {
                put(&mut path.outbox);
            }
        }
    }
}

fn site(place: &Place) -> overlay::Site<'_> {
    overlay::Site {
        region: &place.region,
        group: &place.zone,
    }
}

/// Returns where facts of a topic matter.
const fn scope(topic: &Topic) -> overlay::Scope {
    match topic {
        Topic::Contacts(_) => overlay::Scope::Everywhere,
        Topic::Capacity(..) => overlay::Scope::Region,
        Topic::Region(..) => overlay::Scope::OtherRegions,
    }
}

/// Estimates an item's bytes on the wire; the budget is charged with the real ones afterwards.
fn size(item: &Item) -> u64 {
    match &item.value {
        Some(Fact::Contacts(doors)) => 60 + 180 * doors.len() as u64,
        Some(Fact::Capacity(_) | Fact::Region(..)) => 60,
        None => 40,
    }
}
