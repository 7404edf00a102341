//! Stream sockets with deadlines for reads and writes, which another coroutine may shut down. Read
//! [`DeadlineStream`] first; it works on any [`Socket`] of the coroutine library.

use super::polled_socket::PolledSocket;
use may::net::TcpStream;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum number of bytes that one read returns.
const READ_SIZE_BYTES: usize = 4 * 1024;
/// The interval between attempts to write to a socket whose buffer is full.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// The operations of the coroutine library's sockets that [`DeadlineStream`] uses.
pub trait Socket {
    /// Reads the bytes that are available, without waiting.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, or [`ErrorKind::WouldBlock`] if nothing is available.
    fn try_read(&self, into: &mut [u8]) -> io::Result<usize>;
    /// Writes as much as the socket takes, without waiting.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, or [`ErrorKind::WouldBlock`] if the socket's buffer is full.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Waits until there is something to read.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, also if nothing arrives within the timeout.
    fn wait_readable(&self, timeout: Duration) -> io::Result<()>;
    /// Shuts the socket down, and wakes the coroutine that waits on it.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, also if the socket is shut down already.
    fn shutdown(&self, how: Shutdown) -> io::Result<()>;
}

macro_rules! impl_socket {
    ($kind:ty, $wait_readable:expr) => {
        impl Socket for $kind {
            fn try_read(&self, into: &mut [u8]) -> io::Result<usize> {
                self.inner().read(into)
            }

            fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
                self.inner().write(bytes)
            }

            fn wait_readable(&self, timeout: Duration) -> io::Result<()> {
                // `may` keeps a list of timers for each distinct timeout. Whole milliseconds limit
                // the number of lists.
                $wait_readable(self, round_up_to_ms(timeout))
            }

            fn shutdown(&self, how: Shutdown) -> io::Result<()> {
                self.inner().shutdown(how)
            }
        }
    };
}

impl_socket!(TcpStream, |stream: &TcpStream, timeout| {
    stream.set_read_timeout(Some(timeout))?;
    stream.peek(&mut [0]).map(drop)
});
impl_socket!(PolledSocket<net::TcpStream>, PolledSocket::wait_readable);
impl_socket!(PolledSocket<UnixStream>, PolledSocket::wait_readable);

/// A connected stream whose reads and writes have deadlines. Clones share the connection.
#[derive(Debug)]
pub struct DeadlineStream<S = TcpStream>(Arc<S>);

impl<S> Clone for DeadlineStream<S> {
    fn clone(&self) -> DeadlineStream<S> {
        DeadlineStream(Arc::clone(&self.0))
    }
}

impl DeadlineStream {
    /// Connects within a timeout, with Nagle's algorithm disabled.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection attempt, also if the attempt times out.
    pub fn connect(address: &SocketAddr, timeout: Duration) -> io::Result<DeadlineStream> {
        let stream = TcpStream::connect_timeout(address, timeout)?;
        // With Nagle's algorithm a message would wait for the acknowledgement of the previous
        // message.
        stream.set_nodelay(true)?;
        Ok(DeadlineStream(Arc::new(stream)))
    }

