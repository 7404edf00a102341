//! The operators' HTTP endpoint: a second address that takes HTTP/1.1 requests, one a connection.
//! Read [`AdminServer`] first. It decides nothing: `request` parses, `handler` puts requests to an
//! [`AdminBackend`], `response` encodes what that answers.

mod backend;
mod connection;
#[cfg(test)]
mod golden_tests;
mod handler;
mod request;
mod response;

pub use backend::{AdminBackend, FleetReportError, NotReady, NotServing};

use super::deadline_stream::{sleep, DeadlineStream};
use super::descriptors::MAX_ADMIN_CONNECTIONS;
use super::listener::{Listener, Stream};
use super::log::log_fault;
use connection::ConnectionSlot;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Between attempts to accept, when that fails or all connections are taken.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

/// The operators' endpoint of one process.
pub struct AdminServer {
    listener: Listener,
    /// Guards the connections that are open.
    connections: Mutex<OpenConnections>,
}

/// The connections that are open, of [`MAX_ADMIN_CONNECTIONS`] at the most.
#[derive(Default)]
struct OpenConnections {
    count: usize,
    /// Those whose request is incomplete, by their number in the order of arrival.
    incomplete: BTreeMap<u64, DeadlineStream<Stream>>,
}

impl AdminServer {
    /// Opens the endpoint. Operators wait until it is served.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub fn open(address: SocketAddr) -> io::Result<Arc<AdminServer>> {
        let listener = Listener::new(super::listener::open(address)?)?;
        Ok(Arc::new(AdminServer { listener, connections: Mutex::default() }))
    }

    /// The address it listens on.
    ///
    /// # Errors
    ///
    /// If the system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Answers operators from now on.
    pub fn serve(self: Arc<Self>, backend: Arc<dyn AdminBackend>) {
        // Ends with the process: nothing stops this listener before.
        may::go!(move || self.accept_connections(&backend));
    }

    fn accept_connections(self: &Arc<Self>, backend: &Arc<dyn AdminBackend>) {
        for number in 0.. {
            let stream = match self.listener.accept() {
                Ok(Some(stream)) => DeadlineStream::new(stream),
                Ok(None) => return,
                Err(error) => {
                    log_fault(&format!("admin: accept: {error}"));
                    sleep(ACCEPT_RETRY);
                    continue;
                }
            };
            while !self.has_room() {
                sleep(ACCEPT_RETRY);
            }
            let slot = ConnectionSlot::take(self, number, &stream);
            let backend = Arc::clone(backend);
            // Ends by itself: each step of a connection has a deadline.
            may::go!(move || {
                // An error says that the operator has gone.
                let _ = slot.answer(&stream, &*backend);
            });
        }
    }

    /// Whether one more connection may be open. If not, the oldest one without a complete request
    /// is closed.
    fn has_room(&self) -> bool {
        let oldest = {
            let mut connections = self.connections();
            if connections.count < MAX_ADMIN_CONNECTIONS {
                return true;
            }
            connections.incomplete.pop_first()
        };
        if let Some((_, stream)) = oldest {
            stream.shutdown();
        }
        false
    }

    fn connections(&self) -> MutexGuard<'_, OpenConnections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
