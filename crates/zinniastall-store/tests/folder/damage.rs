//! Damaged files, and processes killed between two writes.

use std::fs;

use zinniastall_coord::log::{Entry, Payload, Position};
use zinniastall_coord::replica::Snapshot;
use zinniastall_store::{Damage, Error, Options, Store};

use crate::{SMALL, entry, entry_in, files, founded, indices, reopen, snapshot};

// The power fails while a record is written, and the file may end at any byte of it. The replica
// must recover everything that it had acknowledged, which never includes that record.
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

// The power fails after a file has grown and before its content is written, so it ends in zeros.
case!(zeros_at_the_end_are_cut, Options::default(), |folder| {
    let log = files(folder.path(), "log-").pop().unwrap();
    let mut bytes = fs::read(&log).unwrap();
    bytes.extend([0; 5000]);
    fs::write(&log, &bytes).unwrap();
    assert_eq!(indices(&reopen(&folder).unwrap()).len(), 20);
});

// One bit of an acknowledged record flips on the disk. Truncating the log there would lose entries
// that other replicas counted; the replica has to stop and report where the damage is.
case!(a_flipped_bit_is_refused_with_its_offset, SMALL, |folder| {
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
                Err(Error::Corrupt {
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

// A command contains the bytes of complete records, and the power fails before the record of that
// command is complete. The bytes inside must not be taken for a record after a damaged one.
case!(
    a_record_inside_a_command_is_not_read_as_one,
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

// A file is missing, as after a manual deletion in the data folder.
case!(a_missing_segment_is_refused, SMALL, |folder| {
    let logs = files(folder.path(), "log-");
    let whole = fs::read(&logs[1]).unwrap();
    fs::remove_file(&logs[1]).unwrap();
    assert!(matches!(reopen(&folder), Err(Error::Missing { path }) if path == logs[1]));
    fs::write(&logs[1], whole).unwrap();
    let whole = fs::read(&logs[0]).unwrap();
    fs::remove_file(&logs[0]).unwrap();
    assert!(matches!(
        reopen(&folder),
        Err(Error::Corrupt {
            damage: Damage::Gap,
            ..
        })
    ));
    fs::write(&logs[0], whole).unwrap();
    fs::remove_file(folder.path().join("identity")).unwrap();
    assert!(matches!(reopen(&folder), Err(Error::Missing { .. })));
    for log in files(folder.path(), "log-") {
        fs::remove_file(log).unwrap();
    }
    assert!(
        reopen(&folder).unwrap().cluster.is_none(),
        "an empty folder is a new replica"
    );
});

// The process is killed at any byte of writing a snapshot. The previous snapshot must still be
// there, and the leftover file must not interfere with the next one.
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

// The process is killed after it has stored the leader's snapshot and before it resets the log.
// Uncommitted entries at the same indices are still in the log and must not follow the snapshot.
case!(
    a_kill_between_snapshot_install_and_log_reset,
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

// Entries of a former leader fill a segment, and a new leader replaces them in the next one. A
// snapshot that covers the start of the next segment must not leave a folder that can't be opened.
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
    assert!(matches!(reopen(&folder), Err(Error::Corrupt { path: at, .. }) if at == path));
});
