//! Tests control replicas with real processes whose disks a power failure or a flipped bit has
//! damaged.

use std::path::{Path, PathBuf};

use serde_json::Value;
use zinniastall_tests::{
    Error, Result,
    cluster::{Cluster, group, model},
};

/// Applies some models and returns how many were accepted.
async fn change(cluster: &Cluster, prefix: &str) -> Result<usize> {
    const CHANGES: usize = 12;
    for number in 0..CHANGES {
        let object = model(&format!("{prefix}-{number}"), "1");
        cluster.apply(&serde_json::from_str(&object)?).await?;
    }
    Ok(CHANGES)
}

async fn models(cluster: &Cluster) -> Result<Option<usize>> {
    let listed = cluster.ctl(&["list", "model"]).await?.json()?;
    Ok(listed["records"].as_array().map(Vec::len))
}

/// Returns the newest file of a control replica's log.
fn newest_log_file(settings: &Value) -> Result<PathBuf> {
    let folder = Path::new(settings["data"].as_str().unwrap_or_default());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        files.push(entry?.path());
    }
    files.retain(|path| {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        name.starts_with("log-")
    });
    files.sort_unstable();
    files.pop().ok_or(Error::Unknown("log".to_owned()))
}

/// The power fails while the leader writes, and the end of its last record never reaches the
/// disk. The replica must recover by itself and hold everything that was accepted. If an
/// operator had to repair a disk after each power failure, the second one would stop the group.
#[actix_rt::test]
async fn a_torn_last_record_is_recovered_from_the_others() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let mut accepted = 0;
    for torn in [1, 7, 40] {
        accepted += change(&cluster, &format!("m{torn}")).await?;
        cluster.wait_next_loss_safe(true).await?;
        let leader = cluster.leader().await?;
        cluster.control(&leader)?.process().kill()?;
        let log = newest_log_file(cluster.control(&leader)?.settings())?;
        let file = std::fs::OpenOptions::new().write(true).open(&log)?;
        file.set_len(log.metadata()?.len() - torn)?;
        cluster.control(&leader)?.restart().await?;
        cluster.wait_next_loss_safe(true).await?;
        assert_eq!(models(&cluster).await?, Some(accepted));
    }
    Ok(())
}

/// A bit flips in the middle of a replica's log. Started on it, the replica would vote and serve
/// without entries that it has acknowledged, and an accepted change could revert. It must refuse
/// to start and name the file; the others go on, and the disk is replaced like a lost one.
#[actix_rt::test]
async fn a_damaged_log_is_refused_and_replaced() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let accepted = change(&cluster, "m").await?;
    let damaged = cluster.leader().await?;
    let lost_id = cluster.replica_id(&damaged).await?;
    cluster.control(&damaged)?.process().kill()?;
    let log = newest_log_file(cluster.control(&damaged)?.settings())?;
    let mut bytes = std::fs::read(&log)?;
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&log, bytes)?;
    let started = cluster.control(&damaged)?.restart().await;
    assert!(matches!(started, Err(Error::Ended { .. })), "{started:?}");
    let lines = cluster
        .control(&damaged)?
        .process()
        .log()
        .lines()
        .join("\n");
    assert!(lines.contains(&log.display().to_string()), "{lines}");
    cluster.leader_except(&[&damaged]).await?;
    let more = change(&cluster, "n").await?;
    cluster.wipe(&damaged).await?;
    cluster.replace(&damaged, &lost_id).await?;
    assert_eq!(models(&cluster).await?, Some(accepted + more));
    Ok(())
}
