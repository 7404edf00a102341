//! [`RendezvousOrder`]: the order of the backends for a key, and the key's home among them.

use crate::interface::{BackendId, Key};
use crate::rendezvous;
use crate::state::{BackendTable, KeyTable};

/// A proxy with a small quota draws a key's home among this many times as many backends as the
/// key's fraction of all requests makes of the nodes.
const CANDIDATE_MULTIPLE: f64 = 2.0;
/// The relative size of a backend that is not known.
const UNKNOWN_WEIGHT: f64 = 1.0;
/// The place of the home among the backends where each proxy takes the first.
const SINGLE_CANDIDATE: usize = 1;

/// The home of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::logic) struct Home {
    /// The backend.
    pub(in crate::logic) backend: BackendId,
    /// Among how many backends, the first in the key's order, this proxy drew it.
    pub(in crate::logic) candidates: usize,
}

/// What the order of the backends for a key depends on.
#[derive(Clone, Copy, Debug)]
pub(in crate::logic) struct RendezvousOrder<'a> {
    /// All backends.
    pub(in crate::logic) backends: &'a BackendTable,
    /// How often keys were requested.
    pub(in crate::logic) keys: &'a KeyTable,
    /// This proxy's number.
    pub(in crate::logic) proxy_number: u32,
    /// Whether this proxy's quota is small, so that the proxies are many.
    pub(in crate::logic) has_small_quota: bool,
}

impl RendezvousOrder<'_> {
    /// Decides: the home of a key among backends that are equally loaded.
    /// Inputs: the key and its frequency; the backends; the least number of candidates.
    /// Reason: all proxies agree on a key's order without communication. Where they are many, none
    /// sees how loaded a hot key makes its home; they draw different homes, among as many candidates
    /// as the key's frequency asks for.
    /// Source: weighted rendezvous hashing (Thaler and Ravishankar, 1998).
    pub(in crate::logic) fn home(
        &self,
        key: Key,
        backends: impl Iterator<Item = BackendId>,
        min_candidates: usize,
    ) -> Option<Home> {
        let mut ordered: Vec<(f64, BackendId)> = backends.map(|id| (self.score(key, id), id)).collect();
        ordered.sort_by(|a, b| a.0.total_cmp(&b.0));
        let candidates = self.candidates(key, ordered.len(), min_candidates);
        ordered.truncate(candidates);
        let own_key = self.per_proxy_key(key);
        let own_score = |id| self.score(own_key, id);
        ordered.sort_by(|a, b| own_score(a.1).total_cmp(&own_score(b.1)));
        ordered.first().map(|(_, backend)| Home { backend: *backend, candidates })
    }

    /// Among how many backends the home of a key is drawn: a key with a tenth of all requests asks
    /// for a tenth of the backends, and gets twice that as candidates. One request more is counted
    /// than there was, so that a new key has a candidate.
    fn candidates(&self, key: Key, backends: usize, min_candidates: usize) -> usize {
        if !self.has_small_quota {
            return SINGLE_CANDIDATE;
        }
        let frequency = self.keys.frequency(key);
        let wanted = CANDIDATE_MULTIPLE * (frequency.requests + 1.0) / frequency.total * backends as f64;
        (wanted as usize).max(min_candidates)
    }

    /// A key of this proxy's own: what is drawn by it differs between proxies, but not in time.
    pub(in crate::logic) fn per_proxy_key(&self, key: Key) -> Key {
        rendezvous::per_proxy_key(key, self.proxy_number)
    }

    /// The score of a backend for a key, the same at every proxy; the lowest is first.
    fn score(&self, key: Key, id: BackendId) -> f64 {
        let weight = self.backends.get(&id).map_or(UNKNOWN_WEIGHT, |backend| backend.info.effective_weight());
        rendezvous::score(key, id, weight)
    }
}
