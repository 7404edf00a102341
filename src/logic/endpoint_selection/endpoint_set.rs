//! The endpoint set: the backends that serve a key, and when a set grows or shrinks. Read
//! [`choose`] first.

use super::{LeastLoaded, LoadView, SET_GROWTH_GAP};
use crate::interface::BackendId;
use crate::state::KeyEntry;
use crate::time::{TimeSpan, Timestamp};

/// The time without a change after which a set drops a backend (parameter Q of HyLARD).
const SHRINK_AFTER: TimeSpan = TimeSpan::from_ms(60_000.0);

/// The inputs of [`choose`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceInputs<'a> {
    /// The endpoint set of the key, including backends that are not eligible.
    pub(super) set: &'a [BackendId],
    /// Whether the key is large.
    pub(super) is_large: bool,
    /// The least loaded eligible backend of the set, if any is eligible.
    pub(super) least_in_set: Option<LeastLoaded>,
    /// The least loaded of all eligible nodes.
    pub(super) least_of_all: LeastLoaded,
    /// Whether the origin accepts requests but has no capacity left.
    pub(super) is_origin_full: bool,
}

/// The backend that receives a request, and whether its key's set changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SetChoice {
    /// A backend of the set receives the request.
    Keep(BackendId),
    /// A backend outside the set receives the request and is added to the set.
    Grow(BackendId),
    /// A backend outside the set receives the request without being added, because no backend of
    /// the set is eligible.
    Overflow(BackendId),
}

/// Decides whether a backend of the key's set or another one receives a request.
///
/// Inputs: the set; the least loaded backends of the set and of all nodes, with their loads in
/// requests in flight; whether the key is large; whether the origin is full.
/// Reason: a set grows when its backends are loaded much more than others, or when the set is
/// smaller than the key's request frequency requires. The set of a large key does not grow, and
/// while the origin is full no set grows, since each new backend begins with a miss. Requests that
/// no backend of the set can take go to other backends, so that a hot key does not overload its
/// set.
/// Source: HyLARD, sections 3.1 (large files) and 3.3 (M).
pub(super) fn choose(inputs: &ChoiceInputs) -> SetChoice {
    let further = inputs.least_of_all.backend;
    let Some(least_in_set) = inputs.least_in_set else {
        return if inputs.set.is_empty() { SetChoice::Grow(further) } else { SetChoice::Overflow(further) };
    };
    let is_balanced = least_in_set.load - inputs.least_of_all.load < SET_GROWTH_GAP;
    let is_too_small = inputs.set.len() < inputs.least_of_all.candidates && !inputs.set.contains(&further);
    let grows = (!is_balanced || is_too_small) && !inputs.is_large && !inputs.is_origin_full;
    if grows {
        SetChoice::Grow(further)
    } else {
        SetChoice::Keep(least_in_set.backend)
    }
}

/// Decides which backend a set drops, if any: the most loaded one besides the chosen backend.
///
/// Inputs: the key's set and the time of its last change; the backend that receives the request;
/// the loads; the time now.
/// Reason: a set that has not changed for long is larger than the key's request frequency requires.
/// Source: HyLARD, section 3.3 (Q).
pub(in crate::logic) fn dropped_backend(
    entry: Option<&KeyEntry>,
    chosen: BackendId,
    loads: LoadView,
    now: Timestamp,
) -> Option<BackendId> {
    let entry = entry?;
    if entry.endpoint_set.len() < 2 || now - entry.last_change <= SHRINK_AFTER {
        return None;
    }
    let others = entry.endpoint_set.iter().copied().filter(|id| *id != chosen);
    others.max_by(|a, b| loads.load(*a).total_cmp(&loads.load(*b)))
}
