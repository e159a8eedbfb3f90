//! What a request is known by when a process crashes under it.

/// A request, and the parts that it shares with others.
///
/// `K` identifies a request or a part; no request has the key of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subjects<K> {
    request: K,
    parts: Vec<K>,
}

impl<K: Copy + PartialEq> Subjects<K> {
    /// Creates the subjects of a request with parts that other requests may share.
    pub const fn new(request: K, parts: Vec<K>) -> Self {
        Self { request, parts }
    }

    /// Returns the request itself.
    pub const fn request(&self) -> K {
        self.request
    }

    /// Returns the parts.
    pub fn parts(&self) -> &[K] {
        &self.parts
    }

    /// Returns the request and its parts.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Returns whether a key is that of the request or one of its parts.
    pub fn has(&self, key: K) -> bool {
        self.request == key || self.parts.contains(&key)
    }

    /// Returns the request alone.
    #[must_use]
    pub const fn without_parts(&self) -> Self {
        Self::new(self.request, Vec::new())
    }
}

impl<K> From<K> for Subjects<K> {
    fn from(request: K) -> Self {
        Self {
            request,
            parts: Vec::new(),
        }
    }
}
