//! Runs one real proxy as a process, with its own stub of discovery. Read [`ProxyFixture`] first.

use crate::client::Client;
use crate::config::config;
use crate::discovery::{endpoint_list_json, Discovery};
use crate::process::{
    anonymous_memory_kb, signal, spawn_with_config, start_and_find_addresses, wait_for_exit, write_config,
    HoldUp, StartedProcess,
};
use crate::recorder::Recorder;
use crate::stub_server::StubServer;
use crate::{call_admin, WAIT_TIMEOUT};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Output};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of file descriptors of a proxy, unless a test sets it.
const DEFAULT_SOCKETS: usize = 256;
/// Memory limit of a proxy in MB, unless a test sets it.
const DEFAULT_MEMORY_MB: usize = 192;
/// Interval between checks of a condition or of the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running proxy and its stub of discovery. Dropping the fixture kills the process.
pub struct ProxyFixture {
    /// The stub of discovery that the proxy watches.
    pub discovery: Discovery,
    /// The address at which clients connect.
    pub client_address: SocketAddr,
    /// The address of the proxy's admin endpoint.
    pub admin_address: SocketAddr,
    /// The proxy's process; none after its end.
    child: Option<Child>,
    /// The proxy's configuration file.
    config: PathBuf,
    /// The `$TMPDIR` of the proxy.
    temp_dir: PathBuf,
}

impl ProxyFixture {
    /// Starts a proxy whose cached endpoint list has these entries, and waits until the proxy
    /// answers `mn`.
    pub fn new(entries: &[String]) -> ProxyFixture {
        ProxyFixture::with_sockets(entries, DEFAULT_SOCKETS)
    }

    /// Starts a proxy with a limit of file descriptors; see [`ProxyFixture::new`].
    pub fn with_sockets(entries: &[String], sockets: usize) -> ProxyFixture {
        ProxyFixture::with_limits(entries, sockets, DEFAULT_MEMORY_MB)
    }

    /// Starts a proxy with limits of file descriptors and of memory; see [`ProxyFixture::new`].
    pub fn with_limits(entries: &[String], sockets: usize, memory_mb: usize) -> ProxyFixture {
        ProxyFixture::start(entries, sockets, memory_mb, &[])
    }

    /// Starts a proxy after replacing a text in its configuration; see [`ProxyFixture::new`].
    pub fn with_config_change(entries: &[String], from: &str, to: &str) -> ProxyFixture {
        ProxyFixture::with_config_changes(entries, &[(from, to)])
    }

    /// Starts a proxy after replacing several texts in its configuration; see
    /// [`ProxyFixture::new`].
    pub fn with_config_changes(entries: &[String], changes: &[(&str, &str)]) -> ProxyFixture {
        ProxyFixture::start(entries, DEFAULT_SOCKETS, DEFAULT_MEMORY_MB, changes)
    }

