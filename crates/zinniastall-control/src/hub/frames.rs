//! Frames that many links send alike, encoded once.

use std::cell::RefCell;

use bytes::Bytes;
use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::{
    frame::{Error, Frame},
    hub::Message,
};

use super::{Version, targets::Versions};

/// What a frame tells, so that links that need the same share it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Key {
    /// Targets that are news to a link of a region.
    Targets {
        /// Region of the link.
        region: id::Region,
        /// What the link was told.
        seen: Versions,
        /// Whether other regions' targets are in it.
        include_remote: bool,
        /// Version of the table.
        version: Version,
    },
    /// Instances that are news to a subscriber.
    Instances {
        /// What the subscriber was told.
        seen: Version,
        /// Version of the table.
        version: Version,
    },
    /// Load of all regions.
    Loads,
    /// Requests that aren't run any more, as of a revision.
    Suspects(id::Revision),
    /// The configuration of a revision.
    Configuration(id::Revision),
    /// What has changed of it since an earlier revision.
    Changes {
        /// The earlier revision.
        from: id::Revision,
        /// Revision.
        revision: id::Revision,
    },
}

/// Frames encoded since the last round.
#[derive(Debug, Default)]
pub(super) struct Cache {
    encoded: RefCell<IndexMap<Key, Option<Bytes>>>,
}

impl Cache {
    /// Returns the frame under a key, encoded now if it isn't at hand; none where there is nothing to tell.
    ///
    /// # Errors
    ///
    /// [`Error`] where the message can't be encoded.
    pub(super) fn get(
        &self,
        key: Key,
        message: impl FnOnce() -> Option<Message>,
    ) -> Result<Option<Bytes>, Error> {
        if let Some(bytes) = self.encoded.borrow().get(&key) {
            return Ok(bytes.clone());
        }
        let encode = |message| Frame::Hub(message).encode().map(Bytes::from);
        let bytes = message().map(encode).transpose()?;
        self.encoded.borrow_mut().insert(key, bytes.clone());
        Ok(bytes)
    }

    /// Forgets the frames of the last round. A configuration is kept for as long as it is the last one: all
    /// instances fetch it, each when it hears of it.
    pub(super) fn next_round(&self, revision: id::Revision) {
        let last = Key::Configuration(revision);
        self.encoded.borrow_mut().retain(|key, _| *key == last);
    }
}
