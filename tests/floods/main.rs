//! Clients that send at full speed: the proxy stays within its memory limit, and other clients get
//! their responses in time. The tests are a program of their own because they occupy the machine.

mod upgrades;

use pinetrail_test_harness::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Memory limit of the proxy, in MB.
const MEMORY_MB: usize = 24;
/// Limit of file descriptors of the proxy.
const SOCKETS: usize = 384;
/// Duration of a flood.
const FLOOD_TIME: Duration = Duration::from_millis(4000);
/// Number of commands in one write of a flood.
const COMMANDS_PER_WRITE: usize = 3000;
/// Longest time that another client may wait for a response: the client timeout of its class.
const MAX_LATENCY: Duration = Duration::from_millis(1000);

/// Pause between two requests of another client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// A connection on which one client sends commands at full speed until the flood is dropped.
struct Flood {
    stream: TcpStream,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Whether the client of a flood reads its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    ReadsAll,
    ReadsNothing,
}

impl Flood {
    /// Sends what `command` returns for each number.
    fn start(
        fixture: &ProxyFixture,
        reading: Reading,
        command: impl Fn(usize) -> String + Send + 'static,
    ) -> Flood {
        let stream = TcpStream::connect(fixture.client_address).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let (mut writer, stopped) = (stream.try_clone().unwrap(), Arc::clone(&stop));
        let mut threads = vec![thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::SeqCst) {
                let batch: String = (number..number + COMMANDS_PER_WRITE).map(&command).collect();
                number += COMMANDS_PER_WRITE;
                // The proxy may close the connection.
                if writer.write_all(batch.as_bytes()).is_err() {
                    return;
                }
            }
        })];
        if reading == Reading::ReadsAll {
            let mut reader = stream.try_clone().unwrap();
            threads.push(thread::spawn(move || {
                let mut buffer = vec![0; 64 * 1024];
                while matches!(reader.read(&mut buffer), Ok(count) if count > 0) {}
            }));
        }
        Flood { stream, stop, threads }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        // The proxy may have closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
        for thread in self.threads.drain(..) {
            // A thread that panicked has printed the reason.
            let _ = thread.join();
        }
    }
}

/// The longest time that a request of another client took, its number and its response.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Latency {
    time: Duration,
    number: usize,
    line: String,
}

/// Sends requests of another client for the duration of a flood; returns the longest time that one
/// took.
fn longest_latency(fixture: &ProxyFixture) -> Latency {
    let mut client = fixture.client();
    let began = Instant::now();
    let mut longest = Latency::default();
    for number in 0.. {
        if began.elapsed() >= FLOOD_TIME {
            break;
        }
        let sent_at = Instant::now();
        let line = client.try_get(&format!("other{number}")).unwrap_or_else(|| {
            // A proxy may close a connection between two requests.
            client = fixture.client();
            client.try_get(&format!("again{number}")).expect("a request on a new connection is answered")
        });
        longest = longest.max(Latency { time: sent_at.elapsed(), number, line });
        thread::sleep(REQUEST_INTERVAL);
    }
    longest
}

/// The tests occupy the machine, so that one runs after the other.
static MACHINE: Mutex<()> = Mutex::new(());

/// Guards against memory that grows with the rate of requests rather than with those that are open:
/// the timers of answered requests kept their stacks.
#[test]
fn a_flood_of_requests_with_new_ids_stays_within_the_memory_limit() {
    let _machine = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    for (reading, deadline_ms, connections) in [
        (Reading::ReadsAll, 300, 1),
        (Reading::ReadsNothing, 300, 1),
        (Reading::ReadsAll, 20_000, 1),
        (Reading::ReadsAll, 300, 8),
        (Reading::ReadsAll, 300, 30),
    ] {
        let (node, origin) = (StubServer::hit_node("v"), StubServer::origin(|_| StubAction::Ignore));
        let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
        let fixture = ProxyFixture::with_limits(&entries, SOCKETS, MEMORY_MB);
        let flood = |connection| {
            Flood::start(&fixture, reading, move |number| {
                format!("mg k{number} v Of{connection}.{number} Pc=read,t=acme,d={deadline_ms}\r\n")
            })
        };
        let floods: Vec<Flood> = (0..connections).map(flood).collect();
        let latency = longest_latency(&fixture);
        drop(floods);
        let what = format!("{connections} connections, {reading:?}, d={deadline_ms}");
        let memory = fixture.memory_mb();
        eprintln!("{what}: {memory} MB, others up to {latency:?}");
        assert!(memory < MEMORY_MB as u64, "{what}: {memory} MB");
        assert!(latency.time < MAX_LATENCY, "{what}: another client waited {latency:?}");
    }
}

