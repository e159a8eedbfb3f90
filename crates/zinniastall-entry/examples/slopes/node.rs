//! A small entry instance within this process: its actors and links, without callers.

use actix::{Actor, Addr};
use zinniastall_coord::retry::{Bound, Division};
use zinniastall_entry::{
    links::{self, Acceptors, Addresses, Identity},
    publish::Publisher,
    spread::{
        Gossip,
        actor::{Dependencies, Spread},
        settings,
    },
    targets::Announced,
    view::{Shared, View},
};
use zinniastall_model::{object::Subject, place::Place};
use zinniastall_settings::metrics::Registry;
use zinniastall_wire::{
    gossip::{Serving, Target},
    hello::Purpose,
    link,
    meter::Count,
};

/// Prefixes that a target keeps in its announcements.
const CACHED: u64 = 64;

/// A running instance.
pub(crate) struct Node {
    pub(crate) place: Place,
    pub(crate) shared_view: Shared,
    identity: Identity,
    spread: Addr<Spread>,
}

impl Node {
    /// Starts an instance on the calling arbiter.
    pub(crate) async fn start(
        name: &str,
        place: Place,
        seeds: Vec<String>,
        settings: settings::Spread,
    ) -> eyre::Result<Self> {
        let listener = link::listen("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let addresses = Addresses {
            callers: address.clone(),
            targets: address.clone(),
            links: address,
        };
        let identity = Identity::new(name.to_owned(), 1, place.clone(), addresses);
        let shared_view = Shared::new(view(name, &place));
        let dependencies = Dependencies {
            identity: identity.clone(),
            shared_view: shared_view.clone(),
            publisher: Publisher::new(shared_view.clone(), Division::new(Bound::default().window))
                .start(),
            recorder: Registry::start("slopes", None)?.recorder(),
        };
        let spread = Spread::new(settings, seeds.into_iter(), dependencies).start();
        let gossip = Gossip(spread.clone());
        let acceptors = Acceptors::new(identity.clone()).owner(Purpose::Gossip, gossip);
        actix::spawn(links::serve(listener, acceptors));
        Ok(Self {
            place,
            shared_view,
            identity,
            spread,
        })
    }

    /// Returns the address of its links.
    pub(crate) fn links(&self) -> String {
        self.identity.addresses().links.clone()
    }

    /// Returns what its gossip links have carried.
    pub(crate) fn count(&self) -> Count {
        self.identity.meter(Purpose::Gossip).count()
    }

    /// Announces a target that serves `models` models and has `prefixes` new prefixes each time.
    pub(crate) fn announce(&self, number: usize, sequence: u64, models: usize, prefixes: u64) {
        let newest = sequence * prefixes;
        let cached = newest.saturating_sub(CACHED)..newest;
        let serving = |model| Serving {
            subject: Subject::Model(format!("model-{model}")),
            version: "1".to_owned(),
            adapters: Vec::new(),
        };
        self.spread.do_send(Announced(Target {
            target: format!("engine-{number}"),
            incarnation: 1,
            sequence,
            place: self.place.clone(),
            address: "127.0.0.1:9".to_owned(),
            health_path: None,
            kind: "standin".to_owned(),
            role: "both".to_owned(),
            serves: (0..models).map(serving).collect(),
            slots: 8,
            busy: rand::random_range(0..=8),
            price: 1.0,
            leaving: false,
            left_ms: 0,
            prefixes: cached
                .map(|prefix| prefix ^ (number as u64) << 32)
                .collect(),
            gap: false,
        }));
    }
}

fn view(name: &str, place: &Place) -> View {
    View::new(name.to_owned(), 1, place.clone())
}
