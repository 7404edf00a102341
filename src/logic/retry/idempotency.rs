//! Idempotency: whether one more attempt, or a client's repeat after a rejection, could have an
//! effect twice. Read [`RepeatSafety`] first.
//!
//! Invariant: retrying a request that may have executed could apply its effect twice. Whatever is
//! not known counts as executed.

use super::DecisionTime;
use crate::interface::{EndpointInfo, Outcome};
use crate::settings::{Class, DeduplicationScope, Idempotency};
use crate::state::{Attempt, BackendTable, PendingRequest};
use crate::time::TimeSpan;

/// A deduplication window is shortened by the write delay, but by no more than this fraction.
const MAX_WINDOW_FRACTION_FOR_WRITES: f64 = 0.5;

/// Whether a repeat of a request could have an effect twice, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::logic) enum RepeatSafety {
    /// No attempt can have executed.
    NeverExecuted,
    /// It may execute any number of times.
    Idempotent,
    /// The backends drop the repeat.
    Deduplicated,
    /// The repeat may execute as well.
    Unsafe,
}

impl RepeatSafety {
    /// Whether a repeat has no further effect.
    pub(in crate::logic) fn is_safe(self) -> bool {
        self != RepeatSafety::Unsafe
    }
}

/// Decides: whether an attempt now, at a backend that drops repeats, could have an effect twice.
/// Inputs: the request with its class and attempts; the time.
/// Reason: repeats are dropped within the deduplication window only.
/// Source: rule 2 (docs/decisions.md).
pub(in crate::logic) fn safety_in_window(pending: &PendingRequest, time: DecisionTime) -> RepeatSafety {
    repeat_safety(pending, |first| is_inside_window(first, &pending.class, time))
}

/// Decides: whether an attempt at this backend could have an effect twice, within the window.
/// Inputs: the request with its class and attempts; what the endpoint list says of the backend and
/// of the others.
/// Reason: repeats are dropped among the backends of the class's deduplication scope only.
/// Source: rule 2 (docs/decisions.md).
pub(in crate::logic) fn safety_at_backend(
    pending: &PendingRequest,
    target: &EndpointInfo,
    backends: &BackendTable,
) -> RepeatSafety {
    repeat_safety(pending, |first| {
        // Backends stay known while a pending request has been sent there.
        let Some(executed_at) = backends.get(&first.backend) else { return false };
        is_in_scope(pending.class.deduplication_scope, &executed_at.info, target)
    })
}

/// Decides: whether the client may repeat a request at any backend.
/// Inputs: the request with its class and attempts; the time.
/// Reason: a rejection invites the client to send the request again, and to any proxy.
/// Source: rule 2 (docs/decisions.md).
pub(in crate::logic) fn safety_anywhere(pending: &PendingRequest, time: DecisionTime) -> RepeatSafety {
    let is_everywhere = pending.class.deduplication_scope == DeduplicationScope::All;
    repeat_safety(pending, |first| is_everywhere && is_inside_window(first, &pending.class, time))
}

/// The time left in which an attempt of a request with an idempotency key may be sent; none if no
/// window limits it.
pub(super) fn window_left(pending: &PendingRequest, time: DecisionTime) -> Option<TimeSpan> {
    let class = &pending.class;
    if class.idempotency != Idempotency::IdempotencyKey {
        return None;
    }
    let first = first_possible_execution(pending)?;
    Some(first.sent_at + class.deduplication_window - time.now - usable_write_delay(class, time))
}

fn repeat_safety(pending: &PendingRequest, is_dropped: impl Fn(&Attempt) -> bool) -> RepeatSafety {
    let Some(first) = first_possible_execution(pending) else { return RepeatSafety::NeverExecuted };
    match pending.class.idempotency {
        Idempotency::Idempotent => RepeatSafety::Idempotent,
        Idempotency::IdempotencyKey if is_dropped(first) => RepeatSafety::Deduplicated,
        Idempotency::IdempotencyKey | Idempotency::NotIdempotent => RepeatSafety::Unsafe,
    }
}

/// The first attempt that may have executed, if any.
fn first_possible_execution(pending: &PendingRequest) -> Option<&Attempt> {
    pending.attempts.iter().find(|attempt| may_have_executed(attempt.outcome))
}

/// Whether an attempt that ended like this, or has not ended, may have executed.
fn may_have_executed(outcome: Option<Outcome>) -> bool {
    use Outcome::{ConnectFailed, Full, Miss, Moot};
    !matches!(outcome, Some(ConnectFailed | Full | Miss | Moot))
}

/// Whether repeats of an attempt are still dropped when what is sent now arrives.
fn is_inside_window(first: &Attempt, class: &Class, time: DecisionTime) -> bool {
    let usable_window = class.deduplication_window - usable_write_delay(class, time);
    time.now - first.sent_at < usable_window - time.tick
}

/// How long after its decision an attempt may be written, as far as its class's deduplication
/// window allows.
fn usable_write_delay(class: &Class, time: DecisionTime) -> TimeSpan {
    time.write_delay.min(class.deduplication_window * MAX_WINDOW_FRACTION_FOR_WRITES)
}

/// Whether two backends drop each other's repeats.
fn is_in_scope(scope: DeduplicationScope, executed_at: &EndpointInfo, target: &EndpointInfo) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => executed_at.zone == target.zone,
        DeduplicationScope::Cell => executed_at.cell == target.cell,
    }
}
