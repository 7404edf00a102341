//! An open-loop load generator: clients send requests at a fixed rate that does not depend on the
//! responses, and latencies count from the time at which a request was due. [`Load`] runs the
//! clients; [`LoadResult`] has their counts and latencies.

use pinetrail_test_harness::recorder::Recorder;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The maximum number of requests in flight, each of which occupies one client thread. Further
/// requests are sent late.
const MAX_OPEN_REQUESTS: u64 = 48;
/// The client timeout, which each request carries as its label `d`.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);
/// The maximum number of attempts of a request whose connections break without a response.
const MAX_ATTEMPTS: usize = 20;
const KEY_COUNT: u64 = 200;
/// The mean number of requests for each write.
const REQUESTS_PER_WRITE: u64 = 20;
/// The delay before a retry on a new connection.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The multiplier that mixes the number of a request into pseudo-random bits (the golden ratio in
/// 64 bits).
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The counts and latencies of all requests of a load.
#[derive(Debug, Default)]
pub(crate) struct LoadResult {
    /// The number of requests that were due.
    pub requests: u64,
    /// The number of final responses of each kind.
    pub responses: BTreeMap<&'static str, u64>,
    /// The number of retries after a broken connection.
    pub retries: u64,
    /// The number of requests without a final response.
    pub unanswered: u64,
    /// The number of requests with more than one final response.
    pub duplicate_responses: u64,
    /// The time from when each request was due until its final response, in microseconds.
    pub latencies_us: Vec<u64>,
}

impl LoadResult {
    /// Returns whether requests were sent and each had exactly one final response.
    pub(crate) fn answered_exactly_once(&self) -> bool {
        self.requests > 0
            && self.responses.values().sum::<u64>() == self.requests
            && self.unanswered == 0
            && self.duplicate_responses == 0
    }
}

struct Shared {
    proxies: Vec<SocketAddr>,
    rate: u64,
    total: u64,
    seed: u64,
    started_at: Instant,
    next: AtomicU64,
    recorder: Recorder,
    result: Mutex<LoadResult>,
}

/// The running clients of a load.
pub(crate) struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients of these proxies, which send `rate` requests a second for `duration`.
    pub(crate) fn start(proxies: Vec<SocketAddr>, rate: u64, duration: Duration, seed: u64) -> Load {
        let total = rate * duration.as_secs();
        let shared = Arc::new(Shared {
            proxies,
            rate,
            total,
            seed,
            started_at: Instant::now(),
            next: AtomicU64::new(0),
            recorder: Recorder::current(),
            result: Mutex::default(),
        });
        let client = |_| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || Client { shared: &shared, connections: BTreeMap::new() }.run())
        };
        let threads = (0..MAX_OPEN_REQUESTS).map(client).collect();
        Load { shared, threads }
    }

    /// Stops sending requests, and waits for those in flight.
    pub(crate) fn cancel(self) {
        self.shared.next.store(self.shared.total, Ordering::Relaxed);
        self.wait();
    }

    /// Waits until all requests of the load have ended; returns their counts and latencies.
    pub(crate) fn wait(self) -> LoadResult {
        for thread in self.threads {
            // A client that panicked has printed the reason and poisoned the lock of the result.
            let _ = thread.join();
        }
        std::mem::take(&mut *self.shared.result.lock().expect("no client panicked"))
    }
}

struct Client<'a> {
    shared: &'a Shared,
    connections: BTreeMap<usize, BufReader<TcpStream>>,
}

