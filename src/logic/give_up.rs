//! Giving up: the final response to a request that no backend served. Read [`decide`] first.

use super::retry::idempotency::RepeatSafety;
use crate::interface::GiveUpReason;
use crate::time::TimeSpan;

/// The Retry-After of a rejection, as a fraction of the longest Retry-After that clients heed.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// The final response to a request that is given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum GiveUpResponse {
    /// The request is rejected: the client may send it again.
    Reject {
        /// The time that the client should wait before it sends the request again; 0 gives no
        /// advice.
        retry_after: TimeSpan,
    },
    /// The request fails: whether it was executed is unknown.
    Fail,
}

/// Decides the final response to a request that is given up, and its Retry-After.
///
/// Inputs: the reason; whether the client may safely repeat the request at any backend; the longest
/// Retry-After that clients heed, in ms.
/// Reason: a rejection promises that a repeat has no second effect. A class that is not in the
/// settings stays unknown however long the client waits, so that no wait is advised.
/// Source: rule 2 (docs/decisions.md).
pub(super) fn decide(
    reason: GiveUpReason,
    repeat: RepeatSafety,
    max_retry_after: TimeSpan,
) -> GiveUpResponse {
    if !repeat.is_safe() {
        return GiveUpResponse::Fail;
    }
    let retry_after = match reason {
        GiveUpReason::UnknownClass => TimeSpan::ZERO,
        _ => max_retry_after * RETRY_AFTER_FRACTION,
    };
    GiveUpResponse::Reject { retry_after }
}

#[cfg(test)]
mod tests;
