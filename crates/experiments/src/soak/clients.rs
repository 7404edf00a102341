//! The clients of a soak. Each sends one request after the other and keeps its connection until the
//! proxy closes it, also while the proxy drains. Read [`Client::run`] first.

use super::plan::FaultMix;
use super::record::{Class, FinalResponse, Observation, Record};
use pinetrail_test_harness::ArrivalStream;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The client timeouts, one of which is chosen for each request.
const TIMEOUTS_MS: [u64; 6] = [40, 90, 250, 480, 800, 900];
/// The mean number of requests from one early disconnect of a client to the next.
const REQUESTS_PER_DISCONNECT: u32 = 25;
/// The mean number of requests from one slow write of a client to the next.
const REQUESTS_PER_SLOW_WRITE: u32 = 10;
/// The mean number of reads from one that has another one behind it to the next, in a mix with
/// upgrades, and the timeout of both.
const READS_PER_PAIR: u32 = 3;
const PAIR_TIMEOUT_MS: u64 = 900;
/// The length of a value above which only its first bytes have to arrive in time.
const LONG_VALUE_BYTES: usize = 64 * 1024;
/// The pause in the middle of a command that is written slowly, in ms.
const WRITE_PAUSE_MS: std::ops::Range<u64> = 20..400;
/// The time after which a client closes the connection of a request without a response.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time that a client waits after a failed connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// A client that sends its requests to one proxy.
pub(super) struct Client {
    /// The number of the proxy.
    pub proxy: usize,
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    /// The number of the client among those of the proxy.
    pub number: usize,
    /// The seed of the client's random choices.
    pub seed: u64,
    /// The time after which the client begins no request.
    pub stop_at: Instant,
    /// The mix of faults, which decides how the client sends its commands.
    pub mix: FaultMix,
    /// The record to which the client adds its observations.
    pub record: Arc<Record>,
}

/// A request that is to be sent.
struct Request {
    id: String,
    class: Class,
    timeout_ms: u64,
    command: String,
    /// The pause in the middle of the command.
    write_pause: Duration,
}

/// An open connection.
struct Connection {
    stream: BufReader<ArrivalStream>,
    requests: usize,
}

impl Client {
    /// Sends requests until [`Client::stop_at`].
    pub(super) fn run(&self) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((self.number as u64) << 32));
        let mut connection = None;
        let mut count = 0;
        while Instant::now() < self.stop_at {
            thread::sleep(Duration::from_millis(rng.random_range(0..40)));
            let Some(open) = connection.take().or_else(|| self.connect()) else {
                thread::sleep(RECONNECT_DELAY);
                continue;
            };
            count += 1;
            let request = self.generate_request(count, &mut rng);
            let disconnects_after = rng
                .random_ratio(1, REQUESTS_PER_DISCONNECT)
                .then(|| Duration::from_millis(rng.random_range(0..request.timeout_ms)));
            let has_pair = self.mix.has_upgrades()
                && request.class == Class::Read
                && rng.random_ratio(1, READS_PER_PAIR);
            connection = if has_pair {
                self.send_pair(open, count)
            } else {
                self.send(open, &request, disconnects_after)
            };
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream: BufReader::new(ArrivalStream::new(stream).ok()?), requests: 0 })
    }

    fn generate_request(&self, count: usize, rng: &mut StdRng) -> Request {
        let id = format!("O{}.{}.{count}", self.proxy, self.number);
        let timeout_ms = TIMEOUTS_MS[rng.random_range(0..TIMEOUTS_MS.len())];
        let key = format!("k{}", rng.random_range(0..60));
        let class = match rng.random_range(0..10) {
            4..=6 if self.mix.has_upgrades() => Class::Confirm,
            0..=6 => Class::Read,
            7..=8 => Class::Put,
            _ => Class::Confirm,
        };
        let command = match class {
            Class::Read => format!("mg {key} v {id} Pc=read,t=acme,d={timeout_ms}\r\n"),
            Class::Put => format!("ms {key} 5 {id} Pc=put,t=acme,d={timeout_ms},k={id}\r\nhello\r\n"),
            Class::Confirm => format!("ms {key} 5 {id} Pc=confirm,t=acme,d={timeout_ms},k={id}\r\nhello\r\n"),
        };
        let is_slow = self.mix.is_wide() && rng.random_ratio(1, REQUESTS_PER_SLOW_WRITE);
        let write_pause =
            if is_slow { Duration::from_millis(rng.random_range(WRITE_PAUSE_MS)) } else { Duration::ZERO };
        Request { id, class, timeout_ms, command, write_pause }
    }

    /// Sends a request and reads its response; returns the connection if it is still usable.
    fn send(
        &self,
        mut open: Connection,
        request: &Request,
        disconnects_after: Option<Duration>,
    ) -> Option<Connection> {
        let sent_at = Instant::now();
        write_command(open.stream.get_ref().get_ref(), request).ok()?;
        open.requests += 1;
        if request.class == Class::Confirm {
            self.record.set_open_write((self.proxy, self.number), Some(&request.command));
        }
        let sent = Observation::Sent {
            proxy: self.proxy,
            class: request.class,
            timeout_ms: request.timeout_ms,
            is_first_on_connection: open.requests == 1,
            write_time: sent_at.elapsed(),
        };
        self.record.add_observation(sent_at, &request.id, sent);
        let read_until = Instant::now() + disconnects_after.unwrap_or(READ_TIMEOUT);
        let response = read_response(&mut open.stream, read_until);
        self.record.set_open_write((self.proxy, self.number), None);
        let arrived = open.stream.get_ref().last_arrival();
        match response {
            Ok((answer, answered_at)) => {
                self.record.add_observation(answered_at, &request.id, Observation::Answered(answer));
                Some(open)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                drop(open);
                if disconnects_after.is_some() {
                    self.record.add_observation(Instant::now(), &request.id, Observation::Disconnected);
                }
                None
            }
            Err(_) => {
                self.record.add_observation(arrived, &request.id, Observation::ConnectionEnded);
                None
            }
        }
    }
}

