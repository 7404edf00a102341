//! The fault of an upgrade: a second process takes over from a proxy that is held up, while other
//! clients send the ids of open writes. Read [`TestBed::upgrade`] first.

use super::record::{Change, Record, Stop};
use super::{TestBed, HOLD_UP_DURATION, TERM_TO_KILL, TIME_BETWEEN_HOLD_UPS};
use pinetrail_test_harness::{signal, HoldUp};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time from the start of the second process to the first hold-up of the first one.
const FIRST_HOLD_UP: Duration = Duration::from_millis(30);
/// The key with which other clients send the ids of open writes, so that their attempts are told apart.
pub(super) const REPEATED_KEY: &str = "repeated";
/// The number of clients that send the ids of open writes.
const REPEATING_CLIENTS: usize = 12;
/// The time for which both processes serve before the older one is sent SIGTERM.
const BOTH_SERVE: Duration = Duration::from_millis(500);
/// The longest wait of such a client for a response.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause of such a client while no write is open.
const IDLE_PAUSE: Duration = Duration::from_millis(2);

impl TestBed {
    /// Starts a second process of a proxy, holds the first one up until the second is ready, and ends
    /// the first one as the platform does.
    pub(super) fn upgrade(&mut self, proxy: usize) {
        let address = self.proxies[proxy].client_address;
        let (stop, is_ready) = (AtomicBool::new(false), AtomicBool::new(false));
        let second = thread::scope(|scope| {
            let (stop, record) = (&stop, &*self.record);
            for _ in 0..REPEATING_CLIENTS {
                scope.spawn(move || repeat_open_writes(proxy, address, record, stop));
            }
            let fixture = &self.proxies[proxy];
            let (is_ready, older) = (&is_ready, fixture.hold_up());
            scope.spawn(move || hold_up_until(proxy, older, record, is_ready));
            let second = fixture.start_second_process();
            is_ready.store(true, Ordering::SeqCst);
            thread::sleep(BOTH_SERVE);
            stop.store(true, Ordering::SeqCst);
            second
        });
        let mut older = self.proxies[proxy].replace_process(second);
        self.record.add_change(Change::Terminated(proxy));
        signal(&older, "TERM");
        // Requests that are sent from now on are not late in a drain: the second process takes them.
        self.record.add_change(Change::Started(proxy));
        thread::sleep(TERM_TO_KILL);
        self.record.add_change(Change::Killed(proxy));
        // The older process may have ended on its own.
        let _ = older.kill();
        let _ = older.wait();
        self.record.add_change(Change::Ended(proxy));
    }
}

/// Holds a process up again and again until the other one is ready.
fn hold_up_until(proxy: usize, older: HoldUp, record: &Record, is_ready: &AtomicBool) {
    thread::sleep(FIRST_HOLD_UP);
    while !is_ready.load(Ordering::SeqCst) {
        let began = Instant::now();
        older.hold_up(HOLD_UP_DURATION);
        record.add_stop(Stop { proxy, began, ended: Instant::now() });
        thread::sleep(TIME_BETWEEN_HOLD_UPS);
    }
}

/// Sends the ids of open writes again, each on a connection of its own, until `stop` is set.
fn repeat_open_writes(proxy: usize, address: SocketAddr, record: &Record, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let commands = record.open_writes(proxy);
        if commands.is_empty() {
            thread::sleep(IDLE_PAUSE);
        }
        for command in commands {
            // The proxy may close the connection, and answers with an error.
            let _ = send_and_read(address, &with_repeated_key(&command));
        }
    }
}

/// Returns a write with the key by which it is told apart.
fn with_repeated_key(command: &str) -> String {
    let mut words: Vec<&str> = command.split(' ').collect();
    if let Some(key) = words.get_mut(1) {
        *key = REPEATED_KEY;
    }
    words.join(" ")
}

fn send_and_read(address: SocketAddr, command: &str) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(command.as_bytes())?;
    stream.read(&mut [0; 64])
}
