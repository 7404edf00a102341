//! Serves one connection of an operator: reads a request, responds, and closes. Read
//! [`ConnectionSlot::serve`] first.

use super::backend::AdminBackend;
use super::handler;
use super::request::{self, AdminRequest, RequestError};
use super::response::AdminResponse;
use super::AdminServer;
use crate::net::deadline_stream::DeadlineStream;
use crate::net::listener::Stream;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The timeout for reading a request. The connection may be closed sooner, to make room for a new
/// one.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for writing a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time for which input after the response is discarded. Closing a connection with unread input
/// resets it, which could lose the response.
const DISCARD_DURATION: Duration = Duration::from_millis(200);
/// The maximum number of bytes that are discarded after the response.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// The slot of an open connection. Dropping the value releases the slot.
pub(super) struct ConnectionSlot {
    server: Arc<AdminServer>,
    number: u64,
}

impl ConnectionSlot {
    pub(super) fn acquire(
        server: &Arc<AdminServer>,
        number: u64,
        stream: &DeadlineStream<Stream>,
    ) -> ConnectionSlot {
        let mut connections = server.connections();
        connections.count += 1;
        connections.incomplete.insert(number, stream.clone());
        ConnectionSlot { server: Arc::clone(server), number }
    }

    /// Reads a request and responds to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator closes the connection, or does not read the response in
    /// time.
    pub(super) fn serve(
        &self,
        stream: &DeadlineStream<Stream>,
        backend: &dyn AdminBackend,
    ) -> io::Result<()> {
        let received = read_request(stream)?;
        // From here on, other connections cannot close this one.
        self.server.connections().incomplete.remove(&self.number);
        let response = match received {
            Ok(request) => handler::handle(request, backend),
            Err(error) => AdminResponse::from(error),
        };
        stream.write(&response.encode(), Instant::now() + RESPONSE_TIMEOUT)?;
        stream.shutdown_writing();
        discard_input(stream)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut connections = self.server.connections();
        connections.incomplete.remove(&self.number);
        connections.count -= 1;
    }
}

/// Reads until a request is complete or malformed.
fn read_request(stream: &DeadlineStream<Stream>) -> io::Result<Result<AdminRequest, RequestError>> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut bytes = Vec::new();
    loop {
        match stream.read(&mut bytes, deadline) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                return Ok(Err(RequestError::Timeout(REQUEST_TIMEOUT)));
            }
            Err(error) => return Err(error),
        }
        if let Some(received) = request::parse(&bytes).transpose() {
            return Ok(received);
        }
    }
}

fn discard_input(stream: &DeadlineStream<Stream>) -> io::Result<()> {
    let deadline = Instant::now() + DISCARD_DURATION;
    let mut discarded = 0;
    let mut bytes = Vec::new();
    while discarded < MAX_DISCARDED_BYTES {
        bytes.clear();
        match stream.read(&mut bytes, deadline)? {
            0 => break,
            count => discarded += count,
        }
    }
    Ok(())
}
