//! Listening sockets on the `may` crate, and the connections that they accept. Read [`Listener`]
//! first. The crate's own listener cannot take over a socket that another process has opened; its
//! generic socket wrapper can.

use super::polled_socket::PolledSocket;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The number of connections that may wait in the accept queue.
const LISTEN_BACKLOG: i32 = 1024;

/// An accepted connection.
pub type Stream = PolledSocket<TcpStream>;

/// The mode in which a listener treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptMode {
    /// New connections are accepted.
    Accepting,
    /// New connections are left to the other process that holds the socket, until the listener is
    /// resumed.
    Paused,
    /// The connections in the accept queue are accepted, then the listener stops.
    Closing,
    /// The listener stops, and leaves the accept queue to the other process that holds the socket.
    Released,
}

/// A socket that accepts connections until it is closed or released.
#[derive(Debug)]
pub struct Listener {
    socket: PolledSocket<TcpListener>,
    /// The mode in which new connections are treated. The lock guards only this value.
    ///
    /// Invariant: no coroutine waits while it holds this lock.
    mode: Mutex<AcceptMode>,
    /// The time at which the accept queue was last seen empty. The lock guards only this value.
    queue_last_empty_at: Mutex<Instant>,
}

/// Opens a listening socket.
///
/// Note: the socket binds its address exclusively. Otherwise a second proxy that is started by
/// mistake would silently take connections from the first.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, for example because another process holds it.
pub fn open(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of an earlier process that are in TIME_WAIT do not block the address.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

impl Listener {
    /// Creates a listener on a socket that listens already.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered with the coroutines' poller.
    pub fn new(socket: TcpListener) -> io::Result<Listener> {
        let socket = PolledSocket::new(socket)?;
        Ok(Listener {
            socket,
            mode: Mutex::new(AcceptMode::Accepting),
            queue_last_empty_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits for the next connection; returns `None` once the listener has stopped.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call, for example if no descriptor is free. The caller may
    /// try again.
    pub fn accept(&self) -> io::Result<Option<Stream>> {
        loop {
            // The mode is copied first, since the match would otherwise hold the lock while it
            // waits.
            let mode = *self.mode();
            match mode {
                AcceptMode::Released => return Ok(None),
                AcceptMode::Accepting | AcceptMode::Closing => {}
                AcceptMode::Paused => {
                    self.wait();
                    continue;
                }
            }
            match self.socket.inner().accept() {
                Ok((stream, _)) => return PolledSocket::new(stream).map(Some),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.is_stopped() {
                        return Ok(None);
                    }
                    self.wait();
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Waits for connections, or for a change of the mode.
    fn wait(&self) {
        self.socket.wait_io();
        *self.queue_last_empty_at.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Returns how long the connection that was accepted last may have been in the accept queue:
    /// the time since the queue was last seen empty.
    pub fn queue_time(&self) -> Duration {
        self.queue_last_empty_at.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    /// Stops permanently, after the connections in the accept queue are accepted.
    pub fn close(&self) {
        self.set_mode(AcceptMode::Closing);
    }

    /// Stops permanently and immediately. The accept queue is left to the other process that holds
    /// the socket.
    pub fn release(&self) {
        self.set_mode(AcceptMode::Released);
    }

    /// Leaves connections to the other process that holds the socket, unless the listener has
    /// stopped.
    pub fn pause(&self) {
        if !self.is_stopped() {
            self.set_mode(AcceptMode::Paused);
        }
    }

    /// Accepts connections again, unless the listener has stopped.
    pub fn resume(&self) {
        if !self.is_stopped() {
            self.set_mode(AcceptMode::Accepting);
        }
    }

    /// Returns whether the listener has been closed or released.
    pub fn is_stopped(&self) -> bool {
        matches!(*self.mode(), AcceptMode::Closing | AcceptMode::Released)
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.inner().local_addr()
    }

    /// Returns the socket, which can be handed over to another process.
    pub fn socket(&self) -> &TcpListener {
        self.socket.inner()
    }

    /// Sets the mode, and wakes the coroutine that accepts.
    fn set_mode(&self, mode: AcceptMode) {
        *self.mode() = mode;
        self.socket.waker().wakeup();
    }

    fn mode(&self) -> MutexGuard<'_, AcceptMode> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
