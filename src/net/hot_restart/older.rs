//! The older process's side of a hot restart: listens for newer processes, hands over to the first
//! one, and grants that process the budget that the older one does not need.

use super::inbox::Inbox;
use super::messages::{Message, MessageReader, PROTOCOL_VERSION};
use super::socket::{self, HandoverSocket};
use super::{
    send, send_rejection, DrainState, HandoverOffer, HotRestart, HotRestartHost, PeerConnection,
    PeerProcessState, PeerStream, HANDOVER_TIMEOUT, WRITE_TIMEOUT,
};
use crate::net::deadline_stream::{sleep, DeadlineStream};
use crate::net::dispatcher::EndpointSnapshot;
use crate::net::listener::Listener;
use crate::net::log::log;
use crate::net::polled_socket::PolledSocket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The interval at which the older process updates the budget of the newer one.
const BUDGET_INTERVAL: Duration = Duration::from_millis(20);
/// The delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl HotRestart {
    /// Starts to accept connections of newer processes.
    pub fn listen(self: &Arc<Self>, client_address: SocketAddr, host: Arc<dyn HotRestartHost>) {
        let (socket, listener) = match open_socket(client_address) {
            Ok(opened) => opened,
            // Without the socket the proxy serves, but cannot hand over to a newer process.
            Err(error) => {
                log(&format!(
                    "hot restart is not possible: the socket for newer processes cannot be opened: {error}"
                ));
                return;
            }
        };
        // The socket is not set yet, because a process listens once.
        let _ = self.socket.set(socket);
        let hot_restart = Arc::clone(self);
        // The coroutine ends with the process.
        may::go!(move || hot_restart.accept_newer_processes(&listener, &host));
    }

    fn accept_newer_processes(
        self: &Arc<Self>,
        listener: &PolledSocket<UnixListener>,
        host: &Arc<dyn HotRestartHost>,
    ) {
        loop {
            match listener.inner().accept() {
                Ok((stream, _)) if socket::is_trusted(&stream) => {
                    let Ok(socket) = PolledSocket::new(stream) else { continue };
                    let hot_restart = Arc::clone(self);
                    let host = Arc::clone(host);
                    // The coroutine ends with the connection: after a rejection, or when the newer
                    // process ends.
                    may::go!(move || hot_restart.serve_newer_process(&Arc::new(socket), &host));
                }
                Ok(_) => log("hot restart: rejected a connection from a process of another user"),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    listener.wait_io();
                }
                Err(error) => {
                    log(&format!(
                        "hot restart: accept failed, trying again in {ACCEPT_RETRY_DELAY:?}: {error}"
                    ));
                    sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Handles a newer process from its request to its end.
    fn serve_newer_process(
        self: &Arc<Self>,
        socket: &Arc<PolledSocket<UnixStream>>,
        host: &Arc<dyn HotRestartHost>,
    ) {
        let stream = DeadlineStream::from(Arc::clone(socket));
        let mut reader = MessageReader::default();
        let Some(request) = read_request(&stream, &mut reader) else { return };
        if request != Message::HandoverRequest(PROTOCOL_VERSION) {
            send_rejection(&stream, "another version");
            return;
        }
        let inbox = Arc::new(Mutex::new(Inbox::new(reader)));
        if !self.reserve_connection(&stream, &inbox) {
            send_rejection(&stream, "an upgrade or a stop is under way");
            return;
        }
        match host.handover_offer() {
            Some(HandoverOffer { listener, endpoints }) => {
                if hand_over(socket, &stream, &listener, endpoints, &**host).is_ok() {
                    let hot_restart = Arc::clone(self);
                    let budget_host = Arc::clone(host);
                    // The coroutine ends with the connection.
                    may::go!(move || hot_restart.update_peer_budget(&*budget_host));
                    self.handle_messages(&stream, &inbox, &**host);
                    return;
                }
            }
            None => send_rejection(&stream, "it does not serve"),
        }
        self.end_connection(&inbox, &**host);
    }

    /// Decides whether a newer process gets the handover, and reserves the connection for it. The
    /// handover requires that no other newer process has the connection and that this process does
    /// not drain. An older process that only finishes its responses loses the connection to the newer
    /// one, since it may take long, and needs nothing of this process.
    ///
    /// Inputs: the state of the process at the other end of the connection, if there is one, and whether
    /// this process serves.
    /// Reason: of two newer processes only the first may accept clients.
    ///
    /// Invariant: the connection is reserved before the handover is sent.
    fn reserve_connection(&self, stream: &PeerStream, inbox: &Arc<Mutex<Inbox>>) -> bool {
        self.with_state(|state| {
            let has_serving_peer =
                state.connection.as_ref().is_some_and(|connection| connection.peer.serves());
            let is_free = !has_serving_peer && state.drain_state == DrainState::Serving;
            if is_free {
                if let Some(replaced) = state.connection.take() {
                    replaced.stream.shutdown();
                }
                let peer = PeerProcessState::Starting;
                // It has sent no ids yet.
                let shares_ids = false;
                let (stream, inbox) = (stream.clone(), Arc::clone(inbox));
                state.connection = Some(PeerConnection { stream, peer, shares_ids, inbox });
            }
            is_free
        })
    }

    /// Grants a newer process the budget that this one does not need, as long as both run.
    fn update_peer_budget(&self, host: &dyn HotRestartHost) {
        let mut last_sent = None;
        loop {
            sleep(BUDGET_INTERVAL);
            let (stream, drain_state) =
                self.with_state(|state| (state.stream_to_peer(|_| true), state.drain_state));
            let Some(stream) = stream else { return };
            let budget = host.shrink_budget(drain_state);
            if last_sent != Some(budget) && send(&stream, &Message::Budget(budget)).is_ok() {
                last_sent = Some(budget);
            }
        }
    }
}

fn open_socket(client_address: SocketAddr) -> io::Result<(HandoverSocket, PolledSocket<UnixListener>)> {
    let socket = HandoverSocket::for_clients(client_address)?;
    let listener = PolledSocket::new(socket.listen()?)?;
    socket.claim_link()?;
    Ok((socket, listener))
}

/// Reads the first message of a newer process. Returns `None` if no valid message arrives in time.
fn read_request(stream: &PeerStream, reader: &mut MessageReader) -> Option<Message> {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    loop {
        if let Some(message) = reader.next_message().ok()? {
            return Some(message);
        }
        if stream.read(&mut reader.buffer, deadline).ok()? == 0 {
            return None;
        }
    }
}

/// Sends the listening socket, then the handover message.
fn hand_over(
    socket: &PolledSocket<UnixStream>,
    stream: &PeerStream,
    listener: &Listener,
    endpoints: EndpointSnapshot,
    host: &dyn HotRestartHost,
) -> io::Result<()> {
    let budget = host.shrink_budget(DrainState::Serving);
    let handover = Message::Handover(endpoints, budget).to_line();
    let sent = socket::send_listener(socket.inner(), listener.socket());
    host.peer_changed(PeerProcessState::Starting);
    sent?;
    stream.write(&handover, Instant::now() + HANDOVER_TIMEOUT)
}
