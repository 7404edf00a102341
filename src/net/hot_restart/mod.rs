//! Hot restart: a newer process of a proxy takes over from the running one. Read [`HotRestart`]
//! first, then [`HotRestartHost`], through which a hot restart acts on its own process.
//!
//! The newer process calls [`request_handover`] (`newer`). The older one
//! (`older`) sends its listening socket, an endpoint snapshot, and a part of its budget. Their
//! connection lasts as long as both processes do (`connection`): a process whose connection has
//! ended is alone. While it lasts, operators' commands are relayed to the other process (`relay`), and
//! the ids of requests that may not be repeated are exchanged (`id_exchange`).

mod connection;
mod error;
#[cfg(test)]
mod golden_tests;
mod id_exchange;
mod inbox;
mod messages;
mod newer;
mod older;
mod relay;
mod socket;

pub use error::{CommandError, HandoverError, RelayError};
pub use messages::{ControlCommand, MessageError, ResourceBudget, ServiceState};
pub use newer::{request_handover, Handover, JoinedPeer};

use super::deadline_stream::DeadlineStream;
use super::dispatcher::{EndpointSnapshot, IdHash};
use super::listener::Listener;
use super::polled_socket::PolledSocket;
use inbox::Inbox;
use messages::Message;
use relay::PendingCommands;
use socket::HandoverSocket;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The timeout for writing a message, and for reading the first one of a newer process. After it,
/// the other process counts as ended.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for a handover, after which the start of the newer process fails.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(4000);

/// The state of the other process of this proxy. Operators read the variants' names in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcessState {
    /// No other process of this proxy runs.
    None,
    /// The other process is starting, and does not accept clients yet.
    Starting,
    /// The other process accepts clients.
    Serving,
    /// The other process has been asked to stop.
    Leaving,
    /// The other process begins no attempt any more, and passes on the responses that have begun.
    FinishingResponses,
}

impl PeerProcessState {
    /// Returns whether the other process has, or is about to have, requests of its own.
    pub fn serves(self) -> bool {
        !matches!(self, PeerProcessState::None | PeerProcessState::FinishingResponses)
    }
}

/// Whether a process serves, or has been asked to stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// The process serves.
    #[default]
    Serving,
    /// The process has been asked to stop.
    Draining,
    /// The process begins no attempt any more, and passes on the responses that have begun.
    FinishingResponses,
}

/// The budget that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetGrant {
    /// The whole budget of the proxy, for a process that is alone.
    Full,
    /// A part of the proxy's budget, for each of two processes.
    Part(ResourceBudget),
}

/// The process that accepts new connections while this one drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptor {
    /// This process, which is alone.
    ThisProcess,
    /// The peer process, which has the listening socket too.
    PeerProcess,
}

/// The socket and the endpoints that an older process hands over.
pub struct HandoverOffer {
    /// The socket that listens for clients.
    pub listener: Arc<Listener>,
    /// The endpoints and their state.
    pub endpoints: EndpointSnapshot,
}

/// The process to which a [`HotRestart`] belongs, and on which it acts.
pub trait HotRestartHost: Send + Sync + 'static {
    /// Returns what this process can hand over, or `None` if it does not serve.
    fn handover_offer(&self) -> Option<HandoverOffer>;
    /// Shrinks the budget of this process, and returns the budget of the other one.
    fn shrink_budget(&self, drain_state: DrainState) -> ResourceBudget;
    /// Sets the budget of this process.
    fn set_budget(&self, grant: BudgetGrant);
    /// Applies a command that the other process relays.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] if the command cannot be applied here.
    fn apply_command(&self, command: &ControlCommand) -> Result<(), CommandError>;
    /// Returns the ids of this process's requests that may not be repeated.
    fn unrepeatable_ids(&self) -> Vec<IdHash>;
    /// Remembers ids of the other process's requests that may not be repeated.
    fn remember_ids(&self, ids: &[IdHash]);
    /// Handles a change of the other process's state.
    fn peer_changed(&self, peer: PeerProcessState);
    /// Stops this process, because the older one has abandoned the handover and continues to serve.
    fn handover_rejected(&self);
}

