//! A stream socket that one coroutine reads and writes with deadlines, and another may shut down.
//! [`DeadlineStream`] works on any [`Socket`] of the coroutine library.

use may::io::CoIo;
use may::net::TcpStream;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes that one read takes at the most.
const READ_SIZE: usize = 4 * 1024;
/// Between attempts to write to a socket whose buffer is full.
const WRITE_RETRY: Duration = Duration::from_millis(1);

/// A socket of the coroutine library, as far as a [`DeadlineStream`] uses it.
pub trait Socket {
    /// Reads what is there at this moment.
    ///
    /// # Errors
    /// Those of the socket; [`ErrorKind::WouldBlock`] if nothing is there.
    fn read_now(&self, into: &mut [u8]) -> io::Result<usize>;
    /// Writes as much as goes at this moment.
    ///
    /// # Errors
    /// Those of the socket; [`ErrorKind::WouldBlock`] if its buffer is full.
    fn write_now(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Waits until there is something to read.
    ///
    /// # Errors
    /// Those of the socket, also that nothing came in time.
    fn wait_readable(&self, timeout: Duration) -> io::Result<()>;
    /// Shuts it down; whoever waits on it wakes.
    ///
    /// # Errors
    /// Those of the socket, also that it is shut down already.
    fn shutdown(&self, how: Shutdown) -> io::Result<()>;
}

macro_rules! socket {
    ($kind:ty) => {
        impl Socket for $kind {
            fn read_now(&self, into: &mut [u8]) -> io::Result<usize> {
                self.inner().read(into)
            }

            fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
                self.inner().write(bytes)
            }

            fn wait_readable(&self, timeout: Duration) -> io::Result<()> {
                // may keeps one list of timers a length of time: whole milliseconds keep these few.
                self.set_read_timeout(Some(whole_ms(timeout)))?;
                self.peek(&mut [0]).map(drop)
            }

            fn shutdown(&self, how: Shutdown) -> io::Result<()> {
                self.inner().shutdown(how)
            }
        }
    };
}

socket!(TcpStream);
socket!(CoIo<net::TcpStream>);
socket!(CoIo<UnixStream>);

/// A connected stream whose reads and writes have deadlines. Clones share the connection.
#[derive(Debug)]
pub struct DeadlineStream<S = TcpStream>(Arc<S>);

impl<S> Clone for DeadlineStream<S> {
    fn clone(&self) -> DeadlineStream<S> {
        DeadlineStream(Arc::clone(&self.0))
    }
}

impl DeadlineStream {
    /// Connects within a time, without Nagle's delay.
    ///
    /// # Errors
    /// Those of the connection attempt, also that it took too long.
    pub fn connect(address: &SocketAddr, timeout: Duration) -> io::Result<DeadlineStream> {
        let stream = TcpStream::connect_timeout(address, timeout)?;
        // Without this an answer waits for the acknowledgement of the one before it.
        stream.set_nodelay(true)?;
        Ok(DeadlineStream(Arc::new(stream)))
    }

    /// Whether it is open with nothing to read: fit for another request.
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

    /// Appends what is there, waiting for it until the deadline; 0 bytes mean the end of the
    /// stream.
    ///
    /// # Errors
    /// Those of the socket; [`ErrorKind::TimedOut`] at the deadline.
    pub fn read(&self, into: &mut Vec<u8>, deadline: Instant) -> io::Result<usize> {
        loop {
            match read_some(into, |room| self.0.read_now(room)) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    self.0.wait_readable(left)?;
                }
                done => return done,
            }
        }
    }

    /// Writes all bytes before the deadline.
    ///
    /// # Errors
    /// Those of the socket; [`ErrorKind::TimedOut`] at the deadline.
    pub fn write(&self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        self.write_while(bytes, deadline, || true)
    }

    /// The same while a condition holds, which is checked before each part that had to wait.
    ///
    /// # Errors
    /// As [`DeadlineStream::write`]; [`ErrorKind::ConnectionAborted`] if the condition holds no
    /// longer.
    pub fn write_while(
        &self,
        mut bytes: &[u8],
        deadline: Instant,
        condition: impl Fn() -> bool,
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.0.write_now(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if Instant::now() >= deadline {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    sleep(WRITE_RETRY);
                    if !condition() {
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Shuts it down in both directions; whoever waits on it wakes.
    pub fn shutdown(&self) {
        // An error says that it is shut down already.
        let _ = self.0.shutdown(Shutdown::Both);
    }

    /// Shuts down its sending direction.
    pub fn shutdown_writing(&self) {
        let _ = self.0.shutdown(Shutdown::Write);
    }
}

/// Appends what is there at this moment. The room for it is on the heap: a coroutine's stack is
/// used again and again and keeps every page that was ever touched.
///
/// # Errors
/// Those of the socket; [`ErrorKind::WouldBlock`] if nothing is there.
pub fn read_now(mut stream: &net::TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    read_some(into, |room| stream.read(room))
}

/// Whether the other side has shut down its sending direction, or the connection, however much of
/// what it sent lies unread before that.
pub fn has_hung_up(stream: &net::TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // If the poll fails, the end is read after what came before it.
    poll(&mut polled, Some(&now)).is_ok() && polled[0].revents().intersects(ended)
}

fn read_some(into: &mut Vec<u8>, mut read: impl FnMut(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
    let before = into.len();
    into.resize(before + READ_SIZE, 0);
    let done = loop {
        match read(&mut into[before..]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            done => break done,
        }
    };
    into.truncate(before + *done.as_ref().unwrap_or(&0));
    done
}

/// A time in whole milliseconds, rounded up.
pub fn whole_ms(time: Duration) -> Duration {
    Duration::from_millis(u64::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u64::MAX).max(1))
}

/// Sleeps, then goes on at the worker: may wakes sleepers on its timer thread, where a time limit
/// on a socket that runs out at once would be lost.
pub fn sleep(time: Duration) {
    may::coroutine::sleep(time);
    may::coroutine::yield_now();
}

#[cfg(test)]
mod tests;
