//! Listening sockets, and the connections that come in on them, on the `may` crate. Read
//! [`Listener`] first. The crate's own listener cannot be made of a socket that another process has
//! opened, but its generic wrapper can.

use may::io::{CoIo, WaitIo};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Connections that may wait in the queue to be accepted.
const BACKLOG: i32 = 1024;

/// A connection that has been accepted.
pub type Stream = CoIo<TcpStream>;

/// What a listener does with connections that come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptMode {
    /// Accepts them.
    Accepting,
    /// Leaves them to the other process that holds the socket, until it is resumed.
    Paused,
    /// Accepts those that wait in the queue already, and ends.
    Closing,
    /// Ends, and leaves also those in the queue to the other process that holds the socket.
    Released,
}

/// A socket that accepts connections until it is told to stop.
#[derive(Debug)]
pub struct Listener {
    socket: CoIo<TcpListener>,
    /// Guards the mode only. Danger: never held while a coroutine waits.
    mode: Mutex<AcceptMode>,
    /// Since when there may have been connections in the queue. Guards this time only.
    queued_since: Mutex<Instant>,
}

/// Opens a listening socket. Danger: without the exclusive hold on the address a proxy started
/// twice by mistake would take connections from the first unseen.
///
/// # Errors
///
/// If the address cannot be bound, for instance since another process holds it.
pub fn open(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of a process that has ended do not keep the address from the next.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Listener {
    /// Accepts on a socket that listens already.
    ///
    /// # Errors
    ///
    /// If the socket cannot be registered with the coroutines' poller.
    pub fn new(socket: TcpListener) -> io::Result<Listener> {
        let socket = CoIo::new(socket).map_err(io::Error::from)?;
        Ok(Listener {
            socket,
            mode: Mutex::new(AcceptMode::Accepting),
            queued_since: Mutex::new(Instant::now()),
        })
    }

    /// Waits for the next connection; none once the listener has stopped.
    ///
    /// # Errors
    ///
    /// The error of the system call, for instance since no descriptor is left. The caller may try
    /// again.
    pub fn accept(&self) -> io::Result<Option<Stream>> {
        loop {
            // Danger: a guard that lives on through the match would be held while this waits.
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
                Ok((stream, _)) => return CoIo::new(stream).map(Some).map_err(io::Error::from),
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

    /// Waits for connections, or to be told something.
    fn wait(&self) {
        self.socket.wait_io();
        *self.queued_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// For how long the connection that was accepted last may have been in the queue: since the
    /// queue was last seen empty.
    pub fn queued_for(&self) -> Duration {
        self.queued_since.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    /// Stops for good, after the connections that wait in the queue already.
    pub fn close(&self) {
        self.set_mode(AcceptMode::Closing);
    }

    /// Stops for good and at once: the other process that holds the socket accepts.
    pub fn release(&self) {
        self.set_mode(AcceptMode::Released);
    }

    /// Leaves connections to the other process that holds the socket, unless it has stopped.
    pub fn pause(&self) {
        if !self.is_stopped() {
            self.set_mode(AcceptMode::Paused);
        }
    }

    /// Accepts connections again, unless it has stopped.
    pub fn resume(&self) {
        if !self.is_stopped() {
            self.set_mode(AcceptMode::Accepting);
        }
    }

    /// Whether it was told to stop.
    pub fn is_stopped(&self) -> bool {
        matches!(*self.mode(), AcceptMode::Closing | AcceptMode::Released)
    }

    /// The address it listens on.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.inner().local_addr()
    }

    /// The socket itself, to hand over to another process.
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
