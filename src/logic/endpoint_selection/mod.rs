//! Endpoint selection: which of the eligible backends receives a request. The algorithm is HyLARD,
//! a locality-aware request distribution. Read [`select`] first. `endpoint_set` holds the rules for
//! the set of backends of a key, `rendezvous_order` the order of the backends for a key, and `load`
//! the load of a backend.

mod endpoint_set;
mod load;
mod rendezvous_order;

pub(super) use endpoint_set::dropped_backend;
pub(super) use load::{stays_in_zone, LoadView};
pub(super) use rendezvous_order::RendezvousOrder;

use crate::interface::{BackendId, Key};
use crate::state::KeyEntry;
use endpoint_set::SetChoice;

/// The load gap, in requests in flight, between the least loaded backend of a set and the least
/// loaded one of all nodes from which on the set grows (parameter M of HyLARD).
pub(in crate::logic) const SET_GROWTH_GAP: f64 = 4.0;
/// The fraction of keys that count as large. A large key is served by one backend.
pub(super) const LARGE_KEY_FRACTION: f64 = 0.16;

/// The inputs of [`select`].
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionInputs<'a> {
    /// The key of the request.
    pub(super) key: Key,
    /// The stored state of the key, if there is any.
    pub(super) entry: Option<&'a KeyEntry>,
    /// The backends that may receive the request.
    pub(super) eligible: &'a [BackendId],
    /// The loads of the backends.
    pub(super) loads: LoadView<'a>,
    /// The rendezvous order of the backends.
    pub(super) order: RendezvousOrder<'a>,
    /// Whether the origin accepts requests but has no capacity left.
    pub(super) is_origin_full: bool,
}

/// The selected backend, and the effect of the selection on the key's endpoint set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Selection {
    /// No backend is eligible.
    NoBackend,
    /// This backend is selected for a request without a key, which has no endpoint set.
    WithoutKey(BackendId),
    /// This backend is selected because no backend of the set is eligible; the set is unchanged.
    Overflow(BackendId),
    /// This backend is selected and is in the set, or is to be added to the set.
    InSet(BackendId),
}

/// Decides which of the eligible backends receives a request.
///
/// Inputs: the key and its endpoint set; the eligible backends with their loads, in requests in
/// flight; the order of the backends for the key; whether the origin is full.
/// Reason: a key that is sent to few backends is found in their caches; a key that is requested
/// more often than its backends can serve gets additional backends.
/// Source: HyLARD, section 3.3, figure 2.
pub(super) fn select(inputs: &SelectionInputs) -> Selection {
    let Some(least) = least_loaded(inputs, inputs.eligible) else { return Selection::NoBackend };
    if inputs.key.is_none() {
        return Selection::WithoutKey(least.backend);
    }
    let set = inputs.entry.map_or(&[][..], |entry| &entry.endpoint_set);
    let eligible_set: Vec<BackendId> =
        set.iter().copied().filter(|id| inputs.eligible.contains(id)).collect();
    let choice = endpoint_set::choose(&endpoint_set::ChoiceInputs {
        set,
        is_large: inputs.entry.is_some_and(|entry| entry.is_large),
        least_in_set: least_loaded(inputs, &eligible_set),
        least_of_all: least,
        is_origin_full: inputs.is_origin_full,
    });
    match choice {
        SetChoice::Keep(backend) | SetChoice::Grow(backend) => Selection::InSet(backend),
        SetChoice::Overflow(backend) => Selection::Overflow(backend),
    }
}

/// The backend that counts as the least loaded one for a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeastLoaded {
    /// The identifier of the backend.
    backend: BackendId,
    /// The number of candidates (the first backends in the key's order) from which this proxy
    /// selected the backend.
    candidates: usize,
    /// The least load of all, in requests in flight.
    load: f64,
}

/// Decides which backend counts as the least loaded one for a key.
///
/// Inputs: the backends with their loads, in requests in flight; their order for the key.
/// Reason: loads that differ by less than [`SET_GROWTH_GAP`] count as equal, and the rendezvous
/// order decides between them, so that all proxies agree without communication.
/// Source: HyLARD, section 3.3 (the least loaded node); rendezvous hashing for the agreement.
fn least_loaded(inputs: &SelectionInputs, ids: &[BackendId]) -> Option<LeastLoaded> {
    let load = |id: BackendId| inputs.loads.load(id);
    let least = ids.iter().map(|id| load(*id)).min_by(f64::total_cmp)?;
    let equals = ids.iter().copied().filter(|id| load(*id) - least < SET_GROWTH_GAP);
    let home = inputs.order.home(inputs.key, equals, 1)?;
    Some(LeastLoaded { backend: home.backend, candidates: home.candidates, load: least })
}

#[cfg(test)]
mod tests;
