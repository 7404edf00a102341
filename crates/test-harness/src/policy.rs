//! A fleet with one policy: what its doors say, and clients that see by which version each request was decided.
//!
//! Two policies take turns: the class `read` of one is called `scan` by the other. So an odd version serves `read` and knows no
//! `scan`, and an even one the other way round.

use crate::client::{call_admin, send_to_admin, Client};
use crate::fleet::Fleet;
use crate::script::Script;
use pinetrail_history_checker::{check_policies, PolicyDecision};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

static ASKED: AtomicU64 = AtomicU64::new(0);

/// The settings of a version.
pub fn settings(fleet: &Fleet, version: u64) -> Value {
    let mut settings = fleet.config(0, &[])["settings"].clone();
    if version.is_multiple_of(2) {
        settings["Grades"][0]["Name"] = json!("scan");
    }
    settings
}

/// What a door answers to a proposal.
pub fn propose(door: SocketAddr, id: &str, after: u64, settings: &Value) -> (u16, Value) {
    let body = json!({"id": id, "after": after, "settings": settings}).to_string();
    let words = format!(
        "POST /control/policy HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (status, text) = send_to_admin(door, &words);
    (status, serde_json::from_str(&text).unwrap_or(Value::Null))
}

/// What a door says of the policy, or of a change.
pub fn ask(door: SocketAddr, path: &str) -> Value {
    serde_json::from_str(&call_admin(door, "GET", path).1).unwrap_or(Value::Null)
}

/// The version in force at a member, and its state.
pub fn standing(fleet: &Fleet, member: usize) -> (u64, String) {
    let said = ask(fleet.process(member).admin_address, "/control/policy");
    (said["version"].as_u64().unwrap_or(0), said["state"].as_str().unwrap_or_default().to_owned())
}

/// How a change ended, by what a member says; empty while it is open or not known.
pub fn outcome(fleet: &Fleet, member: usize, id: &str) -> String {
    let said = ask(fleet.process(member).admin_address, &format!("/control/policy/changes/{id}"));
    let outcome = said["outcome"].as_str().unwrap_or_default();
    if outcome == "open" {
        String::new()
    } else {
        outcome.to_owned()
    }
}

/// Clients that ask members all the time, and remember what they were answered.
pub struct PolicyClients {
    seen: Arc<Mutex<Vec<PolicyDecision>>>,
    refused: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl PolicyClients {
    /// Two clients for each of these places.
    pub fn of(places: &[(String, SocketAddr)]) -> PolicyClients {
        let (seen, refused, over) = (Arc::default(), Arc::default(), Arc::default());
        let mut watch = PolicyClients { seen, refused, over, threads: Vec::new() };
        for (name, place) in places.iter().flat_map(|place| [place, place]) {
            let (name, place) = (name.clone(), *place);
            let (seen, refused, over) =
                (Arc::clone(&watch.seen), Arc::clone(&watch.refused), Arc::clone(&watch.over));
            watch.threads.push(thread::spawn(move || {
                let mut client = None;
                while !over.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_millis(2));
                    if client.is_none() {
                        client = Client::try_connect(place);
                    }
                    let Some(asking) = client.as_mut() else { continue };
                    match ask_once(asking, &name) {
                        Some(Some(decided)) => seen.lock().unwrap().push(decided),
                        Some(None) => drop(refused.fetch_add(1, Ordering::AcqRel)),
                        None => client = None,
                    }
                }
            }));
        }
        watch
    }

    /// Clients of all members that run.
    pub fn all(fleet: &Fleet) -> PolicyClients {
        let running = (0..fleet.options.members).filter(|member| fleet.runs(*member));
        let places: Vec<_> =
            running.map(|member| (Fleet::name(member), fleet.process(member).client_address)).collect();
        PolicyClients::of(&places)
    }

    /// How many requests were refused so far.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Acquire)
    }

    /// The last request of a proxy that was decided by a version: whether there was one since a time.
    pub fn decided_since(&self, proxy: &str, version: u64, since: f64) -> bool {
        let seen = self.seen.lock().unwrap();
        seen.iter().any(|one| one.proxy == proxy && one.version == version && one.sent > since)
    }

    /// Ends them; what they saw.
    pub fn ended(mut self) -> Vec<PolicyDecision> {
        self.over.store(true, Ordering::Release);
        self.threads.drain(..).for_each(|thread| thread.join().expect("a client does not panic"));
        std::mem::take(&mut *self.seen.lock().unwrap())
    }

    /// Ends them, and judges what they saw: all of it, and how many requests each version decided.
    pub fn judged(self) -> Vec<(u64, usize)> {
        let seen = self.ended();
        let breaches = check_policies(&seen, 0.0).expect("something was decided");
        assert!(breaches.is_empty(), "{} breaches; the first: {}", breaches.len(), breaches[0]);
        let count = |version| seen.iter().filter(|one| one.version == version).count();
        [1, 2, 3].map(|version| (version, count(version))).to_vec()
    }
}

