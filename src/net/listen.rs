//! Listening sockets, and the connections that come in on them, on the `may` crate. The library's own listener
//! cannot be made of a socket that another process has opened, but its generic wrapper can.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A connection that has come in.
pub type Stream = CoIo<TcpStream>;

/// A socket that accepts connections until it is told to stop.
#[derive(Debug)]
pub struct Listener {
    socket: CoIo<TcpListener>,
    stopped: AtomicBool,
}

/// Opens a listening socket. Danger: without the exclusive hold on the address a proxy started twice by
/// mistake would take connections from the first unseen.
pub fn open(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of a process that has ended do not keep the address from the next.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Listener {
    /// Takes an open socket over.
    pub fn new(socket: TcpListener) -> io::Result<Listener> {
        let socket = CoIo::new(socket).map_err(io::Error::from)?;
        Ok(Listener { socket, stopped: AtomicBool::new(false) })
    }

    /// The next connection; none once it has stopped and nobody waits any more.
    pub fn accept(&self) -> io::Result<Option<Stream>> {
        loop {
            match self.socket.inner().accept() {
                Ok((stream, _)) => return CoIo::new(stream).map(Some).map_err(io::Error::from),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.stopped.load(Ordering::Acquire) {
                        return Ok(None);
                    }
                    self.socket.wait_io();
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// From now on it accepts only who waits already.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.waker().wakeup();
    }

    /// Whether it was told to stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.inner().local_addr()
    }

    /// The socket itself.
    pub fn socket(&self) -> &TcpListener {
        self.socket.inner()
    }

    fn waker(&self) -> WaitIoWaker {
        self.socket.waker()
    }
}
