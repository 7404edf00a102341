//! Origin fetches: one request fetches a key that a cache node does not hold, and the other
//! requests for that key wait for the result (single flight). Read [`after_miss`] first.

use crate::interface::{BackendId, Key, RequestId};
use crate::state::FetchTable;

/// The decision on a request that missed a cache node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MissDecision {
    /// The request fetches the key from the origin.
    Fetch,
    /// The request waits for the fetch of another request.
    Wait,
}

/// Decides whether a request that missed fetches its key or waits for another request's fetch.
///
/// Inputs: the fetches in progress; the key; the request.
/// Reason: the origin is slow, and one fetch of a key serves all requests for that key.
/// Source: request coalescing (single flight).
pub(super) fn after_miss(fetches: &FetchTable, key: Key, request: RequestId) -> MissDecision {
    match fetches.get(key) {
        Some(fetch) if fetch.leader != request => MissDecision::Wait,
        _ => MissDecision::Fetch,
    }
}

/// Decides whether a request for this key at this cache node waits for a fetch in progress.
///
/// Inputs: the fetches in progress; the key; the cache node that is selected for the request.
/// Reason: until the fetch ends the node does not hold the key, so that the request would miss.
/// Source: request coalescing (single flight).
pub(super) fn is_under_way(fetches: &FetchTable, key: Key, node: BackendId) -> bool {
    fetches.get(key).is_some_and(|fetch| fetch.node == node)
}