impl Drop for PolicyClients {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

/// A time of the clock that all clients read, in ms.
pub fn now() -> f64 {
    static BEGUN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    BEGUN.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

/// Asks once; none if the connection is over, none within if it was refused. Versions are told apart by being odd or even: the first
/// two are what a history holds.
fn ask_once(client: &mut Client, proxy: &str) -> Option<Option<PolicyDecision>> {
    let number = ASKED.fetch_add(1, Ordering::AcqRel);
    let class = if number.is_multiple_of(2) { "read" } else { "scan" };
    let sent = now();
    if !client.try_send(&format!("mg k{} v Op{number} Pc={class},t=acme,d=3000\r\n", number % 8)) {
        return None;
    }
    let line = client.read_line();
    if line.starts_with("VA ") {
        client.read_line();
    }
    let answered = now();
    let served = line.starts_with("VA ");
    if line.is_empty() {
        return None;
    }
    if !served && !line.starts_with("CLIENT_ERROR") {
        return Some(None);
    }
    let version = if served == (class == "read") { 1 } else { 2 };
    Some(Some(PolicyDecision { sent, answered, version, proxy: proxy.to_owned() }))
}

/// What real processes showed under the faults of a seed.
#[derive(Clone, Debug)]
pub struct PolicyRun {
    /// The seed.
    pub seed: u64,
    /// How many pairs of requests show that there was no one moment.
    pub breaches: usize,
    /// For how long two versions decided requests, in ms.
    pub overlap_ms: f64,
    /// Requests that were decided, and refused for want of a permit.
    pub decided: usize,
    /// Those refused.
    pub refused: u64,
    /// The version that all have in the end.
    pub version: u64,
}

fn played(seed: u64, watch: PolicyClients, version: u64) -> PolicyRun {
    let refused = watch.refused();
    let seen = watch.ended();
    let breaches = check_policies(&seen, 0.0).map_or(usize::MAX, |breaches| breaches.len());
    let first = seen.iter().filter(|one| one.version == 2).map(|one| one.answered).fold(f64::MAX, f64::min);
    let last = seen.iter().filter(|one| one.version == 1).map(|one| one.sent).fold(0.0, f64::max);
    PolicyRun { seed, breaches, overlap_ms: (last - first).max(0.0), decided: seen.len(), refused, version }
}

/// A change is proposed while faults of a seed happen to a fleet that has one policy; then all must agree.
pub fn play_seed(mut fleet: Fleet, seed: u64) -> PolicyRun {
    let members = fleet.options.members;
    let all: Vec<usize> = (0..members).collect();
    let agree = |fleet: &Fleet| {
        let first = standing(fleet, 0);
        first.1 == "steady" && all.iter().all(|member| standing(fleet, *member) == first)
    };
    fleet.wait_until("all have the first version", agree);
    let watch = PolicyClients::all(&fleet);
    let script = Script::from_seed(seed, members, 4, 4800);
    let at = Duration::from_millis(200 + seed * 379 % 4000);
    let doors: Vec<SocketAddr> = all.iter().map(|member| fleet.process(*member).admin_address).collect();
    let (door, next) = (doors[seed as usize % members], settings(&fleet, 2));
    let proposing = thread::spawn(move || {
        thread::sleep(at);
        // The door may be gone just then.
        let _ = std::panic::catch_unwind(|| propose(door, "x", 1, &next));
    });
    fleet.play(&script);
    proposing.join().expect("it was caught");
    fleet.wait_until("all agree", agree);
    let version = standing(&fleet, 0).0;
    played(seed, watch, version)
}

/// The same change by SIGHUP at each proxy in turn, in a fleet without a common policy.
pub fn play_hangups(mut fleet: Fleet, between: Duration) -> PolicyRun {
    let watch = PolicyClients::all(&fleet);
    thread::sleep(Duration::from_millis(200));
    let next = settings(&fleet, 2);
    for member in 0..fleet.options.members {
        let mut config = fleet.config(member, &fleet.options.peers);
        config["settings"]["Grades"] = next["Grades"].clone();
        fleet.set_config(member, &config);
        fleet.process(member).signal("HUP");
        thread::sleep(between);
    }
    thread::sleep(Duration::from_millis(200));
    played(0, watch, 0)
}
