//! Several real processes that know each other, a relay on every way between them and from them to what they call.

use crate::client::{call_admin, Client};
use crate::config::config;
use crate::discovery::{catalog, StaticDiscovery};
use crate::fault_proxy::FaultProxies;
use crate::peer_fault_proxy::PeerFaultProxies;
use crate::process::{signal, start_in, written};
use crate::script::{Fault, Script};
use crate::streams::StreamFaultProxy;
use crate::stub_server::StubServer;
use crate::{Timeline, WAIT};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The port of members and relays, each at an address of its own.
const PORT: u16 = 7946;
const LINK_PORT: u16 = 7947;
static FLEETS: AtomicU32 = AtomicU32::new(0);
/// So many fleets at once: more would only wait for the processor, and look slow to each other.
const AT_ONCE: usize = 3;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A permit to run a fleet; given back when it is dropped.
struct Permit;

impl Permit {
    fn take_process() -> Permit {
        let running = RUNNING.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut running = RUNNING
            .1
            .wait_while(running, |running| *running >= AT_ONCE)
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *running += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) -= 1;
        RUNNING.1.notify_all();
    }
}

/// What a member is in the configuration of another.
#[derive(Clone, Debug)]
pub struct Options {
    /// Members.
    pub members: usize,
    /// Whom each is told to ask: the numbers of members.
    pub peers: Vec<usize>,
    /// The most members.
    pub size: usize,
    /// For the faults on the ways.
    pub seed: u64,
    /// Who founds; they share only if there are any.
    pub founders: Vec<usize>,
    /// Calls in flight of all together at one node, if they share.
    pub node_calls: Option<usize>,
    /// Whether they have one policy.
    pub policy: bool,
}

impl Options {
    /// So many members that are told of all.
    pub fn of(members: usize) -> Options {
        let (founders, node_calls) = (Vec::new(), None);
        let policy = false;
        Options { members, peers: (0..members).collect(), size: 16, seed: 1, founders, node_calls, policy }
    }
}

/// What a member says of its fleet at its door.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The whole of it.
    pub json: Value,
    /// On which side it is.
    pub side: String,
    /// State and address by name.
    pub members: BTreeMap<String, (String, String)>,
}

impl Report {
    /// The names of those in a state.
    pub fn names(&self, state: &str) -> Vec<&str> {
        self.members.iter().filter(|(_, (is, _))| is == state).map(|(name, _)| &**name).collect()
    }
}

/// One process of a member.
pub struct Process {
    child: Child,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where operators call.
    pub admin_address: SocketAddr,
    ended: bool,
}

impl Process {
    /// Waits for its end by itself.
    pub fn end(mut self) -> ExitStatus {
        let until = Instant::now() + WAIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                self.ended = true;
                return status;
            }
            assert!(Instant::now() < until, "the program does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            // It may have ended by itself. A stopped one is ended as well.
            let _ = self.child.kill().and_then(|()| self.child.wait());
        }
    }
}

/// A process that may not be ready yet.
pub struct StartingProcess {
    child: Option<Child>,
    lines: Receiver<String>,
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}

/// The fleet.
pub struct Fleet {
    /// Its options.
    pub options: Options,
    base: [u8; 2],
    processes: Vec<Option<Process>>,
    places: Vec<Option<SocketAddr>>,
    configs: Vec<PathBuf>,
    /// The relays between the members.
    pub datagram_faults: FaultProxies,
    /// The relays of their links.
    pub peer_faults: PeerFaultProxies,
    /// The relays from each member to each cache node, the origin and discovery, in this order.
    pub streams: Vec<Vec<StreamFaultProxy>>,
    /// The cache nodes.
    pub nodes: Vec<StubServer>,
    /// The origin.
    pub origin: StubServer,
    /// Discovery.
    pub discovery: StaticDiscovery,
    /// What happened.
    pub timeline: Timeline,
    tmp: PathBuf,
    _permit: Permit,
}

