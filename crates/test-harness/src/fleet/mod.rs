//! Several real proxies that form a fleet, with a fault-injecting proxy on every path between them
//! and from each of them to the servers that it calls. Read [`Fleet`] first, which owns the
//! processes, the fault proxies and the servers; [`Options`] sets their number and configuration.

mod config;
mod faults;
mod launch;
mod options;
mod process;
mod report;
mod slot;

pub use options::Options;
pub use process::{Process, StartingProcess};
pub use report::{Report, ReportedMember};

use crate::client::{call_admin, Client};
use crate::discovery::{endpoint_list_json, StaticDiscovery};
use crate::fault_proxy::{DatagramFaultProxies, PeerFaultProxies, StreamFaultProxy};
use crate::run_folder::run_folder;
use crate::stub_server::StubServer;
use crate::{Timeline, WAIT_TIMEOUT};
use slot::FleetSlot;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// UDP port of the members and of the fault proxies between them, which differ in their addresses.
const MEMBER_PORT: u16 = 7946;
/// TCP port of the members and of the fault proxies between them, for the peer transport.
const PEER_PORT: u16 = 7947;
/// Last byte of the address of member 0; greater by n for member n.
const MEMBER_ADDRESS_BASE: usize = 1;
/// Last byte of the address of the fault proxy in front of member 0; greater by n for member n.
const FAULT_PROXY_ADDRESS_BASE: usize = 101;
/// Interval between checks of the condition of [`Fleet::wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Counter that numbers the fleets of one test program.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A fleet of real processes. Dropping the fleet kills all its processes.
pub struct Fleet {
    /// The options of the fleet.
    pub options: Options,
    /// The second and third byte of the members' addresses.
    network: [u8; 2],
    /// The process of each member that runs.
    processes: Vec<Option<Process>>,
    /// The address for clients of each member; unset before its first start.
    client_addresses: Vec<Option<SocketAddr>>,
    /// The configuration file of each member.
    configs: Vec<PathBuf>,
    /// The fault proxies for datagrams between members.
    pub datagram_faults: DatagramFaultProxies,
    /// The fault proxies for the connections of the peer transport between members.
    pub peer_faults: PeerFaultProxies,
    /// The fault proxies from each member to each cache node, the origin and discovery, in this
    /// order.
    pub server_faults: Vec<Vec<StreamFaultProxy>>,
    /// The stubs of the cache nodes.
    pub nodes: Vec<StubServer>,
    /// The stub of the origin.
    pub origin: StubServer,
    /// The stub of discovery.
    pub discovery: StaticDiscovery,
    /// The log lines of the members and the actions of the harness, with their times.
    pub timeline: Timeline,
    temp_dir: PathBuf,
    _slot: FleetSlot,
}

impl Fleet {
    /// Creates a fleet with its servers and fault proxies, without starting a member.
    ///
    /// # Panics
    /// If a file cannot be written or a fault proxy cannot listen.
    pub fn new(options: Options, nodes: Vec<StubServer>, origin: StubServer) -> Fleet {
        let slot = FleetSlot::acquire();
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        // Each run uses its own addresses: on a shared address another process could take a port
        // between a member's crash and its restart.
        let mixed = std::process::id().wrapping_mul(97).wrapping_add(number);
        let network = [(mixed >> 8) as u8 | 0x40, mixed as u8];
        let members = options.members;
        let advertised: Vec<_> =
            (0..members).map(|n| address(network, FAULT_PROXY_ADDRESS_BASE + n)).collect();
        let member_addresses: Vec<_> =
            (0..members).map(|n| address(network, MEMBER_ADDRESS_BASE + n)).collect();
        let datagram_faults = DatagramFaultProxies::new(&advertised, &member_addresses, options.seed);
        let peer_faults = if options.policy {
            PeerFaultProxies::new(
                &on_peer_port(&advertised),
                &on_peer_port(&member_addresses),
                &datagram_faults.path_view(),
            )
        } else {
            PeerFaultProxies::new(&[], &[], &datagram_faults.path_view())
        };
        let discovery = StaticDiscovery::new(endpoint_list_json(1, true, &endpoint_entries(&nodes, &origin)));
        let servers = nodes.iter().chain([&origin]).map(|server| server.address);
        let targets: Vec<SocketAddr> = servers.chain([discovery.address]).collect();
        let proxies_of_member = || targets.iter().map(|to| StreamFaultProxy::start(*to)).collect();
        let server_faults = (0..members).map(|_| proxies_of_member()).collect();
        let temp_dir = run_folder().join(format!("fleet-{number}"));
        std::fs::create_dir_all(&temp_dir).expect("the folder for temporary files can be created");
        let mut fleet = Fleet {
            options,
            network,
            processes: (0..members).map(|_| None).collect(),
            client_addresses: vec![None; members],
            configs: Vec::new(),
            datagram_faults,
            peer_faults,
            server_faults,
            nodes,
            origin,
            discovery,
            timeline: Timeline::new(),
            temp_dir,
            _slot: slot,
        };
        fleet.configs = (0..members).map(|n| fleet.write_config(n, &fleet.options.peers)).collect();
        fleet
    }

