//! Chooses the instances that hold the record of a stream.
//!
//! Rendezvous hashing of the stream's key ranks regions, and the instances of each. The instance that
//! began the stream tells the first of its own region and the first of each of two others, so that the
//! loss of a region leaves two copies. Whoever takes the stream up doesn't know where it began, and asks
//! some more of the highest in each, since lists of instances differ for a moment.

use indexmap::IndexMap;

use super::Key;
use crate::rendezvous::weight;

/// Instances that are told of a stream.
const COPIES: usize = 3;
/// Instances of the own region that are asked.
const ASKED_NEAR: usize = 4;
/// Other regions whose instances are asked, and instances of each.
const ASKED_FAR: (usize, usize) = (3, 2);

/// Returns the instances that are told what began a stream; `regions` has the other instances of each
/// region, and `own` names the region of the instance that tells.
pub fn copies<'a>(key: &Key, own: &str, regions: &IndexMap<&str, Vec<&'a str>>) -> Vec<&'a str> {
    let key = key.to_string();
    let near = ranked(&key, regions.get(own).into_iter().flatten().copied());
    let far = other_regions(&key, own, regions).map(|region| ranked(&key, region.iter().copied()));
    let ranks = std::iter::once(near).chain(far);
    let ranks: Vec<_> = ranks.filter(|rank| !rank.is_empty()).take(COPIES).collect();
    let longest = ranks.iter().map(Vec::len).max().unwrap_or(0);
    // The first of each region, then the second of each, where there are fewer regions.
    let by_place =
        (0..longest).flat_map(|place| ranks.iter().filter_map(move |rank| rank.get(place)));
    by_place.take(COPIES).copied().collect()
}

/// Returns the instances that are asked what began a stream.
pub fn asked<'a>(key: &Key, own: &str, regions: &IndexMap<&str, Vec<&'a str>>) -> Vec<&'a str> {
    let key = key.to_string();
    let near = ranked(&key, regions.get(own).into_iter().flatten().copied());
    let far = other_regions(&key, own, regions).take(ASKED_FAR.0);
    let far = far.flat_map(|region| {
        let ranked = ranked(&key, region.iter().copied());
        ranked.into_iter().take(ASKED_FAR.1)
    });
    near.into_iter().take(ASKED_NEAR).chain(far).collect()
}

/// Returns the instances of the other regions, the highest-ranking region first.
fn other_regions<'m, 'a>(
    key: &str,
    own: &str,
    regions: &'m IndexMap<&str, Vec<&'a str>>,
) -> impl Iterator<Item = &'m Vec<&'a str>> {
    let others = regions.iter().filter(|(name, _)| **name != own);
    let mut others: Vec<_> = others.collect();
    others.sort_by_key(|(name, _)| std::cmp::Reverse(weight(key, name)));
    others.into_iter().map(|(_, instances)| instances)
}

fn ranked<'a>(key: &str, instances: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = instances.collect();
    ranked.sort_by_key(|name| std::cmp::Reverse(weight(key, name)));
    ranked
}
