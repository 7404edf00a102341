//! The backends of a soak: cache nodes and an origin whose behaviour is derived from a seed. Read
//! [`Backend`] first.

use super::plan::FaultMix;
use super::record::{AttemptEnd, Observation, Record};
use super::upgrade::REPEATED_KEY;
use pinetrail_test_harness::{record_arrivals, ArrivalStream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The longest time for which a backend waits for a request, or keeps a connection open without a
/// complete response.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two bytes of a response that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(5);
/// The length of a long value, which a proxy passes on in pieces, in bytes.
const LONG_VALUE_BYTES: usize = 100_000;
/// The time in which a long value arrives, in ms, and the number of its pieces.
const LONG_VALUE_MS: std::ops::Range<u64> = 1000..1400;
const LONG_VALUE_PIECES: usize = 8;
/// The time after its first piece from which a long value that is cut off had begun in time.
const LONG_VALUE_BEGUN: Duration = Duration::from_millis(200);
/// The time that the origin takes for a write in a mix with upgrades, in ms.
const OPEN_WRITE_MS: std::ops::Range<u64> = 120..180;
/// The pause within a response whose rest comes late, in ms.
const LATE_BODY_MS: std::ops::Range<u64> = 100..700;

/// The kind of a backend, which determines its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A cache node, which speaks the memcache meta commands.
    Node,
    /// The origin, which speaks HTTP/1.1.
    Origin,
}

/// The way in which a backend responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Serves the request.
    Serve,
    /// Responds that it lacks the key, so that the origin serves the request.
    Miss,
    /// Sends nothing until the proxy closes the connection.
    Hang,
    /// Sends the response byte by byte.
    Trickle,
    /// Sends half of the response, and nothing more until the proxy closes the connection.
    Stall,
    /// Sends half of the response and closes the connection.
    CloseHalfway,
    /// Rejects the request.
    Busy,
    /// Responds that the request failed.
    Fail,
    /// Sends the response twice.
    ServeTwice,
    /// Sends half of the response, and the rest after a pause.
    LateBody,
    /// Sends a long value slowly.
    SlowLongValue,
    /// Sends a complete response whose stated length is too short.
    ShortLength,
}

/// A running backend, whose threads run until the program ends.
pub(super) struct Backend {
    /// The address on which the backend listens.
    pub address: SocketAddr,
}

struct Server {
    kind: Kind,
    number: usize,
    seed: u64,
    record: Arc<Record>,
    connections: AtomicU64,
    faults: FaultMix,
}

/// A request that a backend has read.
struct ReceivedRequest {
    id: String,
    budget_ms: u64,
    is_write: bool,
    /// Whether another client sent the id of an open write.
    is_of_other_client: bool,
}

impl Backend {
    /// Starts a backend that records the attempts that it receives.
    ///
    /// # Errors
    ///
    /// If the backend cannot listen, or the kernel does not record when bytes arrive.
    pub(super) fn start(
        kind: Kind,
        number: usize,
        seed: u64,
        record: &Arc<Record>,
        faults: FaultMix,
    ) -> std::io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        record_arrivals(&listener)?;
        let address = listener.local_addr()?;
        let record = Arc::clone(record);
        let server = Arc::new(Server { kind, number, seed, record, connections: AtomicU64::new(0), faults });
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = Arc::clone(&server);
                // An error closes the connection, as at a real backend.
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(Backend { address })
    }
}

