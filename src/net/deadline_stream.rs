//! A TCP connection that one coroutine uses and another may end.

use may::io::CoIo;
use may::net::TcpStream;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

const READ_SIZE: usize = 4 * 1024;
const WRITE_RETRY: Duration = Duration::from_millis(1);

/// A socket of the coroutine library, as far as a [`DeadlineStream`] uses it.
pub trait Socket {
    /// Reads what is there at this moment.
    fn read_now(&self, into: &mut [u8]) -> io::Result<usize>;
    /// Writes as much as goes at this moment.
    fn write_now(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Waits until there is something to read.
    fn await_bytes(&self, timeout: Duration) -> io::Result<()>;
    /// Ends it; whoever waits on it wakes.
    fn end(&self, how: Shutdown) -> io::Result<()>;
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

            fn await_bytes(&self, timeout: Duration) -> io::Result<()> {
                // may keeps one list of timers a length of time: whole milliseconds keep these few.
                self.set_read_timeout(Some(whole_ms(timeout)))?;
                self.peek(&mut [0]).map(drop)
            }

            fn end(&self, how: Shutdown) -> io::Result<()> {
                self.inner().shutdown(how)
            }
        }
    };
}

socket!(TcpStream);
socket!(CoIo<net::TcpStream>);
socket!(CoIo<UnixStream>);

/// A connection.
#[derive(Debug)]
pub struct DeadlineStream<S = TcpStream>(Arc<S>);

impl<S> Clone for DeadlineStream<S> {
    fn clone(&self) -> DeadlineStream<S> {
        DeadlineStream(Arc::clone(&self.0))
    }
}

impl DeadlineStream {
    /// Connects within a time.
    pub fn connect(address: &SocketAddr, timeout: Duration) -> io::Result<DeadlineStream> {
        let stream = TcpStream::connect_timeout(address, timeout)?;
        // Without this an answer waits for the acknowledgement of the one before it.
        stream.set_nodelay(true)?;
        Ok(DeadlineStream(Arc::new(stream)))
    }

    /// Whether it is open with nothing to read: fit for another call.
    pub fn is_quiet(&self) -> bool {
        matches!(self.0.inner().peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

impl<S> From<Arc<S>> for DeadlineStream<S> {
    fn from(socket: Arc<S>) -> DeadlineStream<S> {
        DeadlineStream(socket)
    }
}

impl<S: Socket> DeadlineStream<S> {
    /// A link of a socket that is connected.
    pub fn of(socket: S) -> DeadlineStream<S> {
        DeadlineStream(Arc::new(socket))
    }

    /// Reads what is there, waiting until a point in time; 0 bytes mean the end.
    pub fn read(&self, into: &mut Vec<u8>, until: Instant) -> io::Result<usize> {
        loop {
            match read_some(into, |room| self.0.read_now(room)) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    self.0.await_bytes(left)?;
                }
                done => return done,
            }
        }
    }

    /// Writes all, or says that it could not before a point in time.
    pub fn write(&self, bytes: &[u8], until: Instant) -> io::Result<()> {
        self.write_while(bytes, until, || true)
    }

    /// The same while something holds, which is looked at before each part that had to wait.
    pub fn write_while(&self, mut bytes: &[u8], until: Instant, holds: impl Fn() -> bool) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.0.write_now(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if Instant::now() >= until {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    sleep(WRITE_RETRY);
                    if !holds() {
                        return Err(ErrorKind::ConnectionAborted.into());
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Ends it in both directions; whoever waits on it wakes.
    pub fn end(&self) {
        // An error says that it has ended already.
        let _ = self.0.end(Shutdown::Both);
    }

    /// Says that nothing more is written.
    pub fn end_writing(&self) {
        let _ = self.0.end(Shutdown::Write);
    }
}

/// Reads what is there at this moment. The room for it is on the heap: a coroutine's stack is used again
/// and again and keeps every page that was ever touched.
pub fn read_now(mut stream: &net::TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    read_some(into, |room| stream.read(room))
}

/// Whether the other side has ended its sending, or the connection, however much of what it sent lies unread before that.
pub fn has_hung_up(stream: &net::TcpStream) -> bool {
    let mut seen = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // Where nothing can be seen, the end is read after what came before it.
    poll(&mut seen, Some(&now)).is_ok() && seen[0].revents().intersects(ended)
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

/// Sleeps, then goes on at the worker: may wakes sleepers on its timer thread, where a time limit on a
/// socket that runs out at once would be lost.
pub fn sleep(time: Duration) {
    may::coroutine::sleep(time);
    may::coroutine::yield_now();
}

#[cfg(test)]
mod tests;
