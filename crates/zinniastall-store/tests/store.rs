//! Tests of the data folder, with damage done to its files.

use zinniastall_coord::log::{Entry, Payload};
use zinniastall_coord::replica::Hard;
use zinniastall_store::{Fault, Store};

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        payload: Payload::Command(index.to_le_bytes().to_vec()),
    }
}

#[test]
fn what_was_synced_comes_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, restored) = Store::open(folder.path()).unwrap();
    assert!(restored.entries.is_empty() && restored.cluster.is_none());
    let founded = store.found("127.0.0.1:1").unwrap();
    assert!(matches!(store.found("127.0.0.1:1"), Err(Fault::Founded)));
    store.append((2..=100).map(entry));
    store.hard(Hard {
        term: 3,
        vote: Some(9),
    });
    store.sync().unwrap();
    assert_eq!(store.syncs(), 2);
    let id = store.id();
    drop(store);
    let (store, restored) = Store::open(folder.path()).unwrap();
    assert_eq!(store.id(), id);
    assert_eq!(restored.cluster, founded.cluster);
    assert_eq!(
        restored.hard,
        Hard {
            term: 3,
            vote: Some(9)
        }
    );
    assert_eq!(
        restored.entries[1..],
        (2..=100).map(entry).collect::<Vec<_>>()
    );
}