    /// Returns whether the stream is open and has nothing to read, so that it can take another
    /// request.
    pub fn is_idle(&self) -> bool {
        matches!(self.0.inner().peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

impl<S> From<Arc<S>> for DeadlineStream<S> {
    fn from(socket: Arc<S>) -> DeadlineStream<S> {
        DeadlineStream(socket)
    }
}

impl<S: Socket> DeadlineStream<S> {
    /// Wraps a connected socket.
    pub fn new(socket: S) -> DeadlineStream<S> {
        DeadlineStream(Arc::new(socket))
    }

    /// Waits for bytes until the deadline, and appends those that are available. Returns their
    /// number; 0 means the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, or [`ErrorKind::TimedOut`] at the deadline.
    pub fn read(&self, into: &mut Vec<u8>, deadline: Instant) -> io::Result<usize> {
        loop {
            match self.try_read(into) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if remaining.is_zero() {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    self.0.wait_readable(remaining)?;
                }
                result => return result,
            }
        }
    }

    /// Appends the bytes that are available, without waiting; returns their number. The end of the
    /// stream and errors are left to the next read.
    pub fn read_available(&self, into: &mut Vec<u8>) -> usize {
        self.try_read(into).unwrap_or(0)
    }

    /// Appends the bytes that are available, without waiting; returns their number. 0 means the end of
    /// the stream.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, or [`ErrorKind::WouldBlock`] if nothing is available.
    pub fn try_read(&self, into: &mut Vec<u8>) -> io::Result<usize> {
        read_some(into, |room| self.0.try_read(room))
    }

    /// Waits until there may be something to read.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, also if nothing arrives within the timeout.
    pub fn wait_readable(&self, timeout: Duration) -> io::Result<()> {
        self.0.wait_readable(timeout)
    }

    /// Writes all bytes before the deadline.
    ///
    /// # Errors
    ///
    /// Returns the socket's errors, or [`ErrorKind::TimedOut`] at the deadline.
    pub fn write(&self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        self.write_while(bytes, deadline, || true)
    }

    /// Writes all bytes before the deadline while a condition holds. The condition is checked
    /// before each part that had to wait for space in the socket's buffer.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`DeadlineStream::write`], or [`ErrorKind::ConnectionAborted`] once
    /// the condition fails.
    pub fn write_while(
        &self,
        mut bytes: &[u8],
        deadline: Instant,
        condition: impl Fn() -> bool,
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.0.try_write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if Instant::now() >= deadline {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    sleep(WRITE_RETRY_INTERVAL);
                    if !condition() {
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Shuts the connection down in both directions, and wakes the coroutine that waits on it.
    pub fn shutdown(&self) {
        // An error means that the connection is shut down already.
        let _ = self.0.shutdown(Shutdown::Both);
    }

    /// Shuts down the sending direction.
    pub fn shutdown_writing(&self) {
        let _ = self.0.shutdown(Shutdown::Write);
    }
}

/// Appends the bytes that are available, without waiting; returns their number.
///
/// Note: the buffer is on the heap, because the stack of a coroutine is reused and keeps every page
/// that was ever touched.
///
/// # Errors
///
/// Returns the socket's errors, or [`ErrorKind::WouldBlock`] if nothing is available.
pub fn try_read(mut stream: &net::TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    read_some(into, |room| stream.read(room))
}

/// Appends the bytes that are available, and leaves them in the socket; see [`try_read`].
///
/// # Errors
///
/// Returns the errors of [`try_read`].
pub fn try_peek(stream: &net::TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    read_some(into, |room| stream.peek(room))
}

/// Returns whether the peer has closed its sending direction or the connection, even if unread
/// input precedes that.
pub fn has_hung_up(stream: &net::TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // If the poll fails, a later read reports the end of the stream.
    poll(&mut polled, Some(&now)).is_ok() && polled[0].revents().intersects(ended)
}

fn read_some(into: &mut Vec<u8>, mut read: impl FnMut(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
    let before = into.len();
    into.resize(before + READ_SIZE_BYTES, 0);
    let result = loop {
        match read(&mut into[before..]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => break result,
        }
    };
    into.truncate(before + *result.as_ref().unwrap_or(&0));
    result
}

/// Rounds a duration up to whole milliseconds, at least 1.
pub fn round_up_to_ms(duration: Duration) -> Duration {
    const US_PER_MS: u128 = 1000;
    const MIN_MS: u64 = 1;
    let ms = u64::try_from(duration.as_micros().div_ceil(US_PER_MS)).unwrap_or(u64::MAX);
    Duration::from_millis(ms.max(MIN_MS))
}

/// Sleeps, then continues on the worker.
///
/// Note: `may` resumes a sleeping coroutine on its timer thread. A socket timeout that expires at
/// once would be lost there, so the coroutine yields to the worker first.
pub fn sleep(duration: Duration) {
    may::coroutine::sleep(duration);
    may::coroutine::yield_now();
}

#[cfg(test)]
mod tests;
