//! Tests partitions of zones and regions, one-way and two-way.

use zinniastall_tests::{Result, cluster::Cluster, node::Node};

use crate::system::{ask, cut_one_way, start, start_with_slow_link_timeout, wait_listed};

/// Checks that each side of a partition lists only itself and serves with its own target, and
/// that after healing every instance lists all.
async fn check_sides_serve_alone(mut cluster: Cluster, sides: [[&str; 2]; 2]) -> Result<()> {
    for side in &sides {
        wait_listed(&cluster, side[0], side).await?;
    }
    for entry in sides.as_flattened() {
        let target = ask(&mut cluster, entry).await?.unwrap_or_default();
        let (place, _) = entry.rsplit_once('-').unwrap_or_default();
        assert_eq!(
            target,
            format!("engine-{place}"),
            "{entry} did not use the target of its side"
        );
    }
    cluster.heal();
    for entry in sides.as_flattened() {
        wait_listed(&cluster, entry, sides.as_flattened()).await?;
    }
    cluster.stop().await
}

macro_rules! cut_off {
    ($($name:ident: $zones:expr, $inside:expr, $within:expr, $without:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let (zones, within, without): (&[(&str, &str)], [&str; 2], [&str; 2]) =
                ($zones, $within, $without);
            let cluster = start(zones, 2).await?;
            let inside: fn(&Node) -> bool = $inside;
            cluster.partition(inside);
            let answer = wait_listed(&cluster, within[0], &within).await?;
            assert!(answer["valid_ms"].as_u64().is_some_and(|valid| valid <= 10_000));
            check_sides_serve_alone(cluster, [within, without]).await
        }
    )*};
}

// All links of an availability zone to others go silent. Its callers must not be sent to
// unreachable instances, where they would wait in vain; each side serves with what it has, and
// after healing both list each other again.
cut_off! {
    zone_cut_from_its_region:
        &[("athens", "a"), ("athens", "b")],
        |node| node.zone() == "b" && !node.name().starts_with("control"),
        ["athens-b-1", "athens-b-2"], ["athens-a-1", "athens-a-2"];
    region_cut_from_the_rest:
        &[("athens", "a"), ("patras", "a")],
        |node| node.region() == "patras" && !node.name().starts_with("control"),
        ["patras-a-1", "patras-a-2"], ["athens-a-1", "athens-a-2"];
}

// Messages from one instance to another are lost while the way back works. If received messages
// alone decided, the instance that is not heard would still count the other as alive, and
// callers and requests would go on being sent there.
#[actix_rt::test]
async fn one_way_cut_between_two_instances() -> Result<()> {
    let mut cluster = start_with_slow_link_timeout(&[("athens", "a")], 3).await?;
    cut_one_way(
        &cluster,
        |node| node.name() == "athens-a-1",
        |node| node.name() == "athens-a-2",
    );
    wait_listed(&cluster, "athens-a-1", &["athens-a-1", "athens-a-3"]).await?;
    wait_listed(&cluster, "athens-a-2", &["athens-a-2", "athens-a-3"]).await?;
    let all = ["athens-a-1", "athens-a-2", "athens-a-3"];
    wait_listed(&cluster, "athens-a-3", &all).await?;
    cluster.heal();
    for entry in all {
        wait_listed(&cluster, entry, &all).await?;
    }
    cluster.stop().await
}

macro_rules! one_way {
    ($($name:ident: $zones:expr, $receives_nothing:expr, $within:expr, $without:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let (zones, within, without): (&[(&str, &str)], [&str; 2], [&str; 2]) =
                ($zones, $within, $without);
            let cluster = start_with_slow_link_timeout(zones, 2).await?;
            let entry = |node: &Node| !node.name().starts_with("control");
            let receives_nothing: fn(&Node) -> bool = $receives_nothing;
            cut_one_way(
                &cluster,
                |node| entry(node) && !receives_nothing(node),
                |node| entry(node) && receives_nothing(node),
            );
            check_sides_serve_alone(cluster, [within, without]).await
        }
    )*};
}

// Messages from one zone to another are lost while the way back works, as with a broken route.
// The zone that still receives must not use the other: what it forwards there never arrives, and
// callers that it sends to the other's addresses cannot be answered. The same holds between
// regions, where heartbeats are less frequent.
one_way! {
    one_way_cut_between_zones:
        &[("athens", "a"), ("athens", "b")], |node| node.zone() == "b",
        ["athens-b-1", "athens-b-2"], ["athens-a-1", "athens-a-2"];
    one_way_cut_between_regions:
        &[("athens", "a"), ("patras", "a")], |node| node.region() == "patras",
        ["patras-a-1", "patras-a-2"], ["athens-a-1", "athens-a-2"];
}
