//! Accepting: new connections, and room for them within the descriptors that clients may hold. Read
//! [`ClientService::accept_until_stopped`].

use super::connection::Connection;
use super::registry::{ConnectionHandle, ConnectionRegistry};
use super::ClientService;
use crate::net::deadline_stream::sleep;
use crate::net::listener::{Listener, Stream};
use crate::net::log::log_fault;
use crate::net::request_log;
use may::io::WaitIo;
use pinetrail_connection_limits::{CloseOrder, ConnectionId};
use std::sync::Arc;
use std::time::Duration;

/// Between attempts to accept, when that fails or the capacity is used up.
const ACCEPT_RETRY: Duration = Duration::from_millis(2);

/// Whether one more client connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    Available,
    Exhausted,
}

impl ClientService {
    /// Accepts connections, each served by a coroutine of its own, until the listener stops.
    pub(super) fn accept_until_stopped(self: &Arc<Self>, listener: &Listener) {
        let mut last_id = 0;
        loop {
            match listener.accept() {
                Ok(Some(stream)) => {
                    last_id += 1;
                    self.counters.consumers_accepted.increment();
                    self.serve_connection(last_id, stream, listener.queued_for());
                }
                Ok(None) => return,
                Err(error) => {
                    log_fault(&format!("accept: {error}"));
                    sleep(ACCEPT_RETRY);
                }
            }
            self.wait_for_room(listener);
        }
    }

    /// Waits until one more connection can be accepted.
    fn wait_for_room(&self, listener: &Listener) {
        while self.update_capacity() == Room::Exhausted && !listener.is_stopped() {
            self.make_room();
            sleep(ACCEPT_RETRY);
        }
    }

    /// Takes over how many connections the descriptors allow now.
    pub(super) fn update_capacity(&self) -> Room {
        self.with_registry(|registry| {
            let capacity = self.descriptors.update_clients(registry.open());
            registry.set_capacity(capacity.limit);
            if capacity.has_room {
                Room::Available
            } else {
                Room::Exhausted
            }
        })
    }

    fn make_room(&self) {
        let now = self.descriptors.now_ms();
        self.issue_close_orders(|registry| registry.make_room(now));
    }

    /// Passes orders to close on to their connections, with the registry's lock released.
    pub(super) fn issue_close_orders(&self, decide: impl FnOnce(&mut ConnectionRegistry) -> Vec<CloseOrder>) {
        let orders: Vec<(CloseOrder, Arc<ConnectionHandle>)> = self.with_registry(|registry| {
            let orders = decide(registry);
            orders.into_iter().filter_map(|order| Some((order, registry.handle(order.id)?))).collect()
        });
        for (order, handle) in orders {
            handle.close(order);
        }
    }

    /// Serves a connection, which may have waited to be accepted for `queued_for`. Its coroutine ends
    /// with the connection.
    fn serve_connection(self: &Arc<Self>, id: ConnectionId, stream: Stream, queued_for: Duration) {
        // A client that has gone already is noticed when it is read from.
        let _ = stream.inner().set_nodelay(true);
        let now = self.descriptors.now_ms();
        let handle = Arc::new(ConnectionHandle::new(stream.waker(), now));
        self.with_registry(|registry| registry.insert(now, id, Arc::clone(&handle)));
        request_log::connection_accepted(id);
        let service = Arc::clone(self);
        may::go!(move || {
            let mut connection = Connection::new(&service, id, handle, stream, queued_for);
            // What the client left behind ends with the connection.
            if connection.serve().is_err() {
                connection.note_client_gone();
            }
        });
    }
}
