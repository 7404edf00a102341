//! A simulated host: a node of the policy consensus, operators who propose changes to it, and
//! clients that keep sending requests. Read [`run`] first.

use super::environment::{host_name, Environment, Proposal};
use super::network::SimulatedNetwork;
use super::proxy::SimulatedProxy;
use super::run::Admitted;
use super::run_checker::HostStatus;
use super::shared::{lock, now_ms};
use pinetrail_peer_transport::{Peer, PeerTransport, Process, Timing as TransportTiming, TransportConfig};
use pinetrail_policy_consensus::{
    Admission, AdmissionLease, ConsensusNode, ConsensusStatus, LeaseExpiryMode, PolicyApplier, Settings,
    Timing, VoterId, VoterSet,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const CLUSTER: &str = "f";
const PORT: u16 = 7947;
const ANY_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
/// The interval at which clients send a request to each host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// The interval at which a host updates the list of its running peers, in ms.
const PEERS_INTERVAL_MS: u64 = 50;
/// The interval at which a host whose disk is full tries to become a voter.
const VOTER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time for which requests wait for a change to be committed.
const CHANGE_WAIT: Duration = Duration::from_millis(150);
/// The delay after which rejected requests may be retried.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// The longest time for which an operator waits for the answer to a proposal.
const PROPOSAL_TIME_LIMIT: Duration = Duration::from_millis(800);

/// Returns the durations of the consensus, which are shorter than in service, so that more happens
/// within a run.
fn timing() -> Timing {
    Timing {
        lease_duration: Duration::from_millis(800),
        renewal_interval: Duration::from_millis(200),
        readiness_timeout: Duration::from_millis(1200),
        closing_timeout: Duration::from_millis(200),
        change_timeout: Duration::from_millis(5000),
        request_timeout: Duration::from_millis(250),
    }
}

fn transport_timing() -> TransportTiming {
    TransportTiming {
        handshake_timeout: Duration::from_millis(500),
        heartbeat_interval: Duration::from_millis(150),
        silence_timeout: Duration::from_millis(600),
    }
}

/// Runs a host until the host crashes or the simulation ends.
pub(super) async fn run(environment: Environment, host: usize) -> turmoil::Result {
    let running = Host::start(environment, host).await?;
    let mut next_peers_ms = 0;
    loop {
        if now_ms() >= next_peers_ms {
            next_peers_ms = now_ms() + PEERS_INTERVAL_MS;
            running.connect_to_peers();
        }
        running.propose_next_change();
        running.send_request();
        running.report();
        sleep(REQUEST_INTERVAL).await;
    }
}

/// A host that is up, and the components that run on it.
struct Host {
    number: usize,
    environment: Environment,
    node: Arc<ConsensusNode<SimulatedNetwork>>,
    proxy: Arc<SimulatedProxy>,
}

impl Host {
    async fn start(environment: Environment, number: usize) -> Result<Host, std::io::Error> {
        let start = now_ms() + 1;
        let process = Process { name: host_name(number).as_str().into(), start };
        let address = SocketAddr::new(turmoil::lookup(host_name(number)), PORT);
        let seed = environment.seed ^ ((number as u64) << 32) ^ start;
        let proxy = Arc::new(SimulatedProxy::new(number, environment.checker.clone()));
        let node = build_node(&environment, process.clone(), seed, Arc::clone(&proxy));
        node.transport().listen(SocketAddr::new(ANY_ADDRESS, PORT)).await?;
        let host = Host { number, environment, node, proxy };
        host.become_voter().await;
        host.node.start();
        lock(&host.environment.running).insert(number, Peer { process, address });
        Ok(host)
    }

    /// Makes the node a voter if the host is one of the first hosts. While the disk is full, the
    /// node cannot become a voter, and tries again.
    async fn become_voter(&self) {
        let voter = VoterId(self.number as u8);
        if voter.0 >= self.environment.voters {
            return;
        }
        let disk = &self.environment.disks[self.number];
        while let Err(error) = self.node.become_voter(voter, Box::new(disk.clone())) {
            self.proxy.log(&format!("cannot become a voter, trying again: {error}"));
            sleep(VOTER_RETRY_INTERVAL).await;
        }
    }

    /// Connects to the running hosts with higher numbers: of two hosts, the one with the lower
    /// number connects.
    fn connect_to_peers(&self) {
        let running = lock(&self.environment.running).clone();
        let higher = running.into_iter().filter(|(other, _)| *other > self.number);
        self.node.transport().set_peers(higher.map(|(_, peer)| peer).collect());
    }

    fn propose_next_change(&self) {
        let next = lock(&self.environment.proposals)[self.number].pop();
        let Some(Proposal { id, text }) = next else {
            return;
        };
        let host = self.number;
        let node = Arc::clone(&self.node);
        let checker = self.environment.checker.clone();
        // The task ends after `PROPOSAL_TIME_LIMIT` at the latest, or when the host crashes.
        tokio::spawn(async move {
            let base_version = node.status().active_version;
            let answer = node.propose(&id, base_version, &text, PROPOSAL_TIME_LIMIT).await;
            checker.log(format!("{} n{host}: {id}: {answer:?}", now_ms()));
        });
    }

    /// Sends a request of a client, and records whether the host admits it.
    fn send_request(&self) {
        // As in the dispatcher, the lease is examined while the active version is locked.
        let active_version = self.proxy.active_version();
        let admission = self.node.admission_lease().admission(*active_version, Instant::now());
        if admission == Admission::Admit {
            let admitted = Admitted { host: self.number, at_ms: now_ms(), version: *active_version };
            self.environment.checker.record_admitted(admitted);
        }
    }

    /// Reports to the checker the status that operators would see.
    fn report(&self) {
        let checker = &self.environment.checker;
        let status = self.node.status();
        let host_status = HostStatus {
            version: status.active_version,
            is_steady: status.status == ConsensusStatus::Steady,
            open_change: status.open_change,
        };
        checker.record_status(self.number, host_status);
        for id in checker.changes_without_outcome() {
            // Only outcomes that this host knows by itself are reported, since a query to other
            // hosts takes simulated time.
            if let Some(outcome) = self.node.change_outcome(&id) {
                checker.record_outcome(&id, outcome);
            }
        }
    }
}

fn build_node(
    environment: &Environment,
    process: Process,
    seed: u64,
    proxy: Arc<SimulatedProxy>,
) -> Arc<ConsensusNode<SimulatedNetwork>> {
    let voters = VoterSet(environment.voters);
    let lease_expiry_mode = LeaseExpiryMode::FailClosed;
    let config = TransportConfig {
        fleet: CLUSTER.to_owned(),
        process: process.clone(),
        local_address: ANY_ADDRESS,
        timing: transport_timing(),
        seed,
    };
    let transport = PeerTransport::new(SimulatedNetwork, config);
    let lease = Arc::new(AdmissionLease::new(voters, lease_expiry_mode, CHANGE_WAIT, RETRY_AFTER));
    let settings = Settings {
        process,
        voters,
        timing: timing(),
        lease_expiry_mode,
        initial_policy: "initial policy".to_owned(),
        seed,
    };
    ConsensusNode::new(settings, CLUSTER, transport, proxy, lease)
}
