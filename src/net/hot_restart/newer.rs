//! The newer process's side of a hot restart: requests the handover before any service starts, and
//! joins the older process once the newer one accepts clients.

use super::inbox::Inbox;
use super::messages::{Message, MessageReader, ResourceBudget, PROTOCOL_VERSION};
use super::socket::{self, FirstByte, HandoverSocket};
use super::{
    send, HandoverError, HotRestart, HotRestartHost, PeerConnection, PeerProcessState, PeerStream,
    HANDOVER_TIMEOUT,
};
use crate::net::deadline_stream::DeadlineStream;
use crate::net::dispatcher::EndpointSnapshot;
use crate::net::polled_socket::PolledSocket;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};

/// The maximum number of bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4096;

/// The socket, the endpoints and the budget that the older process has handed over.
pub struct Handover {
    /// The socket that listens for clients.
    pub socket: TcpListener,
    /// The endpoints and their state.
    pub endpoints: EndpointSnapshot,
    /// The budget of the newer process.
    pub budget: ResourceBudget,
    pub(super) stream: UnixStream,
    pub(super) reader: MessageReader,
}

/// The connection to an older process whose messages are not handled yet.
#[derive(Debug)]
pub struct JoinedPeer {
    stream: PeerStream,
    inbox: Arc<Mutex<Inbox>>,
}

/// Requests the handover from the process that serves this address. Returns `None` if there is
/// none. Blocks the thread, and must be called before any service is started.
///
/// # Errors
///
/// Returns [`HandoverError`] if a process runs but does not hand over.
pub fn request_handover(client_address: SocketAddr) -> Result<Option<Handover>, HandoverError> {
    let Some(mut stream) = HandoverSocket::for_clients(client_address)?.connect()? else {
        return Ok(None);
    };
    if !socket::is_trusted(&stream) {
        return Err(HandoverError::OtherUser);
    }
    stream.set_read_timeout(Some(HANDOVER_TIMEOUT))?;
    stream.write_all(&Message::HandoverRequest(PROTOCOL_VERSION).to_line())?;
    let FirstByte { byte, listener } = socket::receive_first_byte(&stream)?;
    // A rejection carries no socket, so its first byte belongs to the message.
    let buffer = if listener.is_some() { Vec::new() } else { vec![byte] };
    let mut reader = MessageReader { buffer };
    let message = read_message(&mut stream, &mut reader)?;
    match (message, listener) {
        (Message::Handover(endpoints, budget), Some(socket)) => {
            Ok(Some(Handover { socket, endpoints, budget, stream, reader }))
        }
        (Message::Rejection(reason), _) => Err(HandoverError::Rejected(reason)),
        _ => Err(HandoverError::UnexpectedMessage),
    }
}

fn read_message(stream: &mut UnixStream, reader: &mut MessageReader) -> Result<Message, HandoverError> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        if let Some(message) = reader.next_message()? {
            return Ok(message);
        }
        match stream.read(&mut chunk)? {
            0 => return Err(HandoverError::Ended),
            count => reader.buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

impl HotRestart {
    /// Joins the older process: from now on ids are exchanged with it. Its messages are handled by
    /// [`HotRestart::begin_serving`].
    ///
    /// # Errors
    ///
    /// Returns [`HandoverError::RejectedLate`] if the older process has abandoned the handover, or
    /// [`HandoverError::Coroutine`] if the connection cannot be used.
    pub fn join(self: &Arc<Self>, mut handover: Handover) -> Result<JoinedPeer, HandoverError> {
        receive_pending(&mut handover.stream, &mut handover.reader)?;
        if contains_rejection(&handover.reader) {
            return Err(HandoverError::RejectedLate);
        }
        let socket = PolledSocket::new(handover.stream).map_err(HandoverError::Coroutine)?;
        let stream = DeadlineStream::new(socket);
        let inbox = Arc::new(Mutex::new(Inbox::new(handover.reader)));
        let connection = PeerConnection {
            stream: stream.clone(),
            peer: PeerProcessState::Serving,
            shares_ids: handover.endpoints.shares_ids,
            inbox: Arc::clone(&inbox),
        };
        self.with_state(|state| state.connection = Some(connection));
        Ok(JoinedPeer { stream, inbox })
    }

    /// Notifies the older process that this one accepts clients, and handles its messages. A rejection
    /// that the older process sends at the same time goes to [`HotRestartHost::handover_rejected`].
    pub fn begin_serving(self: &Arc<Self>, peer: JoinedPeer, host: Arc<dyn HotRestartHost>) {
        let JoinedPeer { stream, inbox } = peer;
        let hot_restart = Arc::clone(self);
        let reading = stream.clone();
        // The coroutine ends with the connection, at the latest when the older process ends.
        may::go!(move || hot_restart.handle_messages(&reading, &inbox, &*host));
        // If the message cannot be sent, the older process has ended, and this one serves alone.
        let _ = send(&stream, &Message::Serving);
    }
}

/// Reads the messages that the older process has already sent, without blocking. The end of the
/// connection is left to the coroutine that reads the later messages.
fn receive_pending(stream: &mut UnixStream, reader: &mut MessageReader) -> Result<(), HandoverError> {
    stream.set_nonblocking(true)?;
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(count) => reader.buffer.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(HandoverError::Connection(error)),
        }
    }
}

/// Returns whether the received messages, which are still to be handled, contain a rejection.
fn contains_rejection(reader: &MessageReader) -> bool {
    let mut lookahead = MessageReader { buffer: reader.buffer.clone() };
    while let Ok(Some(message)) = lookahead.next_message() {
        if matches!(message, Message::Rejection(_)) {
            return true;
        }
    }
    false
}

#[cfg(test)]
mod tests;