/// The outcome of one attempt.
enum AttemptResult {
    /// A final response of this kind arrived.
    Final(&'static str),
    /// The connection broke without a response.
    Broken,
}

impl Client<'_> {
    fn run(mut self) {
        loop {
            let n = self.shared.next.fetch_add(1, Ordering::Relaxed);
            if n >= self.shared.total {
                return;
            }
            let due = self.shared.started_at + Duration::from_micros(n * 1_000_000 / self.shared.rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let mixed = (n ^ self.shared.seed).wrapping_mul(MIX_MULTIPLIER) >> 32;
            let key = format!("k{}", mixed % KEY_COUNT);
            let is_write = mixed.is_multiple_of(REQUESTS_PER_WRITE);
            let mut answer = None;
            for attempt in 0..MAX_ATTEMPTS {
                let proxy = (n as usize + attempt) % self.shared.proxies.len();
                match self.send_attempt(proxy, &key, is_write, n, attempt) {
                    AttemptResult::Final(kind) => {
                        answer = Some(kind);
                        break;
                    }
                    AttemptResult::Broken => {
                        self.connections.remove(&proxy);
                        self.update(|result| result.retries += 1);
                        thread::sleep(RETRY_DELAY);
                    }
                }
            }
            let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.update(|result| {
                result.requests += 1;
                match answer {
                    Some(kind) => {
                        *result.responses.entry(kind).or_default() += 1;
                        result.latencies_us.push(latency_us);
                    }
                    None => result.unanswered += 1,
                }
            });
        }
    }

    fn update(&self, change: impl FnOnce(&mut LoadResult)) {
        change(&mut self.shared.result.lock().expect("no client panicked"));
    }

    /// Sends an attempt to one proxy and reads its response. A broken connection is recorded as a
    /// client that has disconnected, and the request may be retried.
    fn send_attempt(
        &mut self,
        proxy: usize,
        key: &str,
        is_write: bool,
        n: u64,
        attempt: usize,
    ) -> AttemptResult {
        let (id, repeat) = (format!("{n}x{attempt}"), if attempt > 0 { ",r=1" } else { "" });
        let ms = CLIENT_TIMEOUT.as_millis();
        let command = if is_write {
            format!("ms {key} 5 O{id} Pc=put,t=acme,d={ms},k=w{n}{repeat}\r\nhello\r\n")
        } else {
            format!("mg {key} v O{id} Pc=read,t=acme,d={ms}{repeat}\r\n")
        };
        let Some(stream) = self.connection(proxy) else { return AttemptResult::Broken };
        // Input that is buffered before the request is sent is a second response to an earlier
        // request.
        let was_buffer_empty = stream.buffer().is_empty();
        self.shared.recorder.record_request(&command);
        let Some(stream) = self.connections.get_mut(&proxy) else { return AttemptResult::Broken };
        let answer = stream.get_mut().write_all(command.as_bytes()).and_then(|()| read_response(stream));
        if !was_buffer_empty {
            self.update(|result| result.duplicate_responses += 1);
        }
        match answer {
            Ok((line, value)) => {
                self.shared.recorder.record_response(&command, &line, &value);
                if line.contains(&format!(" O{id}")) {
                    AttemptResult::Final("served")
                } else if line.starts_with("SERVER_ERROR busy") {
                    AttemptResult::Final("refused")
                } else if line.starts_with("SERVER_ERROR") {
                    AttemptResult::Final("failed")
                } else {
                    AttemptResult::Final("unknown")
                }
            }
            Err(_) => {
                self.shared.recorder.record_client_gone(&command);
                AttemptResult::Broken
            }
        }
    }

    fn connection(&mut self, proxy: usize) -> Option<&mut BufReader<TcpStream>> {
        if !self.connections.contains_key(&proxy) {
            let stream = TcpStream::connect_timeout(&self.shared.proxies[proxy], CONNECT_TIMEOUT).ok()?;
            stream.set_read_timeout(Some(CLIENT_TIMEOUT * 2)).ok()?;
            stream.set_nodelay(true).ok()?;
            self.connections.insert(proxy, BufReader::new(stream));
        }
        // The proxy may have closed an idle connection. A request on it would count as an attempt
        // whose connection broke, so the end is detected before the connection is used.
        let stream = self.connections.get_mut(&proxy)?;
        stream.get_ref().set_nonblocking(true).ok()?;
        let seen = stream.get_ref().peek(&mut [0]);
        stream.get_ref().set_nonblocking(false).ok()?;
        if matches!(seen, Ok(0)) {
            self.connections.remove(&proxy);
            return self.connection(proxy);
        }
        self.connections.get_mut(&proxy)
    }
}

/// Reads a response; returns its line, and its value or an empty string.
fn read_response(stream: &mut BufReader<TcpStream>) -> std::io::Result<(String, String)> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let length =
        line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()).and_then(|word| word.parse().ok());
    let mut value = vec![0; length.map_or(0, |length: usize| length + 2)];
    stream.read_exact(&mut value)?;
    Ok((line, String::from_utf8_lossy(&value).into_owned()))
}
