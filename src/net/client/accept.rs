//! Accepts client connections while the descriptor budget allows more. Read
//! [`ClientService::accept_until_stopped`] first.

use super::connection::Connection;
use super::registry::{ConnectionHandle, ConnectionRegistry};
use super::ClientService;
use crate::net::deadline_stream::sleep;
use crate::net::listener::{Listener, Stream};
use crate::net::log::log_fault;
use crate::net::request_log;
use pinetrail_connection_limits::{CloseOrder, ConnectionId};
use std::sync::Arc;
use std::time::Duration;

/// The interval between attempts to accept while accepting fails or the capacity is exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Whether one more client connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Capacity {
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
                    self.counters.connections_accepted.increment();
                    self.serve_connection(last_id, stream, listener.queue_time());
                }
                Ok(None) => return,
                Err(error) => {
                    log_fault(&format!("accepting a client connection failed, retrying: {error}"));
                    sleep(ACCEPT_RETRY_INTERVAL);
                }
            }
            self.wait_for_capacity(listener);
        }
    }

    /// Waits until one more connection can be accepted.
    fn wait_for_capacity(&self, listener: &Listener) {
        while self.update_capacity() == Capacity::Exhausted && !listener.is_stopped() {
            self.evict_connections();
            sleep(ACCEPT_RETRY_INTERVAL);
        }
    }

    /// Updates the limit of client connections, and decides whether one more can be accepted.
    ///
    /// Inputs: the open client connections, and the descriptor budget.
    /// Reason: clients and backends share the descriptors of the process.
    /// Source: docs/connection-limits.md.
    pub(super) fn update_capacity(&self) -> Capacity {
        self.with_registry(|registry| {
            let capacity = self.descriptors.update_clients(registry.open_connections());
            registry.set_capacity(capacity.limit);
            if capacity.can_accept {
                Capacity::Available
            } else {
                Capacity::Exhausted
            }
        })
    }

    /// Orders connections to close, to make room for new ones.
    fn evict_connections(&self) {
        let now = self.descriptors.now();
        self.issue_close_orders(|registry| registry.make_room(now));
    }

    /// Passes the close orders of `decide` to their connections, after the registry is unlocked.
    pub(super) fn issue_close_orders(&self, decide: impl FnOnce(&mut ConnectionRegistry) -> Vec<CloseOrder>) {
        let orders: Vec<(CloseOrder, Arc<ConnectionHandle>)> = self.with_registry(|registry| {
            let orders = decide(registry);
            orders.into_iter().filter_map(|order| Some((order, registry.handle(order.id)?))).collect()
        });
        for (order, handle) in orders {
            handle.close(order);
        }
    }

    /// Registers a connection and serves it on a coroutine of its own, which ends with the
    /// connection. `queue_time` is how long the connection may have been in the accept queue.
    fn serve_connection(self: &Arc<Self>, id: ConnectionId, stream: Stream, queue_time: Duration) {
        // An error means that the client has disconnected, which the first read reports.
        let _ = stream.inner().set_nodelay(true);
        let now = self.descriptors.now();
        let handle = Arc::new(ConnectionHandle::new(stream.waker(), now));
        self.with_registry(|registry| registry.insert(now, id, Arc::clone(&handle)));
        request_log::connection_accepted(id);
        let service = Arc::clone(self);
        may::go!(move || {
            let mut connection = Connection::new(&service, id, handle, stream, queue_time);
            // Open requests are cancelled when the connection is dropped.
            if connection.serve().is_err() {
                connection.record_disconnect();
            }
        });
    }
}
