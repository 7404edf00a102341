//! Listening sockets, and the connections that come in on them, on the `may` crate. The library's own listener
//! cannot be made of a socket that another process has opened, but its generic wrapper can.

use may::io::{CoIo, WaitIo};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A connection that has come in.
pub type Stream = CoIo<TcpStream>;

/// What a listener does about those who connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    /// Accepts them.
    Accepts,
    /// Leaves them to another process that holds the socket too.
    Rests,
    /// Accepts who waits already, and ends.
    Closes,
    /// Ends, and leaves also those to the other process.
    Leaves,
}

/// A socket that accepts connections until it is told to stop.
#[derive(Debug)]
pub struct Listener {
    socket: CoIo<TcpListener>,
    stand: Mutex<Stand>,
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
        Ok(Listener { socket, stand: Mutex::new(Stand::Accepts) })
    }

    /// The next connection; none once it has stopped.
    pub fn accept(&self) -> io::Result<Option<Stream>> {
        loop {
            // Danger: a guard that lives on through the match would be held while this waits.
            let stand = *self.stand();
            match stand {
                Stand::Leaves => return Ok(None),
                Stand::Accepts | Stand::Closes => {}
                Stand::Rests => {
                    self.socket.wait_io();
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
                    self.socket.wait_io();
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// From now on it accepts only who waits already.
    pub fn close(&self) {
        self.be(Stand::Closes);
    }

    /// From now on it accepts nobody: another process that holds the socket does.
    pub fn leave(&self) {
        self.be(Stand::Leaves);
    }

    /// Has it accept nobody for a time, or accept again.
    pub fn rest(&self, rests: bool) {
        if !self.is_stopped() {
            self.be(if rests { Stand::Rests } else { Stand::Accepts });
        }
    }

    /// Whether it was told to stop.
    pub fn is_stopped(&self) -> bool {
        matches!(*self.stand(), Stand::Closes | Stand::Leaves)
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.inner().local_addr()
    }

    /// The socket itself.
    pub fn socket(&self) -> &TcpListener {
        self.socket.inner()
    }

    fn be(&self, stand: Stand) {
        *self.stand() = stand;
        self.socket.waker().wakeup();
    }

    fn stand(&self) -> MutexGuard<'_, Stand> {
        self.stand.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
