//! The ids of requests that may not be repeated, which the two processes of an upgrade exchange: a
//! client may send a request to one process and the same id to the other. Read
//! [`Dispatcher::announce_id`] first.

use super::executed_ids::{hash_id, IdHash};
use super::messages::ClientRequest;
use super::Dispatcher;
use std::time::Instant;

/// Announces the id of a request to the other process, and returns the ids that the other process has
/// announced.
pub type IdExchange = Box<dyn Fn(IdHash) -> Vec<IdHash> + Send + Sync>;

impl Dispatcher {
    /// Sets the exchange of ids. Only the first call has an effect.
    pub fn exchange_ids(&self, exchange: IdExchange) {
        // A later exchange is dropped, as documented.
        let _ = self.id_exchange.set(exchange);
    }

    /// Announces the id of a request that may not be repeated, unless the id is known already, and
    /// remembers the ids that the other process has announced. The caller submits the request after
    /// that, so that each process knows an id before the other one writes an attempt.
    pub fn announce_id(&self, request: &ClientRequest) {
        let Some(exchange) = self.id_exchange.get() else { return };
        let id = hash_id(&request.opaque);
        let needs_exchange = {
            let state = self.lock();
            let is_known = state.open_ids.contains(&request.opaque) || state.executed_ids.contains(id);
            !state.is_idempotent(request.class) && !is_known
        };
        if needs_exchange {
            self.remember_ids(&exchange(id));
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
        if ids.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut state = self.lock();
        for id in ids {
            state.executed_ids.insert(*id, now);
        }
    }
}
