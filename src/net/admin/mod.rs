//! The operators' HTTP endpoint: a second address that accepts HTTP/1.1 requests, one per
//! connection. Read [`AdminServer`] first. The endpoint makes no decisions about the proxy:
//! `request` parses, `handler` passes requests to an [`AdminBackend`], `response` encodes the
//! answers.

mod backend;
mod connection;
#[cfg(test)]
mod golden_tests;
mod handler;
mod request;
mod response;

pub use backend::{AdminBackend, FleetReportError, NotReady, NotServing};

use super::deadline_stream::{sleep, DeadlineStream};
use super::listener::{Listener, Stream};
use super::log::log_fault;
use connection::ConnectionSlot;
use pinetrail_config::MAX_ADMIN_CONNECTIONS;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The delay before accepting again after an error, or while all connections are in use.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The operators' HTTP endpoint of one process.
pub struct AdminServer {
    /// The listener; `None` once the endpoint is closed. The lock guards only this value.
    listener: Mutex<Option<Arc<Listener>>>,
    connections: Mutex<OpenConnections>,
}

/// The open connections, at most [`MAX_ADMIN_CONNECTIONS`].
#[derive(Default)]
struct OpenConnections {
    count: usize,
    /// The connections whose request is incomplete, by their number in the order of arrival.
    incomplete: BTreeMap<u64, DeadlineStream<Stream>>,
}

impl AdminServer {
    /// Opens the endpoint. Operators get no response before [`AdminServer::serve`].
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub fn open(address: SocketAddr) -> io::Result<Arc<AdminServer>> {
        let listener = Arc::new(Listener::new(super::listener::open(address)?)?);
        let listener = Mutex::new(Some(listener));
        Ok(Arc::new(AdminServer { listener, connections: Mutex::default() }))
    }

    /// Returns the address on which the endpoint listens.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call, or [`io::ErrorKind::NotConnected`] once the endpoint is
    /// closed.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let listener = self.listener().clone();
        listener.ok_or(io::ErrorKind::NotConnected)?.address()
    }

    /// Starts to accept connections, and executes operators' requests on this backend.
    pub fn serve(self: &Arc<Self>, backend: Arc<dyn AdminBackend>) {
        let Some(listener) = self.listener().clone() else { return };
        let server = Arc::clone(self);
        // The coroutine ends when the endpoint is closed.
        may::go!(move || server.accept_connections(&listener, &backend));
    }

    /// Gives the address up, so that another process can listen on it. Open connections are still
    /// served.
    pub fn close(&self) {
        // The socket is closed once the accepting coroutine has ended too.
        if let Some(listener) = self.listener().take() {
            listener.release();
        }
    }

    fn listener(&self) -> MutexGuard<'_, Option<Arc<Listener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept_connections(self: &Arc<Self>, listener: &Listener, backend: &Arc<dyn AdminBackend>) {
        for number in 0.. {
            let stream = match listener.accept() {
                Ok(Some(stream)) => DeadlineStream::new(stream),
                Ok(None) => return,
                Err(error) => {
                    log_fault(&format!(
                        "admin endpoint: accept failed, trying again in {ACCEPT_RETRY_DELAY:?}: {error}"
                    ));
                    sleep(ACCEPT_RETRY_DELAY);
                    continue;
                }
            };
            while !self.make_room() && !listener.is_stopped() {
                sleep(ACCEPT_RETRY_DELAY);
            }
            let slot = ConnectionSlot::acquire(self, number, &stream);
            let backend = Arc::clone(backend);
            // The coroutine always ends, because each step of a connection has a deadline.
            may::go!(move || {
                // An error means that the operator has closed the connection.
                let _ = slot.serve(&stream, &*backend);
            });
        }
    }

    /// Decides whether one more connection may be open. If not, closes the oldest connection whose
    /// request is incomplete.
    ///
    /// Inputs: the number of open connections, and which of them have no complete request.
    /// Reason: idle connections must not block the endpoint, and the oldest has had the most time.
    fn make_room(&self) -> bool {
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
