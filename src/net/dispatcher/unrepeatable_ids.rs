//! The ids of requests that may not be repeated, which the two processes of an upgrade exchange: a
//! client may send a request to one process and the same id to the other. Read
//! [`Dispatcher::announce_id`] first.

use super::executed_ids::{hash_id, IdHash};
use super::messages::ClientRequest;
use super::Dispatcher;
use std::time::Instant;

/// Receives the id of each request that may not be repeated before the request is submitted.
pub type IdObserver = Box<dyn Fn(IdHash) + Send + Sync>;

impl Dispatcher {
    /// Sets the receiver of ids. Only the first call has an effect.
    pub fn observe_ids(&self, observer: IdObserver) {
        // A later observer is dropped, as documented.
        let _ = self.id_observer.set(observer);
    }

    /// Passes the id of a request that may not be repeated to the observer. The caller submits the
    /// request after that, so that the other process knows the id before an attempt is written.
    pub fn announce_id(&self, request: &ClientRequest) {
        let Some(observer) = self.id_observer.get() else { return };
        let is_idempotent = self.lock().is_idempotent(request.class);
        if !is_idempotent {
            observer(hash_id(&request.opaque));
        }
    }

    /// Returns the ids of requests that may not be repeated: the open ones, and those that may have
    /// been executed.
    pub fn unrepeatable_ids(&self) -> Vec<IdHash> {
        let state = self.lock();
        let open = state.requests.values().filter(|request| !request.is_idempotent);
        let open_ids = open.map(|request| hash_id(&request.request.opaque));
        open_ids.chain(state.executed_ids.hashes()).collect()
    }

    /// Remembers ids of the other process like those of this one.
    pub fn remember_ids(&self, ids: &[IdHash]) {
        let now = Instant::now();
        let mut state = self.lock();
        for id in ids {
            state.executed_ids.insert(*id, now);
        }
    }
}
