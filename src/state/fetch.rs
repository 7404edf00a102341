//! [`FetchTable`]: the origin fetches in progress, at most one per key (single flight).

use crate::interface::{BackendId, Key, RequestId};
use std::collections::BTreeMap;

/// A fetch of a key from the origin, for which other requests may wait.
#[derive(Debug)]
pub(crate) struct OriginFetch {
    /// The request that makes the fetch.
    pub(crate) leader: RequestId,
    /// The cache node that missed, and will hold the key after the fetch.
    pub(crate) node: BackendId,
    /// The requests that wait for the fetch, in the order in which they began to wait.
    pub(crate) waiters: Vec<RequestId>,
}

/// The fetches in progress, by key.
#[derive(Debug, Default)]
pub(crate) struct FetchTable(BTreeMap<Key, OriginFetch>);

impl FetchTable {
    /// Returns the fetch of a key, if one is in progress.
    pub(crate) fn get(&self, key: Key) -> Option<&OriginFetch> {
        self.0.get(&key)
    }

    /// Returns the fetch of a key for modification, if one is in progress.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut OriginFetch> {
        self.0.get_mut(&key)
    }

    /// Records that a request fetches a key after a miss at `node`. Requests without a key are not
    /// recorded.
    pub(crate) fn begin(&mut self, key: Key, leader: RequestId, node: BackendId) {
        if !key.is_none() {
            self.0.insert(key, OriginFetch { leader, node, waiters: Vec::new() });
        }
    }

    /// Removes and returns the fetch of a key, if this request makes it.
    pub(crate) fn remove_if_leader(&mut self, leader: RequestId, key: Key) -> Option<OriginFetch> {
        self.0.get(&key).filter(|fetch| fetch.leader == leader)?;
        self.0.remove(&key)
    }
}
