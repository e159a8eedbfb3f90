//! Tests of the data folder, with damage done to its files.

use std::fs;
use std::path::{Path, PathBuf};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tempfile::TempDir;
use zinniastall_coord::log::{Entry, Payload, Position};
use zinniastall_coord::replica::{Hard, Ready, Restored, Snapshot};
use zinniastall_coord::voters::Voters;
use zinniastall_store::{Damage, Fault, Options, Store};

const SMALL: Options = Options { segment: 400 };

fn entry(index: u64) -> Entry {
    entry_in(1, index)
}

fn entry_in(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(index.to_le_bytes().to_vec()),
    }
}

fn snapshot(index: u64) -> Snapshot {
    let last = Position { index, term: 1 };
    Snapshot {
        last,
        voters: Voters::founding(1, "1"),
        data: vec![9; 100],
    }
}

fn indices(restored: &Restored) -> Vec<u64> {
    restored.entries.iter().map(|entry| entry.index).collect()
}

/// Founds a folder and appends entries, each batch synced by itself.
fn founded(options: Options, upto: u64) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut store, _) = Store::open_with(folder.path(), options).expect("a new folder opens");
    store.found("1").expect("a new folder can be founded");
    for index in 2..=upto {
        store.append([entry(index)]);
        store.sync().expect("the folder can be written");
    }
    folder
}

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let names = fs::read_dir(folder).expect("the folder can be listed");
    let mut files: Vec<_> = names.map(|name| name.expect("a name").path()).collect();
    files.retain(|path| {
        path.file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with(prefix))
    });
    files.sort_unstable();
    files
}

fn reopen(folder: &TempDir) -> Result<Restored, Fault> {
    Store::open_with(folder.path(), SMALL).map(|(_, restored)| restored)
}

/// Names a case and gives it a folder with twenty entries in segments of a size.
macro_rules! case {
    ($name:ident, $options:expr, |$folder:ident| $body:block) => {
        #[test]
        fn $name() {
            let $folder = founded($options, 20);
            $body
        }
    };
}

case!(what_was_synced_comes_back, SMALL, |folder| {
    let (mut store, restored) = Store::open_with(folder.path(), SMALL).unwrap();
    assert_eq!(indices(&restored), (1..=20).collect::<Vec<_>>());
    assert!(files(folder.path(), "log-").len() > 3, "segments rotate");
    assert!(matches!(store.found("1"), Err(Fault::Founded)));
    let hard = Hard {
        term: 3,
        vote: Some(9),
    };
    let append = vec![entry_in(3, 18), entry_in(3, 19)];
    store
        .save(&Ready {
            hard: Some(hard),
            append,
            ..Ready::default()
        })
        .unwrap();
    let id = store.id();
    drop(store);
    let (store, restored) = Store::open_with(folder.path(), SMALL).unwrap();
    assert_eq!((store.id(), store.cluster()), (id, restored.cluster));
    assert_eq!(restored.hard, hard);
    assert_eq!(indices(&restored), (1..=19).collect::<Vec<_>>());
    assert_eq!(restored.entries[17..], [entry_in(3, 18), entry_in(3, 19)]);
});

// The power fails while a record is written, and the file ends at any byte of it. The replica must
// come back with all that it had acknowledged, which never includes that record.
case!(a_torn_last_record_is_cut, Options::default(), |folder| {
    let log = files(folder.path(), "log-").pop().unwrap();
    let before = fs::metadata(&log).unwrap().len();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append([entry(21), entry(22)]);
    store.sync().unwrap();
    drop(store);
    let whole = fs::read(&log).unwrap();
    for end in usize::try_from(before).unwrap()..whole.len() {
        fs::write(&log, &whole[..end]).unwrap();
        let (mut store, restored) = Store::open(folder.path()).unwrap();
        assert_eq!(
            indices(&restored),
            (1..=20).collect::<Vec<_>>(),
            "cut at byte {end}"
        );
        store.append([entry(21)]);
        store.sync().unwrap();
        drop(store);
        assert_eq!(
            indices(&Store::open(folder.path()).unwrap().1).last(),
            Some(&21)
        );
    }
});

// A file grows before its content is written, and the power fails in between: it ends in zeros.
case!(zeros_at_the_end_are_cut, Options::default(), |folder| {
    let log = files(folder.path(), "log-").pop().unwrap();
    let mut bytes = fs::read(&log).unwrap();
    bytes.extend([0; 5000]);
    fs::write(&log, &bytes).unwrap();
    assert_eq!(indices(&reopen(&folder).unwrap()).len(), 20);
});