type PeerStream = DeadlineStream<PolledSocket<UnixStream>>;

/// The connection to the other process.
struct PeerConnection {
    stream: PeerStream,
    peer: PeerProcessState,
    /// Whether the other process exchanges ids of requests that may not be repeated.
    shares_ids: bool,
    /// The messages that were not handled yet. The lock is held only to receive and take messages.
    inbox: Arc<Mutex<Inbox>>,
}

impl PeerConnection {
    /// Returns whether the messages of this connection arrive in `inbox`.
    fn has_inbox(&self, inbox: &Mutex<Inbox>) -> bool {
        std::ptr::eq(Arc::as_ptr(&self.inbox), inbox)
    }
}

#[derive(Default)]
struct State {
    /// The connection to the other process, or `None` while this process is alone.
    connection: Option<PeerConnection>,
    commands: PendingCommands,
    /// Whether this process serves or drains.
    drain_state: DrainState,
}

impl State {
    /// Returns the stream to the other process, if the predicate holds for its state.
    fn stream_to_peer(&self, predicate: impl FnOnce(PeerProcessState) -> bool) -> Option<PeerStream> {
        self.connection
            .as_ref()
            .filter(|connection| predicate(connection.peer))
            .map(|connection| connection.stream.clone())
    }
}

/// This process's side of a hot restart.
pub struct HotRestart {
    /// The files of this process's socket. Set once, when this process starts to listen for newer
    /// ones.
    socket: OnceLock<HandoverSocket>,
    /// The connection to the other process, the pending commands, and whether this process drains.
    ///
    /// Invariant: no caller blocks while it holds the lock.
    state: Mutex<State>,
}

impl HotRestart {
    /// Creates the side of a process that has no peer yet.
    pub fn new() -> Arc<HotRestart> {
        Arc::new(HotRestart { socket: OnceLock::new(), state: Mutex::default() })
    }

    /// Records that this process has been asked to stop, notifies the other process, and decides
    /// which process accepts clients while this one drains.
    ///
    /// Inputs: the state of the peer process, and whether it could be notified.
    /// Reason: clients connect until shortly before the platform kills this process, and need a
    /// process that accepts them.
    pub fn begin_drain(&self) -> Acceptor {
        let stream = self.with_state(|state| {
            state.drain_state = DrainState::Draining;
            state.stream_to_peer(|peer| peer == PeerProcessState::Serving)
        });
        if stream.is_some_and(|stream| send(&stream, &Message::Leaving).is_ok()) {
            Acceptor::PeerProcess
        } else {
            Acceptor::ThisProcess
        }
    }

    /// Returns whether another process of this proxy runs.
    pub fn has_peer(&self) -> bool {
        self.with_state(|state| state.connection.is_some())
    }

    /// Removes this process's socket, and notifies the other process that this one begins no attempt
    /// any more. The connection stays, since both still share one budget.
    pub fn finish_serving(&self) {
        if let Some(socket) = self.socket.get() {
            socket.remove();
        }
        let stream = self.with_state(|state| {
            state.drain_state = DrainState::FinishingResponses;
            state.stream_to_peer(|_| true)
        });
        if let Some(stream) = stream {
            // If this cannot be sent, the other process has ended.
            let _ = send(&stream, &Message::FinishingResponses);
        }
    }

    fn with_state<T>(&self, operation: impl FnOnce(&mut State) -> T) -> T {
        operation(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn send(stream: &PeerStream, message: &Message) -> io::Result<()> {
    stream.write(&message.to_line(), Instant::now() + WRITE_TIMEOUT)
}

fn send_rejection(stream: &PeerStream, reason: &str) {
    // If the message cannot be sent, the end of the connection rejects the newer process too.
    let _ = send(stream, &Message::Rejection(reason.to_owned()));
}
