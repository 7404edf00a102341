//! Measures when the bytes of a TCP stream arrived, with the receive timestamps of the kernel. Read
//! [`ArrivalStream`] first.
//!
//! A stub that reads its clock after a read also measures its own delay, since its thread may have
//! waited for a processor. On loopback the kernel timestamps a segment when its sender writes it.

use nix::errno::Errno;
use nix::sys::socket::{recv, recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, IoSliceMut, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Path of the file that shows, among others, how long the reading thread has waited for a
/// processor.
const SCHEDSTAT_PATH: &str = "/proc/thread-self/schedstat";
/// Longest time until the kernel begins to timestamp segments.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of bytes that one read discards at most.
const DISCARD_SIZE_BYTES: usize = 256;
/// Number of times that the monotonic clock and the wall clock are read together. An interruption
/// between the two falsifies a reading, so the shortest one is used.
const CLOCK_READINGS: usize = 3;

/// A TCP stream that reports when the bytes of the last read, or the end of the stream, arrived.
#[derive(Debug)]
pub struct ArrivalStream {
    stream: TcpStream,
    last_arrival: Instant,
    /// Whether the kernel gave a timestamp for the bytes of the last read.
    is_timestamped: bool,
}

/// Makes the kernel timestamp the bytes on all connections that a listener accepts, including bytes
/// that arrive before the connection is accepted. Returns once the kernel does so.
///
/// # Errors
/// If the kernel does not support receive timestamps, or does not begin in time.
pub fn record_arrivals(listener: &TcpListener) -> io::Result<()> {
    setsockopt(listener, sockopt::ReceiveTimestampns, &true)?;
    let until = Instant::now() + START_TIMEOUT;
    // The kernel begins some time after the first socket has enabled timestamps.
    while !timestamps_arrivals()? {
        if Instant::now() > until {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
    Ok(())
}

/// Returns whether the kernel timestamps a byte that is sent over loopback now.
fn timestamps_arrivals() -> io::Result<bool> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut writer = TcpStream::connect(listener.local_addr()?)?;
    let mut reader = ArrivalStream::new(listener.accept()?.0)?;
    writer.write_all(&[0])?;
    reader.read_exact(&mut [0])?;
    Ok(reader.is_timestamped)
}

impl ArrivalStream {
    /// Wraps a connected stream.
    ///
    /// # Errors
    /// If the kernel does not support receive timestamps.
    pub fn new(stream: TcpStream) -> io::Result<ArrivalStream> {
        setsockopt(&stream, sockopt::ReceiveTimestampns, &true)?;
        Ok(ArrivalStream { stream, last_arrival: Instant::now(), is_timestamped: false })
    }

    /// Returns when the bytes of the last read arrived. If the read found the end of the stream or
    /// an error, returns when this thread was woken for it.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival
    }

    /// Waits until the end of the stream arrives, for at most `time`; returns when the end arrived.
    /// Discards bytes that arrive before it.
    pub fn wait_for_end(&mut self, time: Duration) -> Option<Instant> {
        let until = Instant::now() + time;
        loop {
            let waited_before = run_queue_wait();
            let left = until.saturating_duration_since(Instant::now());
            if !self.is_readable_within(left) {
                return None;
            }
            let woken_at = Instant::now().checked_sub(run_queue_wait().saturating_sub(waited_before));
            match self.stream.read(&mut [0; DISCARD_SIZE_BYTES]) {
                Ok(count) if count > 0 => {}
                _ => return Some(woken_at.unwrap_or_else(Instant::now)),
            }
        }
    }

    /// Returns whether bytes or the end of the stream arrive within `time`.
    fn is_readable_within(&self, time: Duration) -> bool {
        let timeout = Timespec {
            tv_sec: i64::try_from(time.as_secs()).unwrap_or(i64::MAX),
            tv_nsec: i64::from(time.subsec_nanos()),
        };
        let mut polled = [PollFd::new(&self.stream, PollFlags::IN)];
        // An interruption by a signal counts as nothing to read; tests install no signal handlers.
        poll(&mut polled, Some(&timeout)).is_ok_and(|ready| ready > 0)
    }

    /// Returns whether the end of the stream has not been seen. Does not wait, and does not see an
    /// end that has arrived behind unread bytes.
    pub fn is_open(&self) -> bool {
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        match recv(self.stream.as_raw_fd(), &mut [0], flags) {
            Ok(count) => count > 0,
            Err(error) => error == Errno::EAGAIN,
        }
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }
}

impl Read for ArrivalStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let waited_before = run_queue_wait();
        let mut control = nix::cmsg_space!(TimeSpec);
        let mut buffers = [IoSliceMut::new(into)];
        let received =
            recvmsg::<()>(self.stream.as_raw_fd(), &mut buffers, Some(&mut control), MsgFlags::empty());
        let now = Instant::now();
        let waited = run_queue_wait().saturating_sub(waited_before);
        self.last_arrival = now.checked_sub(waited).unwrap_or(now);
        let message = received?;
        if message.bytes > 0 {
            let timestamp = message.cmsgs()?.find_map(|control| match control {
                ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
                _ => None,
            });
            self.is_timestamped = timestamp.is_some();
            self.last_arrival = timestamp.map_or(self.last_arrival, instant_at_unix_time);
        }
        Ok(message.bytes)
    }
}

/// Returns how long this thread has waited for a processor since its start; zero if the kernel
/// keeps no scheduler statistics.
fn run_queue_wait() -> Duration {
    let statistics = std::fs::read_to_string(SCHEDSTAT_PATH).unwrap_or_default();
    let wait_ns = statistics.split_whitespace().nth(1).and_then(|field| field.parse().ok());
    Duration::from_nanos(wait_ns.unwrap_or(0))
}

/// Converts a Unix time in the recent past to an [`Instant`].
#[allow(clippy::disallowed_methods, reason = "the kernel's timestamps are on the wall clock")]
fn instant_at_unix_time(unix: Duration) -> Instant {
    let readings = (0..CLOCK_READINGS).map(|_| {
        let before = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (before.elapsed(), before, wall)
    });
    let shortest = readings.min_by_key(|(took, _, _)| *took);
    let moment = shortest.and_then(|(_, read_at, wall)| read_at.checked_sub(wall.saturating_sub(unix)));
    moment.unwrap_or_else(Instant::now)
}

#[cfg(test)]
mod tests;
