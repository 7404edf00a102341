//! The newer process's side: it asks for a handover before anything of it is started, and joins the
//! older process once it accepts clients.

use super::messages::{Message, MessageReader, ResourceBudget, VERSION};
use super::socket::{self, FirstByte, HandoverSocket};
use super::{send, HandoverError, HotRestart, HotRestartHost, PeerConnection, PeerProcess, HANDOVER_TIMEOUT};
use crate::net::deadline_stream::DeadlineStream;
use crate::net::dispatcher::EndpointSnapshot;
use may::io::CoIo;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::sync::Arc;

/// What the newer process has received.
pub struct Handover {
    /// The listening socket.
    pub socket: TcpListener,
    /// What is known of endpoints.
    pub endpoints: EndpointSnapshot,
    /// What the newer process may use.
    pub budget: ResourceBudget,
    stream: UnixStream,
    reader: MessageReader,
}

/// Asks the process that serves this address, if there is one, to hand over. It blocks the thread,
/// and belongs before anything is started.
///
/// # Errors
///
/// [`HandoverError`] if a process runs and does not hand over.
pub fn request_handover(clients: SocketAddr) -> Result<Option<Handover>, HandoverError> {
    let Some(mut stream) = HandoverSocket::for_clients(clients)?.connect()? else {
        return Ok(None);
    };
    if !socket::is_trusted(&stream) {
        return Err(HandoverError::OtherUser);
    }
    stream.set_read_timeout(Some(HANDOVER_TIMEOUT))?;
    stream.write_all(&Message::HandoverRequest(VERSION).to_line())?;
    let FirstByte { byte, listener } = socket::receive_first_byte(&stream)?;
    // No socket is sent with a rejection, of which this is then the first byte.
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
    let mut chunk = [0; 4096];
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
    /// Joins the older process, and tells it that this one accepts clients.
    ///
    /// # Errors
    ///
    /// [`HandoverError::RejectedLate`] if the older process has given up the handover meanwhile,
    /// [`HandoverError::Coroutine`] if the connection cannot be used.
    pub fn join(
        self: &Arc<Self>,
        handover: Handover,
        host: Arc<dyn HotRestartHost>,
    ) -> Result<(), HandoverError> {
        let socket =
            CoIo::new(handover.stream).map_err(|error| HandoverError::Coroutine(io::Error::from(error)))?;
        let stream = DeadlineStream::new(socket);
        self.with_state(|state| {
            state.connection = Some(PeerConnection { stream: stream.clone(), peer: PeerProcess::Serving });
        });
        let hot_restart = Arc::clone(self);
        let reading = stream.clone();
        let reader = handover.reader;
        // Ends with the connection, that is with the older process.
        may::go!(move || hot_restart.follow_peer(&reading, reader, &*host));
        // If this fails the older process has ended: then this one serves alone.
        let _ = send(&stream, &Message::Serving);
        if self.with_state(|state| state.is_rejected) {
            return Err(HandoverError::RejectedLate);
        }
        Ok(())
    }
}
