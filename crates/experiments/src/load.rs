//! Clients that send requests at a fixed rate, independent of the responses (an open loop):
//! latencies count from the time at which a request was due. [`Load`] runs them; [`Done`] is the
//! result.

use pinetrail_test_harness::recorder::Recorder;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How many requests may be open at once; further ones are sent late.
const MAX_OPEN_REQUESTS: u64 = 48;
/// How long a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);
/// The most attempts of a request whose connections break without a response.
const MAX_ATTEMPTS: usize = 20;
const KEYS: u64 = 200;
/// One request in this many is a write.
const WRITES_ONE_IN: u64 = 20;
/// How long a client waits before it retries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Mixes the number of a request into pseudo-random bits (the golden ratio in 64 bits).
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The result of a load.
#[derive(Debug, Default)]
pub(crate) struct Done {
    /// Requests that were due.
    pub requests: u64,
    /// Final responses by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Retries after a broken connection.
    pub asked_again: u64,
    /// Requests without a final response.
    pub without_answer: u64,
    /// Requests with more than one final response.
    pub answered_twice: u64,
    /// Time from when each was due until its response, in microseconds.
    pub latencies: Vec<u64>,
}

impl Done {
    /// Whether each request had exactly one final response.
    pub(crate) fn is_sound(&self) -> bool {
        self.requests > 0
            && self.answers.values().sum::<u64>() == self.requests
            && self.without_answer == 0
            && self.answered_twice == 0
    }
}

struct Shared {
    proxies: Vec<SocketAddr>,
    rate: u64,
    total: u64,
    seed: u64,
    begun: Instant,
    next: AtomicU64,
    recorder: Recorder,
    done: Mutex<Done>,
}

/// Running clients.
pub(crate) struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients of these proxies, with `rate` requests a second for this time.
    pub(crate) fn start(proxies: Vec<SocketAddr>, rate: u64, lasts: Duration, seed: u64) -> Load {
        let total = rate * lasts.as_secs();
        let shared = Arc::new(Shared {
            proxies,
            rate,
            total,
            seed,
            begun: Instant::now(),
            next: AtomicU64::new(0),
            recorder: Recorder::current(),
            done: Mutex::default(),
        });
        let client = |_| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || Client { shared: &shared, open: BTreeMap::new() }.run())
        };
        let threads = (0..MAX_OPEN_REQUESTS).map(client).collect();
        Load { shared, threads }
    }

    /// Sends no further requests, and waits for those in flight.
    pub(crate) fn cancel(self) {
        self.shared.next.store(self.shared.total, Ordering::Relaxed);
        self.wait();
    }

    /// Waits until all requests that were due have a response; returns the result.
    pub(crate) fn wait(self) -> Done {
        for thread in self.threads {
            // A client that panicked has printed why, and has poisoned the lock.
            let _ = thread.join();
        }
        std::mem::take(&mut *self.shared.done.lock().expect("no client panicked"))
    }
}

struct Client<'a> {
    shared: &'a Shared,
    open: BTreeMap<usize, BufReader<TcpStream>>,
}

/// The result of one attempt.
enum AttemptResult {
    /// A final response of this kind.
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
            let due = self.shared.begun + Duration::from_micros(n * 1_000_000 / self.shared.rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let mixed = (n ^ self.shared.seed).wrapping_mul(MIX_MULTIPLIER) >> 32;
            let key = format!("k{}", mixed % KEYS);
            let writes = mixed.is_multiple_of(WRITES_ONE_IN);
            let mut answer = None;
            for attempt in 0..MAX_ATTEMPTS {
                let proxy = (n as usize + attempt) % self.shared.proxies.len();
                match self.send_attempt(proxy, &key, writes, n, attempt) {
                    AttemptResult::Final(kind) => {
                        answer = Some(kind);
                        break;
                    }
                    AttemptResult::Broken => {
                        self.open.remove(&proxy);
                        self.note(|done| done.asked_again += 1);
                        thread::sleep(RETRY_DELAY);
                    }
                }
            }
            let late = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.note(|done| {
                done.requests += 1;
                match answer {
                    Some(kind) => {
                        *done.answers.entry(kind).or_default() += 1;
                        done.latencies.push(late);
                    }
                    None => done.without_answer += 1,
                }
            });
        }
    }

    fn note(&self, note: impl FnOnce(&mut Done)) {
        note(&mut self.shared.done.lock().expect("no client panicked"));
    }

    /// Sends an attempt to one proxy. If the connection breaks the client has disconnected, and may
    /// retry.
    fn send_attempt(
        &mut self,
        proxy: usize,
        key: &str,
        writes: bool,
        n: u64,
        attempt: usize,
    ) -> AttemptResult {
        let (id, repeat) = (format!("{n}x{attempt}"), if attempt > 0 { ",r=1" } else { "" });
        let ms = CLIENT_TIMEOUT.as_millis();
        let command = if writes {
            format!("ms {key} 5 O{id} Pc=put,t=acme,d={ms},k=w{n}{repeat}\r\nhello\r\n")
        } else {
            format!("mg {key} v O{id} Pc=read,t=acme,d={ms}{repeat}\r\n")
        };
        let Some(stream) = self.connection(proxy) else { return AttemptResult::Broken };
        // Buffered input before the request is sent is a second response to an earlier one.
        let is_quiet = stream.buffer().is_empty();
        self.shared.recorder.record_request(&command);
        let Some(stream) = self.open.get_mut(&proxy) else { return AttemptResult::Broken };
        let answer = stream.get_mut().write_all(command.as_bytes()).and_then(|()| read_response(stream));
        if !is_quiet {
            self.note(|done| done.answered_twice += 1);
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
        if !self.open.contains_key(&proxy) {
            let stream = TcpStream::connect_timeout(&self.shared.proxies[proxy], CONNECT_TIMEOUT).ok()?;
            stream.set_read_timeout(Some(CLIENT_TIMEOUT * 2)).ok()?;
            stream.set_nodelay(true).ok()?;
            self.open.insert(proxy, BufReader::new(stream));
        }
        // The proxy may have closed an idle connection, which is noticed before it is used.
        let stream = self.open.get_mut(&proxy)?;
        stream.get_ref().set_nonblocking(true).ok()?;
        let seen = stream.get_ref().peek(&mut [0]);
        stream.get_ref().set_nonblocking(false).ok()?;
        if matches!(seen, Ok(0)) {
            self.open.remove(&proxy);
            return self.connection(proxy);
        }
        self.open.get_mut(&proxy)
    }
}

/// The line of a response, and its value if it has one.
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
