//! Clients that keep sending requests to members and record which policy version decided each of
//! them: [`PolicyClients`].

use crate::client::Client;
use crate::fleet::Fleet;
use pinetrail_history_checker::{check_policies, PolicyDecision};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of clients of each member.
const CLIENTS_PER_MEMBER: usize = 2;
/// Pause before each request of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// Counter that numbers the requests of one test program.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Returns the time in ms on the clock that all clients use, which starts at the first call.
pub fn now_ms() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

/// The state that the clients share.
#[derive(Default)]
struct Shared {
    /// Guards the requests that were decided by a version.
    decisions: Mutex<Vec<PolicyDecision>>,
    rejected: AtomicU64,
    stop: AtomicBool,
}

/// Clients that send requests until this value is stopped or dropped.
pub struct PolicyClients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl PolicyClients {
    /// Starts clients for every member that runs.
    pub fn start(fleet: &Fleet) -> PolicyClients {
        let running = (0..fleet.options.members).filter(|member| fleet.is_running(*member));
        let members: Vec<(String, SocketAddr)> =
            running.map(|member| (Fleet::name(member), fleet.process(member).client_address)).collect();
        PolicyClients::start_at(&members)
    }

    /// Starts clients for the members with these names and addresses.
    pub fn start_at(members: &[(String, SocketAddr)]) -> PolicyClients {
        let mut clients = PolicyClients { shared: Arc::default(), threads: Vec::new() };
        for (name, address) in members {
            for _ in 0..CLIENTS_PER_MEMBER {
                let shared = Arc::clone(&clients.shared);
                let name = name.clone();
                let address = *address;
                clients.threads.push(thread::spawn(move || shared.send_requests(&name, address)));
            }
        }
        clients
    }

    /// Returns the number of requests that have been rejected so far.
    pub fn rejected(&self) -> u64 {
        self.shared.rejected.load(Ordering::Acquire)
    }

    /// Returns whether a version has decided a request to this proxy that was sent after
    /// `since_ms`, a time of [`now_ms`].
    ///
    /// # Panics
    /// If a client has panicked.
    pub fn decided_since(&self, proxy: &str, version: u64, since_ms: f64) -> bool {
        let decisions = self.shared.decisions.lock().unwrap();
        let mut of_proxy = decisions.iter().filter(|decision| decision.proxy == proxy);
        of_proxy.any(|decision| decision.version == version && decision.sent > since_ms)
    }

    /// Stops the clients; returns the requests that were decided by a version.
    ///
    /// # Panics
    /// If a client has panicked.
    pub fn stop(mut self) -> Vec<PolicyDecision> {
        self.shared.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            thread.join().expect("a client does not panic");
        }
        std::mem::take(&mut *self.shared.decisions.lock().unwrap())
    }

    /// Stops the clients and checks that no two versions were active at the same time. Returns the
    /// versions 1 to 3, each with the number of requests that it decided.
    ///
    /// # Panics
    /// If two versions were active at the same time, or no request was decided by a version.
    pub fn check(self) -> Vec<(u64, usize)> {
        let decisions = self.stop();
        let violations = check_policies(&decisions, 0.0).expect("at least one request was decided");
        assert!(
            violations.is_empty(),
            "{} violations of the policy rule, the first: {}",
            violations.len(),
            violations[0]
        );
        let count = |version| decisions.iter().filter(|decision| decision.version == version).count();
        [1, 2, 3].map(|version| (version, count(version))).to_vec()
    }
}

impl Drop for PolicyClients {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Release);
    }
}

impl Shared {
    /// Runs one client: sends requests until the clients are stopped, and connects again after its
    /// connection has ended.
    fn send_requests(&self, proxy: &str, address: SocketAddr) {
        let mut connection = None;
        while !self.stop.load(Ordering::Acquire) {
            thread::sleep(REQUEST_INTERVAL);
            if connection.is_none() {
                connection = Client::try_connect(address);
            }
            let Some(client) = connection.as_mut() else { continue };
            match send_request(client, proxy) {
                RequestResult::Decided(decision) => self.decisions.lock().unwrap().push(decision),
                RequestResult::Rejected => {
                    self.rejected.fetch_add(1, Ordering::AcqRel);
                }
                RequestResult::Disconnected => connection = None,
            }
        }
    }
}

/// The result of one request.
enum RequestResult {
    /// A policy version decided the request.
    Decided(PolicyDecision),
    /// The request was rejected or failed, so that no version can be told from its response.
    Rejected,
    /// The connection ended before the response.
    Disconnected,
}

/// Sends one request and waits for its response. The response shows only whether the version was
/// odd or even, so the versions of a run are taken to be 1 and 2.
fn send_request(client: &mut Client, proxy: &str) -> RequestResult {
    let number = REQUESTS.fetch_add(1, Ordering::AcqRel);
    let class = if number.is_multiple_of(2) { "read" } else { "scan" };
    let sent = now_ms();
    if !client.try_send(&format!("mg k{} v Op{number} Pc={class},t=acme,d=3000\r\n", number % 8)) {
        return RequestResult::Disconnected;
    }
    let line = client.read_line();
    let is_served = line.starts_with("VA ");
    if is_served {
        client.read_line();
    }
    let answered = now_ms();
    if line.is_empty() {
        return RequestResult::Disconnected;
    }
    if !is_served && !line.starts_with("CLIENT_ERROR") {
        return RequestResult::Rejected;
    }
    let version = if is_served == (class == "read") { 1 } else { 2 };
    RequestResult::Decided(PolicyDecision { sent, answered, version, proxy: proxy.to_owned() })
}