/// Number of clients of a crowd.
const CROWD: usize = 150;
/// Length of the values that a crowd does not read, in bytes.
const CROWD_VALUE_BYTES: usize = 1024 * 1024;

/// What each client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrowdBehaviour {
    /// Writes a large command in small pieces.
    WritesSlowly,
    /// Stops half way through a large command.
    StopsHalfway,
    /// Sends a command with very many short labels.
    SendsManyLabels,
    /// Requests long values and reads none.
    ReadsNothing,
}

impl CrowdBehaviour {
    fn start(self, fixture: &ProxyFixture, number: usize) -> Client {
        let mut client = fixture.client();
        let write =
            format!("ms k{number} 60000 Oc{number} Pc=confirm,t=acme,d=900\r\n{}", "x".repeat(30_000));
        // The proxy may close a connection of the crowd at any time.
        let _ = match self {
            CrowdBehaviour::WritesSlowly => client.try_send(&write[..200]),
            CrowdBehaviour::StopsHalfway => client.try_send(&write),
            CrowdBehaviour::SendsManyLabels => client.try_send(&format!(
                "mg k{number} v Oc{number} Pc=read,t=acme,d=900,{}\r\n",
                (0..300).map(|n| format!("a{n}=1")).collect::<Vec<_>>().join(",")
            )),
            CrowdBehaviour::ReadsNothing => client.try_send(
                &(0..10)
                    .map(|n| format!("mg k v Oc{number}.{n} Pc=read,t=acme,d=900\r\n"))
                    .collect::<String>(),
            ),
        };
        client
    }
}

/// Guards against memory that grows with slow clients, and against other clients that wait for them.
#[test]
fn crowds_of_slow_clients_stay_within_the_memory_limit_and_delay_no_other_client() {
    let _machine = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let value = "x".repeat(CROWD_VALUE_BYTES);
    for behaviour in [
        CrowdBehaviour::WritesSlowly,
        CrowdBehaviour::StopsHalfway,
        CrowdBehaviour::SendsManyLabels,
        CrowdBehaviour::ReadsNothing,
    ] {
        let value = value.clone();
        let node = StubServer::node(move |line| {
            let value = if line.starts_with("mg k ") { &value } else { "v" };
            StubAction::Reply(format!("VA {} {}\r\n{value}\r\n", value.len(), opaque(line)))
        });
        let origin = StubServer::origin(|_| StubAction::Ignore);
        let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
        let fixture = ProxyFixture::with_limits(&entries, SOCKETS, MEMORY_MB);
        let mut crowd: Vec<Client> = (0..CROWD).map(|number| behaviour.start(&fixture, number)).collect();
        let stop = AtomicBool::new(false);
        let latency = thread::scope(|scope| {
            scope.spawn(|| {
                while behaviour == CrowdBehaviour::WritesSlowly && !stop.load(Ordering::SeqCst) {
                    crowd.retain_mut(|client| client.try_send("x"));
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
            let latency = longest_latency(&fixture);
            stop.store(true, Ordering::SeqCst);
            latency
        });
        let memory = fixture.memory_mb();
        eprintln!("{behaviour:?}: {memory} MB, others up to {latency:?}");
        assert!(memory < MEMORY_MB as u64, "{behaviour:?}: {memory} MB");
        assert!(latency.time < MAX_LATENCY, "{behaviour:?}: another client waited {latency:?}");
    }
}
