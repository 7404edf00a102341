//! Clients that send requests at a fixed rate, whatever the answers do (an open loop): latencies
//! count from when a request was due. [`Load`] runs them; [`Done`] is what came of it.

use pinetrail_test_harness::recorder::Recorder;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How many requests may be open at once; more wait, and are late.
const CLIENTS: u64 = 48;
/// How long a client waits.
const BUDGET: Duration = Duration::from_millis(900);
/// A request that its proxy's death left without an answer is asked again, so often at the most.
const TRIES: usize = 20;
const KEYS: u64 = 200;

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Done {
    /// Requests that were due.
    pub requests: u64,
    /// Final answers by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Requests asked again since the connection broke.
    pub asked_again: u64,
    /// Requests that had none.
    pub without_answer: u64,
    /// Requests that had another after the first.
    pub answered_twice: u64,
    /// From when each was due, in microseconds.
    pub latencies: Vec<u64>,
}

impl Done {
    /// Whether each request had exactly one final answer.
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

/// Clients at work.
pub(crate) struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients of these proxies, with so many requests a second for a time.
    pub(crate) fn start(proxies: Vec<SocketAddr>, rate: u64, lasts: Duration, seed: u64) -> Load {
        let total = rate * lasts.as_secs();
        let shared = Arc::new(Shared {
            proxies,
            rate,
            total,
            seed,
            begun: Instant::now(),
            next: AtomicU64::new(0),
            recorder: Recorder::own(),
            done: Mutex::default(),
        });
        let client = |_| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || Client { shared: &shared, open: BTreeMap::new() }.work())
        };
        let threads = (0..CLIENTS).map(client).collect();
        Load { shared, threads }
    }

    /// Sends nothing more, and waits for what is in flight.
    pub(crate) fn cancel(self) {
        self.shared.next.store(self.shared.total, Ordering::Relaxed);
        self.wait();
    }

    /// Waits until all that were due are answered; what came of it.
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

/// What came of one attempt.
enum AttemptResult {
    /// A final answer of this kind.
    Final(&'static str),
    /// The connection broke without an answer.
    Broken,
}

impl Client<'_> {
    fn work(mut self) {
        loop {
            let n = self.shared.next.fetch_add(1, Ordering::Relaxed);
            if n >= self.shared.total {
                return;
            }
            let due = self.shared.begun + Duration::from_micros(n * 1_000_000 / self.shared.rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let mixed = (n ^ self.shared.seed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            let key = format!("k{}", mixed % KEYS);
            let writes = mixed.is_multiple_of(20);
            let mut answer = None;
            for attempt in 0..TRIES {
                let proxy = (n as usize + attempt) % self.shared.proxies.len();
                match self.ask(proxy, &key, writes, n, attempt) {
                    AttemptResult::Final(kind) => {
                        answer = Some(kind);
                        break;
                    }
                    AttemptResult::Broken => {
                        self.open.remove(&proxy);
                        self.note(|done| done.asked_again += 1);
                        thread::sleep(Duration::from_millis(20));
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

    /// Asks one proxy. What breaks has no answer: the client has left, and may ask again.
    fn ask(&mut self, proxy: usize, key: &str, writes: bool, n: u64, attempt: usize) -> AttemptResult {
        let (id, repeat) = (format!("{n}x{attempt}"), if attempt > 0 { ",r=1" } else { "" });
        let ms = BUDGET.as_millis();
        let command = if writes {
            format!("ms {key} 5 O{id} Pc=put,t=acme,d={ms},k=w{n}{repeat}\r\nhello\r\n")
        } else {
            format!("mg {key} v O{id} Pc=read,t=acme,d={ms}{repeat}\r\n")
        };
        let Some(stream) = self.connection(proxy) else { return AttemptResult::Broken };
        // Something that nobody asked for any more lies there: an answer too many.
        let is_quiet = stream.buffer().is_empty();
        self.shared.recorder.record_request(&command);
        let Some(stream) = self.open.get_mut(&proxy) else { return AttemptResult::Broken };
        let answer = stream.get_mut().write_all(command.as_bytes()).and_then(|()| read(stream));
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
            let stream =
                TcpStream::connect_timeout(&self.shared.proxies[proxy], Duration::from_millis(200)).ok()?;
            stream.set_read_timeout(Some(BUDGET * 2)).ok()?;
            stream.set_nodelay(true).ok()?;
            self.open.insert(proxy, BufReader::new(stream));
        }
        // A proxy closes what stands idle: that is seen before it is used.
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

/// The line of an answer, and its value if it has one.
fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<(String, String)> {
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