// One bit of an acknowledged record flips on the disk. Cutting the log there would forget entries
// that others counted on; the replica has to stop and say where the damage is.
case!(a_flipped_bit_is_refused_with_its_place, SMALL, |folder| {
    let logs = files(folder.path(), "log-");
    let (last, earlier) = logs.split_last().unwrap();
    let last_record = 90;
    for log in &logs {
        let whole = fs::read(log).unwrap();
        let end = if log == last {
            whole.len() - last_record
        } else {
            whole.len()
        };
        for byte in 0..end {
            let mut damaged = whole.clone();
            damaged[byte] ^= 4;
            fs::write(log, &damaged).unwrap();
            match reopen(&folder) {
                Err(Fault::Corrupt {
                    path,
                    offset,
                    damage: Damage::Checksum,
                }) => {
                    assert_eq!(&path, log);
                    assert!(
                        usize::try_from(offset).unwrap() <= byte,
                        "{offset} for {byte}"
                    );
                }
                other => panic!("byte {byte} of {}: {other:?}", log.display()),
            }
        }
        fs::write(log, &whole).unwrap();
    }
    assert!(!earlier.is_empty() && reopen(&folder).is_ok());
});

// A command carries the bytes of a whole record, and the power fails before the record that holds
// the command is whole. The bytes inside must not pass for a record that follows a damaged one.
case!(
    a_record_inside_a_command_is_no_record,
    Options::default(),
    |folder| {
        let log = files(folder.path(), "log-").pop().unwrap();
        let bytes = fs::read(&log).unwrap();
        let (mut store, _) = Store::open(folder.path()).unwrap();
        let other = founded(Options::default(), 20);
        let foreign = fs::read(files(other.path(), "log-").pop().unwrap()).unwrap();
        store.append([Entry {
            term: 1,
            index: 21,
            payload: Payload::Command(foreign),
        }]);
        store.sync().unwrap();
        drop(store);
        let torn = fs::read(&log).unwrap().len() - 1;
        fs::OpenOptions::new()
            .write(true)
            .open(&log)
            .unwrap()
            .set_len(torn as u64)
            .unwrap();
        assert_eq!(indices(&reopen(&folder).unwrap()).len(), 20);
        assert_eq!(fs::read(&log).unwrap(), bytes);
    }
);

// A segment between others is gone, as after a wrong hand on the data folder.
case!(a_missing_segment_is_refused, SMALL, |folder| {
    let logs = files(folder.path(), "log-");
    let whole = fs::read(&logs[1]).unwrap();
    fs::remove_file(&logs[1]).unwrap();
    assert!(matches!(reopen(&folder), Err(Fault::Missing { path }) if path == logs[1]));
    fs::write(&logs[1], whole).unwrap();
    let whole = fs::read(&logs[0]).unwrap();
    fs::remove_file(&logs[0]).unwrap();
    assert!(matches!(
        reopen(&folder),
        Err(Fault::Corrupt {
            damage: Damage::Gap,
            ..
        })
    ));
    fs::write(&logs[0], whole).unwrap();
    fs::remove_file(folder.path().join("identity")).unwrap();
    assert!(matches!(reopen(&folder), Err(Fault::Missing { .. })));
    for log in files(folder.path(), "log-") {
        fs::remove_file(log).unwrap();
    }
    assert!(
        reopen(&folder).unwrap().cluster.is_none(),
        "an empty folder is a new replica"
    );
});

case!(a_snapshot_replaces_what_it_covers, SMALL, |folder| {
    let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
    let before = files(folder.path(), "log-").len();
    store.snapshot(&snapshot(15)).unwrap();
    assert!(
        files(folder.path(), "log-").len() < before,
        "segments are dropped"
    );
    drop(store);
    let restored = reopen(&folder).unwrap();
    assert_eq!(restored.snapshot, Some(snapshot(15)));
    assert_eq!(indices(&restored), (16..=20).collect::<Vec<_>>());
    let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
    store.snapshot(&snapshot(20)).unwrap();
    drop(store);
    assert_eq!(files(folder.path(), "snapshot-").len(), 1);
    assert_eq!(indices(&reopen(&folder).unwrap()), [0; 0]);
});

