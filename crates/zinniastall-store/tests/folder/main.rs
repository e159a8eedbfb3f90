//! Tests of a data folder, including damage to its files.

use std::fs;
use std::path::{Path, PathBuf};

use tempfile::TempDir;
use zinniastall_coord::log::{Entry, Payload, Position};
use zinniastall_coord::replica::{HardState, Ready, Restored, Snapshot};
use zinniastall_coord::voters::Voters;
use zinniastall_store::{Error, Options, Store};

pub(crate) const SMALL: Options = Options { segment_bytes: 400 };

pub(crate) fn entry(index: u64) -> Entry {
    entry_in(1, index)
}

pub(crate) fn entry_in(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(index.to_le_bytes().to_vec()),
    }
}

pub(crate) fn snapshot(index: u64) -> Snapshot {
    let last = Position { index, term: 1 };
    Snapshot {
        last,
        voters: Voters::founding(1, "1"),
        data: vec![9; 100],
    }
}

pub(crate) fn indices(restored: &Restored) -> Vec<u64> {
    restored.entries.iter().map(|entry| entry.index).collect()
}

/// Founds a cluster in a new folder and appends entries, each synced by itself.
pub(crate) fn founded(options: Options, last_index: u64) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut store, _) = Store::open_with(folder.path(), options).expect("a new folder opens");
    store.found("1").expect("a new folder can be founded");
    for index in 2..=last_index {
        store.append([entry(index)]);
        store.sync().expect("the folder can be written");
    }
    folder
}

pub(crate) fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let names = fs::read_dir(folder).expect("the folder can be listed");
    let mut files: Vec<_> = names.map(|name| name.expect("a name").path()).collect();
    files.retain(|path| {
        path.file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with(prefix))
    });
    files.sort_unstable();
    files
}

pub(crate) fn reopen(folder: &TempDir) -> Result<Restored, Error> {
    Store::open_with(folder.path(), SMALL).map(|(_, restored)| restored)
}

/// Defines a test that runs on a folder with twenty entries and the given options.
macro_rules! case {
    ($name:ident, $options:expr, |$folder:ident| $body:block) => {
        #[test]
        fn $name() {
            let $folder = founded($options, 20);
            $body
        }
    };
}

mod damage;
mod history;

case!(synced_state_survives_reopening, SMALL, |folder| {
    let (mut store, restored) = Store::open_with(folder.path(), SMALL).unwrap();
    assert_eq!(indices(&restored), (1..=20).collect::<Vec<_>>());
    assert!(files(folder.path(), "log-").len() > 3, "segments rotate");
    assert!(matches!(store.found("1"), Err(Error::Founded)));
    let hard = HardState {
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

// A second process is started on the same folder, for example by a script that runs twice. Without
// the lock, both would vote under one id.
case!(a_folder_is_open_once, SMALL, |folder| {
    let held = Store::open_with(folder.path(), SMALL).unwrap();
    assert!(matches!(reopen(&folder), Err(Error::Locked { .. })));
    drop(held);
    reopen(&folder).unwrap();
});

case!(a_batch_is_synced_once, Options::default(), |folder| {
    let (mut store, _) = Store::open(folder.path()).unwrap();
    let append = (21..=500).map(entry).collect();
    let hard = Some(HardState {
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

// A write fails. The content of the disk is unknown from then on, and a later write that succeeds
// would not mean that the earlier bytes are stored.
case!(writes_after_a_failure_are_refused, SMALL, |folder| {
    let (mut store, _) = Store::open_with(folder.path(), SMALL).unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    let failed = store.snapshot(&snapshot(10));
    assert!(matches!(failed, Err(Error::Io { .. })), "{failed:?}");
    store.append([entry(21)]);
    assert!(matches!(store.sync(), Err(Error::Failed)));
});
