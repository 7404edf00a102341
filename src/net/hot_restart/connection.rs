//! The connection between two processes, from the handover to the end of one of them. Read
//! [`HotRestart::handle_messages`] first, which both sides run.

use super::inbox::Inbox;
use super::messages::{Message, MessageError};
use super::socket::HandoverSocket;
use super::{
    send, send_rejection, BudgetGrant, DrainState, HotRestart, HotRestartHost, PeerProcessState, PeerStream,
};
use crate::net::log::log;
use std::io::ErrorKind;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The time within which a newer process must accept clients.
const PEER_START_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest wait for a message, after which [`PEER_START_TIMEOUT`] is checked.
const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// The reason why there is no message to handle.
#[derive(Debug)]
enum ReceiveError {
    /// No complete message has arrived.
    Nothing,
    /// The connection has ended.
    Ended,
    /// The received bytes are not a message.
    Malformed(MessageError),
}

/// Takes the next message of the other process, without waiting.
///
/// # Errors
///
/// Returns the reason why there is none.
fn next_message(stream: &PeerStream, inbox: &Mutex<Inbox>) -> Result<Message, ReceiveError> {
    let mut inbox = inbox.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(message) = inbox.next_message().map_err(ReceiveError::Malformed)? {
            return Ok(message);
        }
        match inbox.receive(stream) {
            Ok(0) => return Err(ReceiveError::Ended),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(ReceiveError::Nothing),
            Err(_) => return Err(ReceiveError::Ended),
        }
    }
}

impl HotRestart {
    /// Handles the other process's messages until the connection ends.
    pub(super) fn handle_messages(
        &self,
        stream: &PeerStream,
        inbox: &Mutex<Inbox>,
        host: &dyn HotRestartHost,
    ) {
        let connected = Instant::now();
        loop {
            match next_message(stream, inbox) {
                Ok(message) => self.handle(message, stream, inbox, host),
                Err(ReceiveError::Nothing) => {
                    // The error of a wait that ends early is found by the next read.
                    let _ = stream.wait_readable(READ_TIMEOUT);
                    if self.is_start_overdue(connected) {
                        send_rejection(stream, "it took too long");
                        break;
                    }
                }
                Err(ReceiveError::Ended) => break,
                Err(ReceiveError::Malformed(error)) => {
                    log(&format!("hot restart: closing the connection to the other process: {error}"));
                    break;
                }
            }
        }
        self.end_connection(inbox, host);
    }

    /// Decides whether the newer process has been starting for too long, so that the handover is
    /// rejected after it was sent.
    ///
    /// Inputs: whether the newer process accepts clients, and the time since it connected.
    /// Reason: a newer process that hangs would keep the budget, and no other could take over.
    fn is_start_overdue(&self, connected: Instant) -> bool {
        self.is_peer_starting() && connected.elapsed() > PEER_START_TIMEOUT
    }

    fn is_peer_starting(&self) -> bool {
        self.with_state(|state| {
            state.connection.as_ref().is_some_and(|connection| connection.peer == PeerProcessState::Starting)
        })
    }

    fn handle(&self, message: Message, stream: &PeerStream, inbox: &Mutex<Inbox>, host: &dyn HotRestartHost) {
        match message {
            Message::Serving => self.set_peer(PeerProcessState::Serving, inbox, host),
            Message::Leaving => self.set_peer(PeerProcessState::Leaving, inbox, host),
            Message::FinishingResponses => {
                self.set_peer(PeerProcessState::FinishingResponses, inbox, host);
            }
            Message::Budget(budget) => host.set_budget(BudgetGrant::Part(budget)),
            Message::Command(number, command) => {
                let reason = host.apply_command(&command).err().map(|error| error.to_string());
                // If this cannot be sent, the other process counts the command as not confirmed.
                let _ = send(stream, &Message::CommandDone(number, reason));
            }
            Message::CommandDone(number, reason) => {
                self.with_state(|state| state.commands.confirm(number, reason));
            }
            Message::UnrepeatableIds(ids) => {
                host.remember_ids(&ids);
                self.share_ids(stream, host);
            }
            Message::Rejection(reason) => {
                log(&format!(
                    "hot restart: the older process refuses the handover, so this one stops: {reason}"
                ));
                host.handover_rejected();
            }
            Message::HandoverRequest(_) | Message::Handover(..) => {
                log("hot restart: ignored a handover message that was not expected here");
            }
        }
    }

    fn set_peer(&self, peer: PeerProcessState, inbox: &Mutex<Inbox>, host: &dyn HotRestartHost) {
        let is_current = self.with_state(|state| {
            let connection = state.connection.as_mut().filter(|connection| connection.has_inbox(inbox));
            connection.map(|connection| connection.peer = peer).is_some()
        });
        if is_current {
            host.peer_changed(peer);
        }
    }

    /// Ends the connection with this inbox, unless another one has replaced it. This process is alone
    /// then, and gets the whole budget.
    pub(super) fn end_connection(&self, inbox: &Mutex<Inbox>, host: &dyn HotRestartHost) {
        let (ended, drain_state) = self.with_state(|state| {
            (state.connection.take_if(|connection| connection.has_inbox(inbox)), state.drain_state)
        });
        let Some(connection) = ended else { return };
        connection.stream.shutdown();
        host.set_budget(BudgetGrant::Full);
        host.peer_changed(PeerProcessState::None);
        if drain_state != DrainState::Serving {
            return;
        }
        // The link may still point to a newer process that has ended.
        if let Some(Err(error)) = self.socket.get().map(HandoverSocket::claim_link) {
            log(&format!("hot restart is not possible: the link cannot be pointed to this process: {error}"));
        }
    }
}
