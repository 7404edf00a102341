//! A socket that is registered with the coroutines' poller. [`PolledSocket`] ensures that the
//! socket is removed from the poller before it is closed.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::Duration;

/// A socket that is registered with the coroutines' poller.
///
/// Invariant: the socket is removed from the poller before it is closed, since fields are dropped
/// in this order. The library's own wrapper closes the socket first, so its removal from the poller
/// fails. While another process holds the same socket, the poller then continues to report events
/// with a pointer to freed memory. If another thread has meanwhile opened a socket with the same
/// descriptor number, that socket is removed from the poller instead.
#[derive(Debug)]
pub struct PolledSocket<S: AsRawFd> {
    registered: CoIo<Arc<S>>,
    socket: Arc<S>,
}

impl<S: AsRawFd> PolledSocket<S> {
    /// Registers a socket with the poller, and makes it non-blocking.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered.
    pub fn new(socket: S) -> io::Result<PolledSocket<S>> {
        let socket = Arc::new(socket);
        let registered = CoIo::new(Arc::clone(&socket)).map_err(io::Error::from)?;
        Ok(PolledSocket { registered, socket })
    }

    /// Returns the socket.
    pub fn inner(&self) -> &S {
        &self.socket
    }

    /// Waits until the socket may be ready, or the coroutine is woken by the waker.
    pub fn wait_io(&self) {
        self.registered.wait_io();
    }

    /// Returns the waker of the coroutine that waits for the socket.
    pub fn waker(&self) -> WaitIoWaker {
        self.registered.waker()
    }

    /// Waits until there is something to read.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, also if nothing arrives within the timeout.
    pub fn wait_readable(&self, timeout: Duration) -> io::Result<()> {
        self.registered.set_read_timeout(Some(timeout))?;
        self.registered.peek(&mut [0]).map(drop)
    }
}