    fn start(entries: &[String], sockets: usize, memory_mb: usize, changes: &[(&str, &str)]) -> ProxyFixture {
        let discovery = Discovery::new();
        let mut entries = entries.to_vec();
        // An endpoint list without an origin is invalid, so an unreachable origin is added if the
        // test gives none.
        if !entries.is_empty() && !entries.iter().any(|entry| entry.contains(r#""origin""#)) {
            let unreachable = StubServer::unreachable();
            entries.push(unreachable.entry("o", "origin", "ready"));
        }
        let known = endpoint_list_json(1, true, &entries);
        let config = config("127.0.0.1:0", &discovery.address.to_string(), sockets, &known);
        let limits = format!(r#""admin":"127.0.0.1:0","limits":{{"cores":1.0,"memory_mb":{memory_mb}"#);
        let config = config.replace(r#""limits":{"cores":1.0,"memory_mb":192"#, &limits);
        let config = changes.iter().fold(config, |config, (from, to)| config.replace(from, to));
        Recorder::current().record_active_config(&config);
        let config = write_config(&config);
        let temp_dir = config.with_extension("tmp");
        std::fs::create_dir_all(&temp_dir).unwrap();
        let StartedProcess { child, client_address, admin_address } =
            start_and_find_addresses(&config, &temp_dir);
        let fixture =
            ProxyFixture { discovery, client_address, admin_address, child: Some(child), config, temp_dir };
        assert_eq!(fixture.client().request("mn\r\n"), "MN\r\n");
        fixture
    }

    /// Starts a proxy with these cache nodes, which are named `s-0`, `s-1` and so on, and this
    /// origin.
    pub fn with_backends(nodes: &[&StubServer], origin: &StubServer) -> ProxyFixture {
        let mut entries: Vec<String> =
            nodes.iter().enumerate().map(|(n, node)| node.entry(&format!("s-{n}"), "c6", "ready")).collect();
        entries.push(origin.entry("o", "origin", "ready"));
        ProxyFixture::new(&entries)
    }

    /// Connects a new client.
    pub fn client(&self) -> Client {
        Client::connect(self.client_address)
    }

    /// Reads one of the proxy's counters.
    ///
    /// # Panics
    /// If there is no counter of this name.
    pub fn counter(&self, name: &str) -> u64 {
        let mut client = self.client();
        client.send("stats\r\n");
        let prefix = format!("STAT {name} ");
        let mut found = None;
        loop {
            let line = client.read_line();
            if line == "END\r\n" {
                return found.expect("`stats` has the counter");
            }
            found = line.strip_prefix(&prefix).map(|n| n.trim().parse().unwrap()).or(found);
        }
    }

    /// Waits until a condition holds. The panic's message describes the condition by `what`.
    ///
    /// # Panics
    /// If the condition does not hold within [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds() {
            assert!(Instant::now() < deadline, "timed out after {WAIT_TIMEOUT:?} waiting until {what}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the peak resident memory of the proxy, in MB.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.as_ref().unwrap().id());
        let status = std::fs::read_to_string(path).unwrap();
        let kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
        kb.unwrap().parse::<u64>().unwrap() / 1024
    }

    /// Returns the memory of the proxy that no file backs, in KB.
    pub fn anonymous_memory_kb(&self) -> u64 {
        anonymous_memory_kb(self.child.as_ref().unwrap())
    }

    /// Sends the proxy a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        signal(self.child.as_ref().unwrap(), name);
    }

    /// Returns the means to hold the proxy's process up from another thread.
    pub fn hold_up(&self) -> HoldUp {
        HoldUp::of(self.child.as_ref().unwrap())
    }

    /// Writes the configuration for a second process of this proxy, which listens at the same
    /// address; returns the path.
    fn second_config(&self) -> PathBuf {
        let text = std::fs::read_to_string(&self.config).unwrap();
        write_config(
            &text.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{}""#, self.client_address)),
        )
    }

    /// Starts a second process of this proxy and waits until it is ready; returns the process and
    /// the address of its admin endpoint.
    pub fn start_second_process(&self) -> (Child, SocketAddr) {
        let second = start_and_find_addresses(&self.second_config(), &self.temp_dir);
        assert_eq!(second.client_address, self.client_address);
        let is_ready = || call_admin(second.admin_address, "GET", "/control/ready").0 == 200;
        self.wait_until("the second process is ready", is_ready);
        (second.child, second.admin_address)
    }

    /// Makes `$TMPDIR` of every later process a folder whose path is too long for the address of a
    /// Unix socket.
    pub fn use_long_temp_dir(&mut self) {
        self.temp_dir = self.temp_dir.join("long".repeat(40));
        std::fs::create_dir_all(&self.temp_dir).unwrap();
    }

    /// Kills the proxy and starts it again at the same address for clients.
    pub fn restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// Kills the proxy and waits for its end.
    ///
    /// # Panics
    /// If the process has ended before.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("the process has not ended before");
        child.kill().and_then(|()| child.wait()).unwrap();
    }

    /// Waits until the process, which has been asked to stop, exits; returns whether it exited
    /// within `time`.
    ///
    /// # Panics
    /// If the process has ended before.
    pub fn exits_within(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let child = self.child.as_mut().expect("the process has not ended before");
        while child.try_wait().unwrap().is_none() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.child = None;
        true
    }

    /// Starts the proxy again, after its end, at the same address for clients.
    pub fn start_again(&mut self) {
        let (child, admin) = self.start_second_process();
        self.child = Some(child);
        self.admin_address = admin;
    }

    /// Starts a second process of this proxy after replacing a text in its configuration, without
    /// waiting until the process is ready.
    pub fn start_second_process_with(&self, from: &str, to: &str) -> Child {
        let text = std::fs::read_to_string(self.second_config()).unwrap();
        spawn_with_config(&write_config(&text.replace(from, to)), &self.temp_dir)
    }

    /// Replaces the process of this fixture by a second one; returns the first.
    pub fn replace_process(&mut self, (child, admin): (Child, SocketAddr)) -> Child {
        self.admin_address = admin;
        self.child.replace(child).unwrap()
    }

    /// Replaces a text in the configuration file and makes the proxy reload the file.
    pub fn reload(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
        self.signal("HUP");
    }

    /// Waits until the process, which has been asked to stop, exits; returns its exit status and
    /// output.
    pub fn wait_for_exit(mut self) -> Output {
        wait_for_exit(self.child.take().unwrap())
    }
}

impl Drop for ProxyFixture {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error is ignored: the process may have ended on its own.
            let _ = child.kill().and_then(|()| child.wait());
        }
        let _ = std::fs::remove_dir_all(&self.temp_dir);
    }
}
