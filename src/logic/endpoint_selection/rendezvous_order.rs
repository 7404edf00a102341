//! [`RendezvousOrder`]: the order of the backends for a key by rendezvous hashing, and the key's
//! home among them.

use crate::interface::{BackendId, Key};
use crate::rendezvous;
use crate::state::{BackendTable, KeyTable};

/// The number of candidates for a key's home at a proxy with a small quota, as a multiple of the
/// key's fraction of all requests times the number of backends.
const CANDIDATE_MULTIPLE: f64 = 2.0;
/// The weight of an unknown backend.
const UNKNOWN_WEIGHT: f64 = 1.0;
/// The number of candidates where every proxy selects the first backend of the order.
const SINGLE_CANDIDATE: usize = 1;

/// The home of a key: the backend that serves the key while all backends are equally loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::logic) struct Home {
    /// The identifier of the backend.
    pub(in crate::logic) backend: BackendId,
    /// The number of candidates (the first backends in the key's order) from which this proxy
    /// selected the home.
    pub(in crate::logic) candidates: usize,
}

/// The inputs of the order of the backends for a key.
#[derive(Clone, Copy, Debug)]
pub(in crate::logic) struct RendezvousOrder<'a> {
    /// All known backends.
    pub(in crate::logic) backends: &'a BackendTable,
    /// The known keys, with their request frequencies.
    pub(in crate::logic) keys: &'a KeyTable,
    /// The number of this proxy.
    pub(in crate::logic) proxy_number: u32,
    /// Whether this proxy's quota is small, that is, many proxies share the fleet.
    pub(in crate::logic) has_small_quota: bool,
}

impl RendezvousOrder<'_> {
    /// Decides the home of a key among backends that are equally loaded.
    ///
    /// Inputs: the key and its request frequency; the backends; the least number of candidates.
    /// Reason: all proxies agree on a key's order without communication. Where many proxies share
    /// the fleet, none of them sees how much load a hot key puts on its home; the proxies therefore
    /// select different homes, among as many candidates as the key's frequency requires.
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

    /// Returns the number of candidates for the home of a key: a key with a tenth of all requests
    /// requires a tenth of the backends and gets twice as many candidates. The present request is
    /// counted as well, so that a new key has a candidate.
    fn candidates(&self, key: Key, backends: usize, min_candidates: usize) -> usize {
        if !self.has_small_quota {
            return SINGLE_CANDIDATE;
        }
        let frequency = self.keys.frequency(key);
        let wanted = CANDIDATE_MULTIPLE * (frequency.requests + 1.0) / frequency.total * backends as f64;
        (wanted as usize).max(min_candidates)
    }

    /// Derives from a key another key that is particular to this proxy and does not change over
    /// time.
    pub(in crate::logic) fn per_proxy_key(&self, key: Key) -> Key {
        rendezvous::per_proxy_key(key, self.proxy_number)
    }

    /// Returns the score of a backend for a key, which is the same at every proxy. The backend with
    /// the lowest score is first in the order.
    fn score(&self, key: Key, id: BackendId) -> f64 {
        let weight = self.backends.get(&id).map_or(UNKNOWN_WEIGHT, |backend| backend.info.effective_weight());
        rendezvous::score(key, id, weight)
    }
}