// The process is killed at any byte of writing a snapshot. The one before must still be there, and
// what was written must not get in the way of the next.
case!(
    a_kill_while_a_snapshot_is_written_leaves_the_old_one,
    SMALL,
    |folder| {
        let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
        store.snapshot(&snapshot(10)).unwrap();
        drop(store);
        let old = files(folder.path(), "snapshot-").pop().unwrap();
        let bytes = fs::read(&old).unwrap();
        for end in 0..=bytes.len() {
            let name = format!("snapshot-{:020}.tmp", 20);
            fs::write(folder.path().join(name), &bytes[..end]).unwrap();
            let restored = reopen(&folder).unwrap();
            assert_eq!(restored.snapshot, Some(snapshot(10)));
            assert_eq!(indices(&restored), (11..=20).collect::<Vec<_>>());
        }
        assert_eq!(files(folder.path(), "snapshot-"), [old]);
    }
);

// A snapshot came from the leader, and the process is killed before the log began anew behind it.
// Entries that were never committed stand in the log at the same places and must not follow it.
case!(
    a_kill_between_a_leaders_snapshot_and_the_log,
    Options::default(),
    |folder| {
        let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
        let installed = Snapshot {
            last: Position { index: 15, term: 2 },
            ..snapshot(15)
        };
        store.snapshot(&installed).unwrap();
        drop(store);
        let (mut store, restored) = Store::open_with(folder.path(), SMALL).unwrap();
        assert_eq!(
            (indices(&restored).len(), restored.snapshot),
            (0, Some(installed))
        );
        store.append([entry_in(2, 16)]);
        store.sync().unwrap();
        drop(store);
        assert_eq!(reopen(&folder).unwrap().entries, [entry_in(2, 16)]);
    }
);

// Entries of an old leader fill a segment, and a new leader replaces them in the next. A snapshot
// that covers the place where the next segment began must not leave a folder that can't be opened.
case!(
    a_segment_that_replaces_entries_of_the_one_before_keeps_it,
    SMALL,
    |folder| {
        let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
        for index in 21..=60 {
            store.append([entry_in(1, index)]);
            store.append((15..=index).map(|index| entry_in(index, index)));
            store.sync().unwrap();
            store
                .snapshot(&Snapshot {
                    last: entry_in(1, 14).position(),
                    ..snapshot(14)
                })
                .unwrap();
        }
        store
            .snapshot(&Snapshot {
                last: entry_in(20, 20).position(),
                ..snapshot(20)
            })
            .unwrap();
        drop(store);
        assert_eq!(
            indices(&reopen(&folder).unwrap()),
            (21..=60).collect::<Vec<_>>()
        );
    }
);

case!(a_damaged_snapshot_is_refused, SMALL, |folder| {
    let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
    store.snapshot(&snapshot(10)).unwrap();
    drop(store);
    let path = files(folder.path(), "snapshot-").pop().unwrap();
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert!(matches!(reopen(&folder), Err(Fault::Corrupt { path: at, .. }) if at == path));
});

// A second process is started on the same folder, as by a script that runs twice. Both would vote
// under one id.
case!(a_folder_is_open_once, SMALL, |folder| {
    let held = Store::open_with(folder.path(), SMALL).unwrap();
    assert!(matches!(reopen(&folder), Err(Fault::Locked { .. })));
    drop(held);
    reopen(&folder).unwrap();
});

case!(a_batch_is_synced_once, Options::default(), |folder| {
    let (mut store, _) = Store::open(folder.path()).unwrap();
    let append = (21..=500).map(entry).collect();
    let hard = Some(Hard {
        term: 2,
        vote: None,
    });
    store
        .save(&Ready {
            hard,
            append,
            ..Ready::default()
        })
        .unwrap();
    assert_eq!(store.syncs(), 1);
    store.save(&Ready::default()).unwrap();
    assert_eq!(store.syncs(), 1);
});

// The disk refuses a write. What it holds is not known any more, and a later success must not be
// taken for a promise that the earlier bytes are there.
case!(a_failed_write_is_the_last, SMALL, |folder| {
    let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    let failed = store.snapshot(&snapshot(10));
    assert!(matches!(failed, Err(Fault::Io { .. })), "{failed:?}");
    store.append([entry(21)]);
    assert!(matches!(store.sync(), Err(Fault::Failed)));
});

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

/// What a folder must give back.
#[derive(Default)]
struct Model {
    hard: Hard,
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

    fn take(&mut self, step: &Step, store: &mut Store) -> Result<(), Fault> {
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
                self.hard = Hard {
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

// Whatever was stored in whatever order, a restart gives it back.
#[test]
fn any_history_comes_back() {
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
            model.take(&step, &mut store).unwrap();
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
