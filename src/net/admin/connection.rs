//! One connection of an operator: a request is read, answered, and the connection closed.

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

/// A request must be complete within this time, unless the connection gives way to others sooner.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A response must be taken within this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Input after the response is discarded for this time, and up to [`MAX_DISCARDED`]. Danger: a
/// connection that closes on unread input is reset, and the response may be lost with it.
const DISCARD_TIME: Duration = Duration::from_millis(200);
/// In bytes.
const MAX_DISCARDED: usize = 64 * 1024;

/// A connection's place among those that may be open. It is free again when this is dropped.
pub(super) struct ConnectionSlot {
    server: Arc<AdminServer>,
    number: u64,
}

impl ConnectionSlot {
    pub(super) fn take(
        server: &Arc<AdminServer>,
        number: u64,
        stream: &DeadlineStream<Stream>,
    ) -> ConnectionSlot {
        let mut connections = server.connections();
        connections.count += 1;
        connections.incomplete.insert(number, stream.clone());
        ConnectionSlot { server: Arc::clone(server), number }
    }

    /// Reads a request and answers it.
    ///
    /// # Errors
    ///
    /// If the operator has gone, or does not take the response.
    pub(super) fn answer(
        &self,
        stream: &DeadlineStream<Stream>,
        backend: &dyn AdminBackend,
    ) -> io::Result<()> {
        let received = read_request(stream)?;
        // From here on it does not give way to other connections.
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

/// Reads until a request is complete, or cannot become one any more.
fn read_request(stream: &DeadlineStream<Stream>) -> io::Result<Result<AdminRequest, RequestError>> {
    let until = Instant::now() + REQUEST_TIMEOUT;
    let mut bytes = Vec::new();
    loop {
        match stream.read(&mut bytes, until) {
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
    let until = Instant::now() + DISCARD_TIME;
    let mut discarded = 0;
    let mut bytes = Vec::new();
    while discarded < MAX_DISCARDED {
        bytes.clear();
        match stream.read(&mut bytes, until)? {
            0 => break,
            count => discarded += count,
        }
    }
    Ok(())
}
