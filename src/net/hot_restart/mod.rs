//! Hot restart: a newer process of one proxy takes over from the one that runs. Read [`HotRestart`]
//! first, then [`HotRestartHost`], by which it reaches its own process.
//!
//! The newer process asks by [`request_handover`] (`newer`). The older one (`older`) sends its
//! listening socket, what it knows of endpoints, and a part of its budget. The connection over
//! which this happens lasts as long as both processes do (`connection`); its end tells either that
//! it is alone. While it lasts, operators' commands are relayed to the other process (`relay`).

mod connection;
mod error;
#[cfg(test)]
mod golden_tests;
mod messages;
mod newer;
mod older;
mod relay;
mod socket;

pub use error::{CommandError, HandoverError, RelayError};
pub use messages::{ControlCommand, MessageError, ResourceBudget, ServiceState};
pub use newer::{request_handover, Handover};

use super::deadline_stream::DeadlineStream;
use super::dispatcher::EndpointSnapshot;
use super::listener::Listener;
use may::io::CoIo;
use messages::Message;
use relay::PendingCommands;
use socket::HandoverSocket;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// A message is written within this time, or the other process is taken to be gone.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// The older process answers a handover request within this time, or the newer one's start fails.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(4000);

/// The other process of this proxy. Operators read these names in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcess {
    /// There is none.
    None,
    /// It starts, and does not accept clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It has been asked to stop.
    Leaving,
}

/// Whether a process goes on serving, or has been asked to stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Activity {
    /// It serves.
    #[default]
    Serving,
    /// It has been asked to stop.
    Draining,
}

/// How much a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetGrant {
    /// All that the proxy has: the process is alone.
    Whole,
    /// This part of it.
    Part(ResourceBudget),
}

/// What an older process hands over.
pub struct HandoverOffer {
    /// The listening socket.
    pub listener: Arc<Listener>,
    /// What is known of endpoints.
    pub endpoints: EndpointSnapshot,
}

/// The process that a [`HotRestart`] belongs to.
pub trait HotRestartHost: Send + Sync + 'static {
    /// What this process can hand over; none if it does not serve.
    fn handover_offer(&self) -> Option<HandoverOffer>;
    /// Reduces what this process uses. Returns what that leaves to the other process.
    fn shrink_budget(&self, activity: Activity) -> ResourceBudget;
    /// Sets what this process may use.
    fn set_budget(&self, grant: BudgetGrant);
    /// Applies a command that the other process relays.
    ///
    /// # Errors
    ///
    /// [`CommandError`] if the command cannot be applied here.
    fn apply_command(&self, command: &ControlCommand) -> Result<(), CommandError>;
    /// Notes that the other process is at another point.
    fn peer_changed(&self, peer: PeerProcess);
}

type PeerStream = DeadlineStream<CoIo<UnixStream>>;

/// The connection to the other process.
struct PeerConnection {
    stream: PeerStream,
    peer: PeerProcess,
}

#[derive(Default)]
struct State {
    /// None while this process is alone.
    connection: Option<PeerConnection>,
    commands: PendingCommands,
    /// What this process itself does.
    activity: Activity,
    /// Whether the older process has rejected this one after the handover.
    is_rejected: bool,
}

impl State {
    /// The stream to the other process, if it is at this point.
    fn stream_to(&self, is_at: impl FnOnce(PeerProcess) -> bool) -> Option<PeerStream> {
        self.connection
            .as_ref()
            .filter(|connection| is_at(connection.peer))
            .map(|connection| connection.stream.clone())
    }
}

/// One process's side of a hot restart.
pub struct HotRestart {
    /// Set once, when this process begins to listen for newer ones.
    socket: OnceLock<HandoverSocket>,
    /// Guards the connection and all that is noted of it. Nothing waits while it is locked.
    state: Mutex<State>,
}

impl HotRestart {
    /// A process that has no peer yet.
    pub fn new() -> Arc<HotRestart> {
        Arc::new(HotRestart { socket: OnceLock::new(), state: Mutex::default() })
    }

    /// Notes that this process has been asked to stop, and tells the other process. Returns whether
    /// the other process accepts clients.
    pub fn begin_drain(&self) -> bool {
        let stream = self.with_state(|state| {
            state.activity = Activity::Draining;
            state.stream_to(|peer| peer == PeerProcess::Serving)
        });
        stream.is_some_and(|stream| send(&stream, &Message::Leaving).is_ok())
    }

    /// Removes this process's socket: the process ends.
    pub fn remove_socket(&self) {
        if let Some(socket) = self.socket.get() {
            socket.remove();
        }
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn send(stream: &PeerStream, message: &Message) -> io::Result<()> {
    stream.write(&message.to_line(), Instant::now() + WRITE_TIMEOUT)
}

fn send_rejection(stream: &PeerStream, reason: &str) {
    // The end of the connection tells the newer process the same.
    let _ = send(stream, &Message::Rejection(reason.to_owned()));
}