impl Server {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let mut rng = StdRng::seed_from_u64(self.seed ^ (connection << 16) ^ self.number as u64);
        let mut reader = BufReader::new(ArrivalStream::new(stream)?);
        while let Some(received) = self.read(&mut reader)? {
            let attempt = self.record.next_attempt();
            let arrived_at = reader.get_ref().last_arrival();
            let arrived = Observation::AttemptArrived {
                attempt,
                backend: self.number,
                budget_ms: received.budget_ms,
                read_delay: arrived_at.elapsed(),
                is_of_other_client: received.is_of_other_client,
            };
            self.record.add_observation(arrived_at, &received.id, arrived);
            let behaviour = self.choose_behaviour(&mut rng);
            let (over_at, end) = self.respond(&mut reader, &received, behaviour, &mut rng);
            let must_close = !matches!(end, AttemptEnd::Served(_) | AttemptEnd::NeverRan);
            self.record.add_observation(over_at, &received.id, Observation::AttemptEnded { attempt, end });
            if must_close {
                return reader.get_ref().get_ref().shutdown(Shutdown::Both);
            }
        }
        Ok(())
    }

    fn choose_behaviour(&self, rng: &mut StdRng) -> Behaviour {
        match rng.random_range(0..100) {
            0..=7 => Behaviour::Hang,
            8..=10 => Behaviour::Trickle,
            11..=13 => Behaviour::Stall,
            14..=17 => Behaviour::CloseHalfway,
            18..=21 => Behaviour::Busy,
            22..=24 => Behaviour::Fail,
            25..=26 => Behaviour::ServeTwice,
            27..=50 if self.kind == Kind::Node => Behaviour::Miss,
            51..=60 if self.faults.is_wide() => Behaviour::LateBody,
            61..=66 if self.faults.has_upgrades() && self.kind == Kind::Node => Behaviour::SlowLongValue,
            61..=66 if self.faults.has_upgrades() => Behaviour::ShortLength,
            _ => Behaviour::Serve,
        }
    }

    /// Responds as `behaviour` says. Returns a time before which the attempt had not ended, and how
    /// the attempt ended.
    fn respond(
        &self,
        reader: &mut BufReader<ArrivalStream>,
        received: &ReceivedRequest,
        behaviour: Behaviour,
        rng: &mut StdRng,
    ) -> (Instant, AttemptEnd) {
        let is_slow_write = self.faults.has_upgrades() && received.is_write;
        let work_ms = if is_slow_write { OPEN_WRITE_MS } else { 0..25 };
        let work = Duration::from_millis(rng.random_range(work_ms));
        let mut value = format!("{}-{}", self.number, rng.random_range(0..1_000_000));
        if behaviour == Behaviour::SlowLongValue && !received.is_write {
            value = value.repeat(LONG_VALUE_BYTES / value.len());
        }
        let received_at = Instant::now();
        if let Some(ended_at) = reader.get_mut().wait_for_end(work) {
            return (ended_at, AttemptEnd::MayHaveRun);
        }
        let open_at = Instant::now();
        if !reader.get_ref().is_open() {
            return (received_at, AttemptEnd::MayHaveRun);
        }
        let complete = self.complete_response(received, &value);
        let half = &complete.as_bytes()[..complete.len() / 2];
        if behaviour == Behaviour::LateBody {
            let pause = Duration::from_millis(rng.random_range(LATE_BODY_MS));
            return write_late(reader, half, &complete.as_bytes()[half.len()..], pause).map_or_else(
                |cut_off_at| (cut_off_at, AttemptEnd::CutOff),
                |resumed_at| (resumed_at, AttemptEnd::Served(value)),
            );
        }
        if behaviour == Behaviour::SlowLongValue && !received.is_write {
            let time = Duration::from_millis(rng.random_range(LONG_VALUE_MS));
            return match write_long_value(reader, complete.as_bytes(), time) {
                Ok(written_at) => (written_at, AttemptEnd::Served(value)),
                Err((at, begun_for)) if begun_for >= LONG_VALUE_BEGUN => (at, AttemptEnd::LongValueCutOff),
                Err((at, _)) => (at, AttemptEnd::MayHaveRun),
            };
        }
        // After a failed write the request may have run, as after an incomplete response.
        let write = |bytes: &[u8]| reader.get_ref().get_ref().write_all(bytes).is_ok();
        let (over_at, is_written) = match behaviour {
            Behaviour::Serve | Behaviour::SlowLongValue => (open_at, write(complete.as_bytes())),
            Behaviour::ShortLength => (open_at, write(short_length_response(&value).as_bytes())),
            Behaviour::ServeTwice => (open_at, write((complete.clone() + &complete).as_bytes())),
            Behaviour::Miss => (open_at, write(format!("EN {}\r\n", received.id).as_bytes())),
            Behaviour::Busy => (open_at, write(self.rejection().as_bytes())),
            Behaviour::Fail => (open_at, write(self.failure().as_bytes())),
            Behaviour::Trickle => write_slowly(reader, complete.as_bytes()),
            Behaviour::CloseHalfway => (open_at, write(half)),
            Behaviour::Stall if !write(half) => (open_at, false),
            Behaviour::Stall | Behaviour::Hang | Behaviour::LateBody => {
                (reader.get_mut().wait_for_end(READ_TIMEOUT).unwrap_or_else(Instant::now), false)
            }
        };
        let end = match behaviour {
            Behaviour::Miss | Behaviour::Busy if is_written => AttemptEnd::NeverRan,
            Behaviour::Serve | Behaviour::SlowLongValue | Behaviour::Trickle | Behaviour::ServeTwice
                if is_written =>
            {
                AttemptEnd::Served(value)
            }
            _ => AttemptEnd::MayHaveRun,
        };
        (over_at, end)
    }

    fn complete_response(&self, received: &ReceivedRequest, value: &str) -> String {
        match (self.kind, received.is_write) {
            (Kind::Origin, _) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}", value.len()),
            (Kind::Node, true) => format!("HD {} c{value}\r\n", received.id),
            (Kind::Node, false) => format!("VA {} {} h1\r\n{value}\r\n", value.len(), received.id),
        }
    }

    fn rejection(&self) -> &'static str {
        match self.kind {
            Kind::Node => "SERVER_ERROR busy\r\n",
            Kind::Origin => "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
        }
    }

    fn failure(&self) -> &'static str {
        match self.kind {
            Kind::Node => "SERVER_ERROR failed\r\n",
            Kind::Origin => "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
        }
    }

    /// Reads the next request; returns none at the end of the connection.
    fn read(&self, reader: &mut BufReader<ArrivalStream>) -> std::io::Result<Option<ReceivedRequest>> {
        reader.get_ref().get_ref().set_read_timeout(Some(READ_TIMEOUT))?;
        let mut head = String::new();
        while reader.read_line(&mut head)? > 0 {
            if self.kind == Kind::Origin && !head.ends_with("\r\n\r\n") {
                continue;
            }
            let (id, labels) = match self.kind {
                Kind::Node => (flag(&head, "O"), flag(&head, "P")),
                Kind::Origin => {
                    (field(&head, "X-Txn: ").map(|id| format!("O{id}")), field(&head, "X-Labels: "))
                }
            };
            let labels = labels.unwrap_or_default();
            let budget_ms = labels.split(',').find_map(|label| label.strip_prefix("d=")?.parse().ok());
            let length = field(&head, "Content-Length: ").and_then(|length| length.parse().ok()).unwrap_or(0);
            reader.read_exact(&mut vec![0; length])?;
            let id = id.map_or(String::new(), |id| if id.starts_with('O') { id } else { format!("O{id}") });
            let is_write = head.starts_with("PUT ") || head.starts_with("ms ");
            let is_of_other_client = head.starts_with(&format!("PUT /{REPEATED_KEY} "));
            let budget_ms = budget_ms.unwrap_or(u64::MAX);
            return Ok(Some(ReceivedRequest { id, budget_ms, is_write, is_of_other_client }));
        }
        Ok(None)
    }
}