    /// Creates a fleet with these cache nodes and this origin, and starts all its members.
    pub fn start_all(options: Options, nodes: Vec<StubServer>, origin: StubServer) -> Fleet {
        let mut fleet = Fleet::new(options, nodes, origin);
        let all: Vec<usize> = (0..fleet.options.members).collect();
        if fleet.options.policy {
            fleet.start_together(&all);
        } else {
            for member in all {
                fleet.start(member);
            }
        }
        fleet
    }

    /// Returns the name of a member.
    pub fn name(member: usize) -> String {
        format!("n{member}")
    }

    /// Returns the address at which the other members reach a member: that of its fault proxy.
    pub fn advertised_address(&self, member: usize) -> SocketAddr {
        address(self.network, FAULT_PROXY_ADDRESS_BASE + member)
    }

    /// Returns the address of a member's own socket.
    pub fn member_address(&self, member: usize) -> SocketAddr {
        address(self.network, MEMBER_ADDRESS_BASE + member)
    }

    /// Returns the process of a member.
    ///
    /// # Panics
    /// If the member does not run.
    pub fn process(&self, member: usize) -> &Process {
        self.processes[member].as_ref().expect("the member is running")
    }

    /// Returns whether a member runs.
    pub fn is_running(&self, member: usize) -> bool {
        self.processes[member].is_some()
    }

    /// Connects a new client to a member.
    pub fn client(&self, member: usize) -> Client {
        Client::connect(self.process(member).client_address)
    }

    /// Returns the view of the fleet that a member reports; `None` if the response's status is not
    /// 200.
    ///
    /// # Panics
    /// If the member does not run or the response is not JSON.
    pub fn report(&self, member: usize) -> Option<Report> {
        let (status, text) = call_admin(self.process(member).admin_address, "GET", "/control/fleet");
        if status != 200 {
            return None;
        }
        let json: serde_json::Value = serde_json::from_str(&text).expect("the response is JSON");
        Some(Report::from(json))
    }

    /// Returns whether each of these members reports exactly these members as alive, and none as
    /// suspect.
    pub fn all_agree(&self, members: &[usize]) -> bool {
        let names: Vec<String> = members.iter().map(|member| Fleet::name(*member)).collect();
        members.iter().all(|member| {
            self.report(*member).is_some_and(|report| {
                report.names_in_state("alive") == names && report.names_in_state("suspect").is_empty()
            })
        })
    }

    /// Waits until a condition holds. The panic's message describes the condition by `what`.
    ///
    /// # Panics
    /// If the condition does not hold within twice [`WAIT_TIMEOUT`]; the message has the timeline.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT * 2;
        while !holds(self) {
            assert!(
                Instant::now() < deadline,
                "timed out after twice {WAIT_TIMEOUT:?} waiting until {what}; the timeline:\n{}",
                self.timeline
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Records an action of the harness in the timeline.
    fn record_action(&self, what: &str) {
        self.timeline.record("harness", what);
    }
}

/// Returns an address in the network of a fleet, by its last byte.
fn address(network: [u8; 2], last_byte: usize) -> SocketAddr {
    SocketAddr::from(([127, network[0], network[1], last_byte as u8], MEMBER_PORT))
}

fn on_peer_port(addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    addresses.iter().map(|address| SocketAddr::new(address.ip(), PEER_PORT)).collect()
}

fn endpoint_entries(nodes: &[StubServer], origin: &StubServer) -> Vec<String> {
    let nodes = nodes.iter().enumerate().map(|(n, node)| node.entry(&format!("s-{n}"), "c6", "ready"));
    nodes.chain([origin.entry("o", "origin", "ready")]).collect()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the timeline:\n{}", self.timeline);
        }
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.temp_dir);
        for config in &self.configs {
            // An error is ignored: the file is in the run's folder, which is removed later.
            let _ = std::fs::remove_file(config);
        }
    }
}
