//! Random operations on a folder, compared with a model.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use zinniastall_coord::log::{Entry, Position};
use zinniastall_coord::replica::{HardState, Ready, Snapshot};
use zinniastall_store::{Error, Store};

use crate::{SMALL, entry_in, founded, snapshot};

#[derive(Debug, Clone)]
enum Step {
    Append(u64, u64),
    Hard(u64),
    Snapshot(u64),
    Install(u64),
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..4_u64, 0..6_u64).prop_map(|(count, back)| Step::Append(count, back)),
        1 => (1..99_u64).prop_map(Step::Hard),
        1 => (0..5_u64).prop_map(Step::Snapshot),
        1 => (1..9_u64).prop_map(Step::Install),
        2 => Just(Step::Reopen),
    ]
}

/// Expected state of a folder.
#[derive(Default)]
struct Model {
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    term: u64,
}

impl Model {
    fn base(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.last.index)
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    fn apply(&mut self, step: &Step, store: &mut Store) -> Result<(), Error> {
        self.term += 1;
        match *step {
            Step::Append(count, back) => {
                let from = self.last().saturating_sub(back).max(self.base()) + 1;
                let append: Vec<_> = (from..from + count)
                    .map(|index| entry_in(self.term, index))
                    .collect();
                self.entries.retain(|entry| entry.index < from);
                self.entries.extend(append.iter().cloned());
                {
                    store.append(append);
                    Ok(())
                }
            }
            Step::Hard(term) => {
                self.hard = HardState {
                    term,
                    vote: Some(term),
                };
                store.save(&Ready {
                    hard: Some(self.hard),
                    ..Ready::default()
                })
            }
            Step::Snapshot(back) => {
                let index = self.last().saturating_sub(back);
                let Some(entry) = self.entries.iter().find(|entry| entry.index == index) else {
                    return Ok(());
                };
                let taken = Snapshot {
                    last: entry.position(),
                    ..snapshot(index)
                };
                self.entries.retain(|entry| entry.index > index);
                self.snapshot = Some(taken.clone());
                store.snapshot(&taken)
            }
            Step::Install(ahead) => {
                let last = Position {
                    index: self.last() + ahead,
                    term: self.term,
                };
                let taken = Snapshot {
                    last,
                    ..snapshot(0)
                };
                self.entries.clear();
                self.snapshot = Some(taken.clone());
                store.save(&Ready {
                    install: Some(taken.into()),
                    ..Ready::default()
                })
            }
            Step::Reopen => Ok(()),
        }
    }
}

// State stored by any sequence of operations must be there after a restart.
#[test]
fn any_history_survives_reopening() {
    let config = Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    };
    let run = TestRunner::new(config).run(&prop::collection::vec(step(), 1..40), |steps| {
        let folder = founded(SMALL, 1);
        let (mut store, restored) = Store::open_with(folder.path(), SMALL).unwrap();
        let mut model = Model {
            hard: restored.hard,
            entries: restored.entries,
            ..Model::default()
        };
        for step in steps {
            model.apply(&step, &mut store).unwrap();
            if matches!(step, Step::Reopen) {
                store.sync().unwrap();
                drop(store);
                let opened = Store::open_with(folder.path(), SMALL).unwrap();
                store = opened.0;
                prop_assert_eq!(&opened.1.entries, &model.entries);
                prop_assert_eq!(&opened.1.snapshot, &model.snapshot);
                prop_assert_eq!(opened.1.hard, model.hard);
            }
        }
        Ok(())
    });
    if let Err(failure) = run {
        panic!("{failure}");
    }
}
