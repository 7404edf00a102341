//! Responses of stub servers that arrive in pieces with pauses, in each framing of the protocols.
//! Read [`PacedResponse`] first.

use crate::stub_server::opaque;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval between checks whether the proxy has closed the connection during a pause.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a response shows where its value ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A value of a cache node, with its length.
    Memcache,
    /// A response of the origin with `Content-Length`.
    HttpLength,
    /// A chunked response of the origin, one chunk for each piece.
    HttpChunked,
    /// A response of the origin that ends with its connection.
    HttpUntilClose,
}

/// All framings.
pub const FRAMINGS: [Framing; 4] =
    [Framing::Memcache, Framing::HttpLength, Framing::HttpChunked, Framing::HttpUntilClose];

/// Whether a response arrives completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// All of it arrives.
    Whole,
    /// Only the head and the first part of the value arrive, and the connection stays open.
    NeverEnds,
}

/// A response that is written with pauses.
#[derive(Clone, Debug)]
pub struct PacedResponse {
    /// How the response shows where its value ends.
    pub framing: Framing,
    /// The value.
    pub value: Vec<u8>,
    /// The number of bytes of the value that follow the head at once.
    pub first_bytes: usize,
    /// The time from the head to the last byte.
    pub duration: Duration,
    /// The number of pieces in which the rest of the value arrives.
    pub pieces: usize,
    /// Whether the response arrives completely.
    pub completion: Completion,
}

/// The end of one paced response, as its server saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The request to which the response belongs.
    pub request: String,
    /// The time after the head at which the proxy had closed the connection; `None` if all of the
    /// response was written before.
    pub cut_off_after: Option<Duration>,
}

/// The ends of the paced responses of a test.
#[derive(Clone, Debug, Default)]
pub struct Deliveries(Arc<Mutex<Vec<Delivery>>>);

impl Deliveries {
    /// Returns the responses that ended so far.
    pub fn all(&self) -> Vec<Delivery> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the responses that the proxy cut off so far.
    pub fn cut_off(&self) -> Vec<Delivery> {
        self.all().into_iter().filter(|delivery| delivery.cut_off_after.is_some()).collect()
    }

    fn add(&self, delivery: Delivery) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(delivery);
    }
}

impl Framing {
    /// Returns whether the response is one of a cache node.
    pub fn is_of_node(self) -> bool {
        self == Framing::Memcache
    }

    fn head(self, request: &str, length: usize) -> String {
        match self {
            Framing::Memcache => format!("VA {length} {}\r\n", opaque(request)),
            Framing::HttpLength => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
            Framing::HttpChunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            Framing::HttpUntilClose => "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        }
    }

    fn piece(self, bytes: &[u8]) -> Vec<u8> {
        if self != Framing::HttpChunked || bytes.is_empty() {
            return bytes.to_vec();
        }
        [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
    }

    fn terminator(self) -> &'static [u8] {
        match self {
            Framing::Memcache => b"\r\n",
            Framing::HttpChunked => b"0\r\n\r\n",
            Framing::HttpLength | Framing::HttpUntilClose => b"",
        }
    }
}

impl PacedResponse {
    /// Writes the response to `request`, and adds its end to `deliveries`.
    pub fn write(&self, request: &str, stream: &mut TcpStream, deliveries: &Deliveries) {
        let cut_off_after = self.write_parts(request, stream).err();
        if self.framing == Framing::HttpUntilClose && self.completion == Completion::Whole {
            // An error means that the proxy has closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
        }
        deliveries.add(Delivery { request: request.to_owned(), cut_off_after });
    }

    /// Writes the response.
    ///
    /// # Errors
    ///
    /// Returns the time after the head at which the proxy had closed the connection.
    fn write_parts(&self, request: &str, stream: &mut TcpStream) -> Result<(), Duration> {
        let began = Instant::now();
        let (first, rest) = self.value.split_at(self.first_bytes.min(self.value.len()));
        let head = self.framing.head(request, self.value.len());
        let start = [head.as_bytes(), &self.framing.piece(first)].concat();
        stream.write_all(&start).map_err(|_| began.elapsed())?;
        if self.completion == Completion::NeverEnds {
            return Ok(());
        }
        let pieces = self.pieces.max(1);
        let mut written = 0;
        for number in 1..=pieces {
            let due = began + self.duration * number as u32 / pieces as u32;
            wait_until(stream, due).map_err(|()| began.elapsed())?;
            let until = rest.len() * number / pieces;
            let mut piece = self.framing.piece(&rest[written..until]);
            written = until;
            if number == pieces {
                piece.extend(self.framing.terminator());
            }
            stream.write_all(&piece).map_err(|_| began.elapsed())?;
        }
        Ok(())
    }
}

/// Waits until `due`.
///
/// # Errors
///
/// Returns an error if the proxy closes the connection first.
fn wait_until(stream: &TcpStream, due: Instant) -> Result<(), ()> {
    while Instant::now() < due {
        sleep(POLL_INTERVAL.min(due.saturating_duration_since(Instant::now())));
        if is_closed(stream) {
            return Err(());
        }
    }
    Ok(())
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let seen = stream.peek(&mut [0]);
    let is_blocking_again = stream.set_nonblocking(false).is_ok();
    match seen {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock || !is_blocking_again,
    }
}
