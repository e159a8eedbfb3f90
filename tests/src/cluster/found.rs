//! Founds a cluster's control group.

use super::Cluster;
use crate::{ctl, error::Result};

/// Founds the group on the first replica.
///
/// # Errors
///
/// Fails when a call is refused.
pub(super) async fn found(cluster: &Cluster) -> Result<()> {
    let operators = cluster.operators();
    ctl::run(&operators[..1], &["bootstrap"]).await?.json()?;
    Ok(())
}