impl Client {
    /// Sends two reads at once and reads their responses; returns the connection if it is still
    /// usable. The time of the second one begins with the end of the first response.
    fn send_pair(&self, mut open: Connection, count: usize) -> Option<Connection> {
        let ids = ["a", "b"].map(|part| format!("O{}.{}.{count}{part}", self.proxy, self.number));
        let command = |id: &String| format!("mg k{id} v {id} Pc=read,t=acme,d={PAIR_TIMEOUT_MS}\r\n");
        let sent_at = Instant::now();
        let commands: String = ids.iter().map(command).collect();
        open.stream.get_ref().get_ref().write_all(commands.as_bytes()).ok()?;
        let mut is_open = true;
        for id in &ids {
            open.requests += 1;
            let sent = Observation::Sent {
                proxy: self.proxy,
                class: Class::Read,
                timeout_ms: PAIR_TIMEOUT_MS,
                is_first_on_connection: open.requests == 1,
                write_time: sent_at.elapsed(),
            };
            self.record.add_observation(sent_at, id, sent);
            let response = if is_open {
                read_response(&mut open.stream, Instant::now() + READ_TIMEOUT)
            } else {
                Err(ErrorKind::UnexpectedEof.into())
            };
            match response {
                Ok((answer, answered_at)) => {
                    self.record.add_observation(answered_at, id, Observation::Answered(answer));
                }
                Err(error) => {
                    is_open = false;
                    if error.kind() != ErrorKind::WouldBlock {
                        let ended_at = open.stream.get_ref().last_arrival();
                        self.record.add_observation(ended_at, id, Observation::ConnectionEnded);
                    }
                }
            }
        }
        is_open.then_some(open)
    }
}

/// Writes a command, with its pause in the middle if it has one.
fn write_command(mut stream: &TcpStream, request: &Request) -> std::io::Result<()> {
    let mut rest = request.command.as_bytes();
    if !request.write_pause.is_zero() {
        let (first, second) = rest.split_at(rest.len() / 2);
        stream.write_all(first)?;
        thread::sleep(request.write_pause);
        rest = second;
    }
    stream.write_all(rest)
}

/// Reads one response; returns it with the time at which its last byte arrived, or the first line of a
/// long value.
///
/// # Errors
///
/// [`ErrorKind::WouldBlock`] if the response is not complete in time, another kind if the
/// connection ended.
fn read_response(
    stream: &mut BufReader<ArrivalStream>,
    until: Instant,
) -> std::io::Result<(FinalResponse, Instant)> {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.get_ref().get_ref().set_read_timeout(Some(left))?;
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    if let Some(rest) = line.strip_prefix("VA ") {
        let length: usize = rest.split(' ').next().and_then(|length| length.parse().ok()).unwrap_or(0);
        let began_at = stream.get_ref().last_arrival();
        let mut value = vec![0; length + 2];
        stream.read_exact(&mut value)?;
        let ended_at = stream.get_ref().last_arrival();
        let answered_at = if length > LONG_VALUE_BYTES { began_at } else { ended_at };
        let value = String::from_utf8_lossy(&value[..length]).into_owned();
        return Ok((FinalResponse::Served(value), answered_at));
    }
    let answered_at = stream.get_ref().last_arrival();
    if let Some((_, receipt)) = line.trim_end().split_once(" c").filter(|_| line.starts_with("HD ")) {
        return Ok((FinalResponse::Served(receipt.to_owned()), answered_at));
    }
    if line.starts_with("SERVER_ERROR busy") {
        return Ok((FinalResponse::Rejected, answered_at));
    }
    Ok((FinalResponse::Failed, answered_at))
}
