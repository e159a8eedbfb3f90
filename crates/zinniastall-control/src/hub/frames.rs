//! Caches encoded frames, so that a frame that many links send is encoded once.

use std::cell::RefCell;

use bytes::Bytes;
use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::{
    frame::{Error, Frame},
    hub::Message,
};

use super::{Version, targets::Versions};

/// Content of a frame; links that need the same content share the frame.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Key {
    /// Targets that a link has not been sent yet.
    Targets {
        /// Region of the link.
        region: id::Region,
        /// Versions that the link was sent.
        seen: Versions,
        /// Whether targets of other regions are included.
        include_remote: bool,
        /// Version of the table.
        version: Version,
    },
    /// Instances that a subscriber has not been sent yet.
    Instances {
        /// Version that the subscriber was sent.
        seen: Version,
        /// Version of the table.
        version: Version,
    },
    /// Load of all regions.
    Loads,
    /// Suspected requests, as of a revision.
    Suspects(id::Revision),
    /// The whole configuration of a revision.
    Configuration(id::Revision),
    /// Changes of the configuration since an earlier revision.
    Changes {
        /// The earlier revision.
        from: id::Revision,
        /// Revision after the changes.
        revision: id::Revision,
    },
}

/// Frames encoded since the last round.
#[derive(Debug, Default)]
pub(super) struct Cache {
    encoded: RefCell<IndexMap<Key, Option<Bytes>>>,
}

impl Cache {
    /// Returns the frame for a key, encoding it unless it is cached; `None` if there is nothing to
    /// send.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the message cannot be encoded.
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

    /// Clears the frames of the last round. The frame of the current configuration is kept, since
    /// all instances fetch it, each when it hears of it.
    pub(super) fn next_round(&self, revision: id::Revision) {
        let last = Key::Configuration(revision);
        self.encoded.borrow_mut().retain(|key, _| *key == last);
    }
}