/// Returns the value of a flag of a meta command: the first word that begins with `letter`, without
/// the letter.
fn flag(command: &str, letter: &str) -> Option<String> {
    command.split_whitespace().skip(1).find_map(|word| word.strip_prefix(letter)).map(str::to_owned)
}

/// Returns the value of an HTTP field: the rest of the first line that begins with `begins`.
fn field(head: &str, begins: &str) -> Option<String> {
    head.lines().find_map(|line| line.strip_prefix(begins)).map(str::to_owned)
}

/// Returns a response of the origin that states half of the length of its body.
fn short_length_response(value: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}", value.len() / 2)
}

/// Writes a response in pieces over `time`, the first at once. Returns the time at which the last piece
/// was written.
///
/// # Errors
///
/// Returns a time before which the connection had not ended, and how long after the first piece that
/// is.
fn write_long_value(
    reader: &mut BufReader<ArrivalStream>,
    bytes: &[u8],
    time: Duration,
) -> Result<Instant, (Instant, Duration)> {
    let began = Instant::now();
    let mut written_at = began;
    for (number, piece) in bytes.chunks(bytes.len().div_ceil(LONG_VALUE_PIECES)).enumerate() {
        if number > 0 {
            if let Some(ended_at) = reader.get_mut().wait_for_end(time / LONG_VALUE_PIECES as u32) {
                return Err((ended_at, ended_at.saturating_duration_since(began)));
            }
        }
        written_at = Instant::now();
        reader.get_ref().get_ref().write_all(piece).map_err(|_| (written_at, written_at - began))?;
    }
    Ok(written_at)
}

/// Writes a response in two parts with a pause. Returns the time at which the second part began.
///
/// # Errors
///
/// Returns a time before which the connection had not ended.
fn write_late(
    reader: &mut BufReader<ArrivalStream>,
    first: &[u8],
    rest: &[u8],
    pause: Duration,
) -> Result<Instant, Instant> {
    let began = Instant::now();
    reader.get_ref().get_ref().write_all(first).map_err(|_| began)?;
    if let Some(ended_at) = reader.get_mut().wait_for_end(pause) {
        return Err(ended_at);
    }
    let resumed_at = Instant::now();
    if !reader.get_ref().is_open() {
        return Err(resumed_at);
    }
    reader.get_ref().get_ref().write_all(rest).map_err(|_| resumed_at)?;
    Ok(resumed_at)
}

/// Writes a response byte by byte. Returns a time before which the attempt had not ended, and
/// whether the response is complete.
fn write_slowly(reader: &mut BufReader<ArrivalStream>, bytes: &[u8]) -> (Instant, bool) {
    let mut open_at = Instant::now();
    for (number, byte) in bytes.iter().enumerate() {
        if number > 0 {
            if let Some(ended_at) = reader.get_mut().wait_for_end(TRICKLE_INTERVAL) {
                return (ended_at, false);
            }
            let checked_at = Instant::now();
            if !reader.get_ref().is_open() {
                return (open_at, false);
            }
            open_at = checked_at;
        }
        if reader.get_ref().get_ref().write_all(std::slice::from_ref(byte)).is_err() {
            return (open_at, false);
        }
    }
    (open_at, true)
}
