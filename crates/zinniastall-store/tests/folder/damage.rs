//! Damage to a folder's files, and kills between two writes.

use std::fs;

use zinniastall_coord::log::{Entry, Payload, Position};
use zinniastall_coord::replica::Snapshot;
use zinniastall_store::{Damage, Fault, Options, Store};

use crate::{SMALL, entry, entry_in, files, founded, indices, reopen, snapshot};

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
