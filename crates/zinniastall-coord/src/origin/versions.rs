//! The software versions of a service that the whole system agrees on.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Version;

/// Maximum number of versions of a service. The oldest is forgotten, and announced anew if it still
/// serves; a set of this size is never taken for a set of one.
const MAX_VERSIONS: usize = 64;

/// How far the system knows of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// A target states it; no stream begins there yet.
    Announced,
    /// Streams begin at its targets.
    Settled,
}

/// Versions of a service, in the order of their announcement; targets without a version count as one
/// with an empty name.
///
/// The first version is settled at once: nobody relies on a set that is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions(IndexMap<Version, Stage>);

impl Versions {
    /// Brings a version to a stage; returns whether that changes the set. A version that wasn't
    /// announced is not settled, except the first.
    pub fn advance(&mut self, version: &str, stage: Stage) -> bool {
        match (self.0.get_mut(version), stage) {
            (Some(held @ Stage::Announced), Stage::Settled) => {
                *held = Stage::Settled;
                true
            }
            (Some(_), _) => false,
            (None, _) => {
                let stage = if self.0.is_empty() {
                    Stage::Settled
                } else {
                    Stage::Announced
                };
                self.0.insert(version.to_owned(), stage);
                let surplus = self.0.len().saturating_sub(MAX_VERSIONS);
                self.0.drain(..surplus);
                true
            }
        }
    }

    /// Returns whether a version was announced.
    pub fn has(&self, version: Option<&str>) -> bool {
        self.0.contains_key(version.unwrap_or_default())
    }

    /// Returns whether streams may begin at a version.
    pub fn is_settled(&self, version: Option<&str>) -> bool {
        self.0.get(version.unwrap_or_default()) == Some(&Stage::Settled)
    }

    /// Returns the versions that are announced and not settled.
    pub fn unsettled(&self) -> impl Iterator<Item = &Version> {
        let unsettled = |(_, stage): &(&Version, &Stage)| **stage == Stage::Announced;
        self.0.iter().filter(unsettled).map(|(version, _)| version)
    }

    /// Returns the version at which all streams began, if there has been only one.
    pub fn sole(&self) -> Option<&Version> {
        let (version, _) = self.0.first()?;
        (self.0.len() == 1 && !version.is_empty()).then_some(version)
    }
}

impl<'a> FromIterator<(&'a str, Stage)> for Versions {
    fn from_iter<I: IntoIterator<Item = (&'a str, Stage)>>(versions: I) -> Self {
        let versions = versions.into_iter();
        Self(
            versions
                .map(|(version, stage)| (version.to_owned(), stage))
                .collect(),
        )
    }
}