impl Fleet {
    /// A fleet of which nothing runs yet.
    pub fn new(options: Options, nodes: Vec<StubServer>, origin: StubServer) -> Fleet {
        let permit = Permit::take_process();
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        // Addresses that no other run has: ports of one address could be taken between a death and a restart.
        let mixed = std::process::id().wrapping_mul(97).wrapping_add(number);
        let base = [(mixed >> 8) as u8 | 0x40, mixed as u8];
        let at = |last: usize| SocketAddr::from(([127, base[0], base[1], last as u8], PORT));
        let (hubs, real): (Vec<_>, Vec<_>) = (0..options.members).map(|n| (at(101 + n), at(1 + n))).unzip();
        let relays = FaultProxies::new(&hubs, &real, options.seed);
        let on_links = |all: &[SocketAddr]| -> Vec<SocketAddr> {
            all.iter().map(|place| SocketAddr::new(place.ip(), LINK_PORT)).collect()
        };
        let linked = if options.policy { (on_links(&hubs), on_links(&real)) } else { Default::default() };
        let links = PeerFaultProxies::new(&linked.0, &linked.1, &relays.look());
        let entry = |n: usize, party: &StubServer| party.entry(&format!("s-{n}"), "c6", "ready");
        let mut entries: Vec<String> = nodes.iter().enumerate().map(|(n, party)| entry(n, party)).collect();
        entries.push(origin.entry("o", "origin", "ready"));
        let discovery = StaticDiscovery::new(catalog(1, true, &entries));
        let targets: Vec<SocketAddr> =
            nodes.iter().chain([&origin]).map(|party| party.address).chain([discovery.address]).collect();
        let streams = (0..options.members)
            .map(|_| targets.iter().map(|to| StreamFaultProxy::to(*to)).collect())
            .collect();
        let tmp = std::env::temp_dir().join(format!("pinetrail-fleet-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&tmp).unwrap();
        let members = options.members;
        let mut fleet = Fleet {
            options,
            base,
            processes: (0..members).map(|_| None).collect(),
            places: vec![None; members],
            configs: Vec::new(),
            datagram_faults: relays,
            peer_faults: links,
            streams,
            nodes,
            origin,
            discovery,
            timeline: Timeline::new(),
            tmp,
            _permit: permit,
        };
        fleet.configs = (0..members).map(|n| fleet.written(n, &fleet.options.peers)).collect();
        fleet
    }

    /// A fleet whose members all run, with these cache nodes.
    pub fn start_all(options: Options, nodes: Vec<StubServer>, origin: StubServer) -> Fleet {
        let mut fleet = Fleet::new(options, nodes, origin);
        let all: Vec<usize> = (0..fleet.options.members).collect();
        if fleet.options.policy {
            fleet.start_together(&all)
        } else {
            for member in all {
                fleet.start(member);
            }
        }
        fleet
    }

    /// The name of a member.
    pub fn name(member: usize) -> String {
        format!("n{member}")
    }

    /// Where others reach a member: its relay.
    pub fn advertised_address(&self, member: usize) -> SocketAddr {
        SocketAddr::from(([127, self.base[0], self.base[1], (101 + member) as u8], PORT))
    }

    /// Where a member's own socket is.
    pub fn member_address(&self, member: usize) -> SocketAddr {
        SocketAddr::from(([127, self.base[0], self.base[1], (1 + member) as u8], PORT))
    }

    /// The configuration of a member that asks these.
    pub fn config(&self, member: usize, peers: &[usize]) -> Value {
        let relayed = |party: &StubServer, name: &str, kind: &str, nth: usize| {
            let entry = party.entry(name, kind, "ready");
            entry.replace(&party.address.to_string(), &self.streams[member][nth].address.to_string())
        };
        let nodes = self.nodes.iter().enumerate();
        let mut entries: Vec<String> =
            nodes.map(|(n, party)| relayed(party, &format!("s-{n}"), "c6", n)).collect();
        entries.push(relayed(&self.origin, "o", "origin", self.nodes.len()));
        let discovery = self.streams[member][self.nodes.len() + 1].address.to_string();
        let text = config("127.0.0.1:0", &discovery, 256, &catalog(1, true, &entries));
        let mut config: Value = serde_json::from_str(&text).unwrap();
        // Danger: who dials a free port of the address that it dials from may reach itself, and has the port then.
        let free = SocketAddr::new(self.member_address(member).ip(), 0);
        let listen = self.places[member].unwrap_or(free).to_string();
        let peers: Vec<String> = peers
            .iter()
            .filter(|peer| **peer != member)
            .map(|peer| self.advertised_address(*peer).to_string())
            .collect();
        config["name"] = json!(Fleet::name(member));
        config["listen"] = json!(listen);
        config["admin"] = json!("127.0.0.1:0");
        config["seed"] = json!(format!("{:x}", member + 1));
        config["settings"]["GroupSize"] = json!(self.options.members);
        config["settings"]["MyNumber"] = json!(member);
        config["fleet"] = json!({
            "name": "gdynia",
            "bind": self.member_address(member).to_string(),
            "advertise": self.advertised_address(member).to_string(),
            "peers": peers,
            "size": self.options.size,
        });
        if !self.options.founders.is_empty() {
            let founders =
                self.options.founders.iter().map(|founder| self.advertised_address(*founder).to_string());
            let fleet = &mut config["fleet"];
            fleet["founders"] = founders.collect();
            // Shorter than usual, so that tests need not wait long.
            for (field, ms) in [("ask_ms", 200), ("vote_ms", 900), ("lease_ms", 2000), ("call_ms", 1000)] {
                fleet[field] = json!(ms);
            }
            if let Some(calls) = self.options.node_calls {
                fleet["node_calls"] = json!(calls);
            }
            if self.options.policy {
                fleet["policy"] = json!({
                    "bind": SocketAddr::new(self.member_address(member).ip(), LINK_PORT).to_string(),
                    "advertise": SocketAddr::new(self.advertised_address(member).ip(), LINK_PORT).to_string(),
                    "state_dir": self.state_dir(member),
                    "permit_ms": 1000, "renew_ms": 250, "ready_ms": 1500, "change_ms": 8000,
                });
            }
        }
        config
    }

    /// Where a member that founds keeps what it votes for.
    pub fn state_dir(&self, member: usize) -> PathBuf {
        self.tmp.join(format!("state-{member}"))
    }

    fn written(&self, member: usize, peers: &[usize]) -> PathBuf {
        written(&self.config(member, peers).to_string())
    }

    /// Replaces the configuration of a member by this one; what runs hears of it by SIGHUP only.
    pub fn set_config(&mut self, member: usize, config: &Value) {
        std::fs::write(&self.configs[member], config.to_string()).unwrap();
    }

    /// Starts a member, at the address for clients that it had before, if any.
    pub fn start(&mut self, member: usize) {
        self.timeline.note("rig", &format!("start {member}"));
        let process = self.launch(member);
        self.places[member] = Some(process.client_address);
        // The next process of it is to be found where this one is.
        let text = std::fs::read_to_string(&self.configs[member]).unwrap();
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["listen"] = json!(process.client_address.to_string());
        self.set_config(member, &config);
        self.processes[member] = Some(process);
    }

    /// Starts members that are not ready before the others run.
    pub fn start_together(&mut self, members: &[usize]) {
        let begun: Vec<(usize, StartingProcess)> =
            members.iter().map(|member| (*member, self.start_process(*member))).collect();
        for (member, begun) in begun {
            self.timeline.note("rig", &format!("start {member}"));
            let process = self.wait_until_ready(member, begun);
            self.places[member] = Some(process.client_address);
            self.processes[member] = Some(process);
            let text = std::fs::read_to_string(&self.configs[member]).unwrap();
            let mut config: Value = serde_json::from_str(&text).unwrap();
            config["listen"] = json!(self.places[member].map(|place| place.to_string()));
            self.set_config(member, &config);
        }
    }

    /// Starts a process of a member, which need not get ready; it is given what it says.
    pub fn start_process(&self, member: usize) -> StartingProcess {
        let mut child = start_in(&self.configs[member], &self.tmp);
        let lines = self.follow(&mut child, member);
        StartingProcess { child: Some(child), lines }
    }

    /// Starts a process on the configuration of a member; it is ready when this returns.
    fn launch(&self, member: usize) -> Process {
        let begun = self.start_process(member);
        self.wait_until_ready(member, begun)
    }

    /// Waits until a process is ready.
    pub fn wait_until_ready(&self, member: usize, mut begun: StartingProcess) -> Process {
        let child = begun.child.take().expect("it is waited for once");
        let lines = &begun.lines;
        let mut process = Process {
            child,
            client_address: self.advertised_address(member),
            admin_address: self.advertised_address(member),
            ended: false,
        };
        let (mut door, mut place) = (None, None);
        while door.is_none() || place.is_none() {
            let line = lines.recv_timeout(WAIT).expect("the proxy says where it listens");
            let at = |words: &str| line.split_once(words).and_then(|(_, at)| at.parse().ok());
            door = door.or(at(" call "));
            place = place.or(at(" listens on "));
        }
        (process.admin_address, process.client_address) =
            (door.unwrap_or(process.admin_address), place.unwrap_or(process.client_address));
        let until = Instant::now() + WAIT;
        while call_admin(process.admin_address, "GET", "/control/ready").0 != 200 {
            assert!(Instant::now() < until, "member {member} is not ready");
            thread::sleep(Duration::from_millis(5));
        }
        process
    }

    /// Puts what a process says into the timeline, and hands it on.
    fn follow(&self, child: &mut Child, member: usize) -> Receiver<String> {
        let log = BufReader::new(child.stderr.take().unwrap());
        let (say, said) = channel();
        let (timeline, name) = (self.timeline.clone(), Fleet::name(member));
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                timeline.note(&name, line.trim_start_matches("pinetrail: "));
                // Only the first lines are waited for.
                let _ = say.send(line);
            }
        });
        // What it prints is read as well: a full pipe must not stop it.
        let printed = BufReader::new(child.stdout.take().unwrap());
        thread::spawn(move || printed.lines().map_while(Result::ok).for_each(drop));
        said
    }

    /// Kills a member.
    pub fn kill(&mut self, member: usize) {
        self.timeline.note("rig", &format!("kill {member}"));
        self.processes[member] = None;
    }

    /// Takes the process of a member out of the fleet's hands.
    pub fn take_process(&mut self, member: usize) -> Process {
        self.processes[member].take().expect("it runs")
    }

    /// Starts a second process of a member beside the first; it is ready when this returns.
    pub fn start_second_process(&self, member: usize) -> Process {
        self.timeline.note("rig", &format!("second process of {member}"));
        self.launch(member)
    }

    /// Puts a process in the place of a member's; the one that was there.
    pub fn replace_process(&mut self, member: usize, process: Process) -> Process {
        self.processes[member].replace(process).expect("it runs")
    }

    /// The process of a member.
    pub fn process(&self, member: usize) -> &Process {
        self.processes[member].as_ref().expect("it runs")
    }

    /// Whether a member runs.
    pub fn runs(&self, member: usize) -> bool {
        self.processes[member].is_some()
    }

    /// A connection of a client to a member.
    pub fn client(&self, member: usize) -> Client {
        Client::connect(self.process(member).client_address)
    }

    /// What a member says of its fleet; none if it says nothing.
    pub fn report(&self, member: usize) -> Option<Report> {
        let (status, text) = call_admin(self.process(member).admin_address, "GET", "/control/fleet");
        if status != 200 {
            return None;
        }
        let json: Value = serde_json::from_str(&text).expect("the door says JSON");
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let member = |entry: &Value| (text(&entry["name"]), (text(&entry["state"]), text(&entry["address"])));
        let members = json["members"].as_array().into_iter().flatten().map(member).collect();
        Some(Report { side: text(&json["side"]), members, json })
    }

    /// Whether each of these knows that all of these are alive, and nobody else.
    pub fn all_agree(&self, members: &[usize]) -> bool {
        let names: Vec<String> = members.iter().map(|member| Fleet::name(*member)).collect();
        members.iter().all(|member| {
            self.report(*member)
                .is_some_and(|report| report.names("alive") == names && report.names("suspect").is_empty())
        })
    }

    /// Waits until something holds.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let until = Instant::now() + WAIT * 2;
        while !holds(self) {
            assert!(Instant::now() < until, "in vain: {what}\n{}", self.timeline);
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Does what a fault says.
    pub fn inject(&mut self, fault: &Fault) {
        self.timeline.note("rig", &fault.to_string());
        match fault {
            Fault::Kill(member) => self.kill(*member),
            Fault::Start(member) if !self.runs(*member) => self.start(*member),
            Fault::Start(_) => {}
            Fault::Stop(member) if self.runs(*member) => self.process(*member).signal("STOP"),
            Fault::GoOn(member) if self.runs(*member) => self.process(*member).signal("CONT"),
            Fault::Stop(_) | Fault::GoOn(_) => {}
            Fault::Upgrade(member) => {
                let second = self.start_second_process(*member);
                let first = self.replace_process(*member, second);
                first.signal("TERM");
                first.end();
            }
            Fault::Cut(from, to) => self.datagram_faults.path(*from, *to, |way| way.partitioned = true),
            Fault::Sides(sides) => self.cut_into(&sides.iter().map(|side| &side[..]).collect::<Vec<_>>()),
            Fault::Heal => self.datagram_faults.all(|way| way.partitioned = false),
            Fault::Loss(percent) => self.datagram_faults.all(|way| way.loss = f64::from(*percent) / 100.0),
            Fault::Node(node, up) => {
                for member in 0..self.options.members {
                    self.streams[member][*node].cut(!up);
                    self.streams[member][*node].reset();
                }
            }
        }
    }

    /// Nothing passes between members of different sides.
    pub fn cut_into(&self, sides: &[&[usize]]) {
        for (at, side) in sides.iter().enumerate() {
            for (_, other) in sides.iter().enumerate().filter(|(other, _)| *other != at) {
                let ways = side.iter().flat_map(|from| other.iter().map(move |to| (*from, *to)));
                ways.for_each(|(from, to)| self.datagram_faults.path(from, to, |way| way.partitioned = true));
            }
        }
    }

    /// Plays a script, in its own time.
    pub fn play(&mut self, script: &Script) {
        let begun = Instant::now();
        for (at, fault) in &script.0 {
            thread::sleep(Duration::from_millis(*at).saturating_sub(begun.elapsed()));
            self.inject(fault);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the timeline:\n{}", self.timeline);
        }
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.tmp);
        self.configs.iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}
