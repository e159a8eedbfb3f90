//! Measures synced appends per second, and the time to open a folder by the length of its log.
//!
//! `cargo run --release -p zinniastall-store --example commit -- [FOLDER]`
//!
//! FOLDER selects the disk to measure; the default is the system's temporary folder. All files are
//! written to a new folder in it, which is removed at the end.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use zinniastall_coord::log::{Entry, Payload, Position};
use zinniastall_coord::replica::{Restored, Snapshot};
use zinniastall_coord::voters::Voters;
use zinniastall_store::Store;

const COMMAND_BYTES: usize = 512;
const APPEND_TIME: Duration = Duration::from_secs(2);
const BATCH_SIZES: [u64; 4] = [1, 8, 64, 512];
const LOG_LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
const SNAPSHOT_BYTES: usize = 1 << 20;

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![7; COMMAND_BYTES]),
    }
}

fn founded(path: &Path) -> Result<Store, Box<dyn Error>> {
    let (mut store, _) = Store::open(path)?;
    store.found("127.0.0.1:1")?;
    Ok(store)
}

fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() - 1) * percent / 100]
}

/// Appends batches of one size for [`APPEND_TIME`], each synced by itself.
fn measure_appends(path: &Path, batch: u64) -> Result<(), Box<dyn Error>> {
    let mut store = founded(path)?;
    let mut index = 1;
    let mut times = Vec::new();
    let start = Instant::now();
    while start.elapsed() < APPEND_TIME {
        let started = Instant::now();
        store.append((index + 1..=index + batch).map(entry));
        store.sync()?;
        index += batch;
        times.push(started.elapsed());
    }
    let seconds = start.elapsed().as_secs_f64();
    times.sort_unstable();
    let syncs = times.len();
    let entries = index - 1;
    println!(
        "append batch={batch} command_bytes={COMMAND_BYTES} syncs={syncs} syncs_per_s={:.0} \
         entries_per_s={:.0} p50={:?} p99={:?}",
        f64::from(u32::try_from(syncs)?) / seconds,
        f64::from(u32::try_from(entries)?) / seconds,
        quantile(&times, 50),
        quantile(&times, 99),
    );
    Ok(())
}

/// Fills a log and reopens it, with or without a snapshot shortly before its end.
fn measure_recovery(path: &Path, length: u64, with_snapshot: bool) -> Result<(), Box<dyn Error>> {
    let mut store = founded(path)?;
    let behind_snapshot = if with_snapshot { length / 100 } else { 0 };
    for from in (2..=length - behind_snapshot).step_by(500) {
        store.append((from..(from + 500).min(length - behind_snapshot + 1)).map(entry));
        store.sync()?;
    }
    if with_snapshot {
        let last = Position {
            index: length - behind_snapshot,
            term: 1,
        };
        let voters = Voters::founding(store.id(), "127.0.0.1:1");
        store.snapshot(&Snapshot {
            last,
            voters,
            data: vec![7; SNAPSHOT_BYTES],
        })?;
        store.append((length - behind_snapshot + 1..=length).map(entry));
        store.sync()?;
    }
    drop(store);
    let started = Instant::now();
    let (_store, Restored { entries, .. }) = Store::open(path)?;
    let elapsed = started.elapsed();
    println!(
        "recovery length={length} snapshot={with_snapshot} entries_read={} time={elapsed:?}",
        entries.len()
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = match std::env::args_os().nth(1) {
        Some(path) => tempfile::tempdir_in(path)?,
        None => tempfile::tempdir()?,
    };
    for batch in BATCH_SIZES {
        measure_appends(&folder.path().join(format!("append-{batch}")), batch)?;
    }
    for length in LOG_LENGTHS {
        for with_snapshot in [false, true] {
            let name = format!("recovery-{length}-{with_snapshot}");
            measure_recovery(&folder.path().join(name), length, with_snapshot)?;
        }
    }
    Ok(())
}
