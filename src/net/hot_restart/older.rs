//! The older process's side: it listens for newer processes, hands over to the first one, and
//! leaves to it what it does not need itself.

use super::messages::{Message, MessageReader, VERSION};
use super::socket::{self, HandoverSocket};
use super::{
    send, send_rejection, Activity, HandoverOffer, HotRestart, HotRestartHost, PeerConnection, PeerProcess,
    PeerStream, HANDOVER_TIMEOUT, WRITE_TIMEOUT,
};
use crate::net::deadline_stream::{sleep, DeadlineStream};
use crate::net::dispatcher::EndpointSnapshot;
use crate::net::listener::Listener;
use crate::net::log::log;
use may::io::{CoIo, WaitIo};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the older process looks what it can leave to the newer one.
const BUDGET_INTERVAL: Duration = Duration::from_millis(20);
/// Between two attempts to accept, when that fails.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

impl HotRestart {
    /// Has newer processes led to this one from now on.
    pub fn listen(self: &Arc<Self>, clients: SocketAddr, host: Arc<dyn HotRestartHost>) {
        let (socket, listener) = match open_socket(clients) {
            Ok(opened) => opened,
            // The proxy serves all the same.
            Err(error) => {
                log(&format!("no upgrade will be possible: {error}"));
                return;
            }
        };
        // A process listens once, so that nothing is set yet.
        let _ = self.socket.set(socket);
        let hot_restart = Arc::clone(self);
        // Ends with the process.
        may::go!(move || hot_restart.accept_newer_processes(&listener, &host));
    }

    fn accept_newer_processes(
        self: &Arc<Self>,
        listener: &CoIo<UnixListener>,
        host: &Arc<dyn HotRestartHost>,
    ) {
        loop {
            match listener.inner().accept() {
                Ok((stream, _)) if socket::is_trusted(&stream) => {
                    let Ok(socket) = CoIo::new(stream) else { continue };
                    let hot_restart = Arc::clone(self);
                    let host = Arc::clone(host);
                    // Ends with the connection: it is refused, or the newer process has ended.
                    may::go!(move || hot_restart.serve_newer_process(&Arc::new(socket), &host));
                }
                Ok(_) => log("a process of another user asked to take over"),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    listener.wait_io();
                }
                Err(error) => {
                    log(&format!("take over: accept: {error}"));
                    sleep(ACCEPT_RETRY);
                }
            }
        }
    }

    /// Reads what a newer process asks, hands over to it, and follows it until it ends.
    fn serve_newer_process(self: &Arc<Self>, socket: &Arc<CoIo<UnixStream>>, host: &Arc<dyn HotRestartHost>) {
        let stream = DeadlineStream::from(Arc::clone(socket));
        let mut reader = MessageReader::default();
        let Some(request) = read_request(&stream, &mut reader) else { return };
        if request != Message::HandoverRequest(VERSION) {
            send_rejection(&stream, "another version");
            return;
        }
        if !self.reserve_connection(&stream) {
            send_rejection(&stream, "an upgrade or a stop is under way");
            return;
        }
        match host.handover_offer() {
            Some(HandoverOffer { listener, endpoints }) => {
                if hand_over(socket, &stream, &listener, endpoints, &**host).is_ok() {
                    let hot_restart = Arc::clone(self);
                    let sharing_host = Arc::clone(host);
                    // Ends with the connection.
                    may::go!(move || hot_restart.share_budget(&*sharing_host));
                    self.follow_peer(&stream, reader, &**host);
                    // Danger: the newer process holds the same socket. `may` closes a socket before
                    // it takes it off its poller, which then fails, and the poller goes on
                    // reporting events of the shared socket with a pointer to freed memory. So this
                    // process keeps its listener for as long as the newer one runs.
                    drop(listener);
                    return;
                }
            }
            None => send_rejection(&stream, "it does not serve"),
        }
        self.end_connection(&**host);
    }

    /// Notes the connection to a newer process, unless there is one or this process stops. Danger:
    /// this comes before anything is handed over, so that only the first of two newer processes
    /// gets it.
    fn reserve_connection(&self, stream: &PeerStream) -> bool {
        self.with_state(|state| {
            let is_free = state.connection.is_none() && state.activity == Activity::Serving;
            if is_free {
                state.connection =
                    Some(PeerConnection { stream: stream.clone(), peer: PeerProcess::Starting });
            }
            is_free
        })
    }

    /// While there is a newer process: leaves to it what this process does not need.
    fn share_budget(&self, host: &dyn HotRestartHost) {
        let mut last_sent = None;
        loop {
            sleep(BUDGET_INTERVAL);
            let (stream, activity) = self.with_state(|state| (state.stream_to(|_| true), state.activity));
            let Some(stream) = stream else { return };
            let budget = host.shrink_budget(activity);
            if last_sent != Some(budget) && send(&stream, &Message::Budget(budget)).is_ok() {
                last_sent = Some(budget);
            }
        }
    }
}

fn open_socket(clients: SocketAddr) -> io::Result<(HandoverSocket, CoIo<UnixListener>)> {
    let socket = HandoverSocket::for_clients(clients)?;
    let listener = CoIo::new(socket.listen()?)?;
    socket.claim()?;
    Ok((socket, listener))
}

/// The first message of a newer process; none if it sends none in time.
fn read_request(stream: &PeerStream, reader: &mut MessageReader) -> Option<Message> {
    let until = Instant::now() + WRITE_TIMEOUT;
    loop {
        if let Some(message) = reader.next_message().ok()? {
            return Some(message);
        }
        if stream.read(&mut reader.buffer, until).ok()? == 0 {
            return None;
        }
    }
}

/// Sends the listening socket and all that goes with it.
fn hand_over(
    socket: &CoIo<UnixStream>,
    stream: &PeerStream,
    listener: &Listener,
    endpoints: EndpointSnapshot,
    host: &dyn HotRestartHost,
) -> io::Result<()> {
    let budget = host.shrink_budget(Activity::Serving);
    let handover = Message::Handover(endpoints, budget).to_line();
    let sent = socket::send_listener(socket.inner(), listener.socket());
    host.peer_changed(PeerProcess::Starting);
    sent?;
    stream.write(&handover, Instant::now() + HANDOVER_TIMEOUT)
}
