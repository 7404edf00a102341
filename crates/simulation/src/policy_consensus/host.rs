//! One simulated host: the rulebook's node, and round it what a proxy has: a door, and clients that ask all the time.

use super::judge::{Admitted, RunChecker};
use super::net::SimulatedNetwork;
use super::plan::{Fault, Plan};
use super::Run;
use pinetrail_peer_transport::{Peer, PeerTransport, Process, Timing as LinkTimes};
use pinetrail_policy_consensus::{
    Admission, AdmissionLease, ConsensusNode, ConsensusStatus, LeaseExpiryMode, PolicyApplier, Settings,
    Storage, Timing, VoterSet,
};
use rand::rngs::StdRng;
use rand::RngExt;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;
use turmoil::Sim;

const PORT: u16 = 7947;
/// Clients ask each host so often.
const ASK_EVERY: Duration = Duration::from_millis(4);
const HOLD: Duration = Duration::from_millis(150);

/// A disk that outlives its host's crashes.
#[derive(Clone, Default)]
struct SimulatedDisk {
    bytes: Arc<Mutex<Option<Vec<u8>>>>,
    full: Arc<Mutex<bool>>,
}

impl Storage for SimulatedDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(lock(&self.bytes).clone())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if *lock(&self.full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        *lock(&self.bytes) = Some(bytes.to_vec());
        Ok(())
    }

    fn set_aside(&mut self, _why: &str) -> io::Result<()> {
        *lock(&self.bytes) = None;
        Ok(())
    }
}

/// What the proxy of a host has in force.
struct SimulatedProxy {
    host: usize,
    in_force: Mutex<u64>,
    judge: RunChecker,
}

impl PolicyApplier for SimulatedProxy {
    fn validate(&self, text: &str) -> Result<(), String> {
        match text.strip_prefix("bad at ").and_then(|rest| rest.split(' ').next()) {
            Some(host) if host == self.host.to_string() => Err("it does not suit".to_owned()),
            _ => Ok(()),
        }
    }

    fn apply(&self, version: u64, text: &str) {
        *lock(&self.in_force) = version;
        self.judge.text(version, text);
    }

    fn log(&self, line: &str) {
        self.judge.log(format!("{} n{}: {line}", now(), self.host));
    }
}

/// Names and texts of changes.
type Proposals = Vec<(String, String)>;

#[derive(Clone)]
struct Shared {
    founders: usize,
    judge: RunChecker,
    disks: Vec<SimulatedDisk>,
    /// Who runs where, by host.
    places: Arc<Mutex<BTreeMap<usize, (Process, SocketAddr)>>>,
    /// What is to be proposed, by host.
    proposals: Arc<Mutex<Vec<Proposals>>>,
    seed: u64,
}

/// All hosts, from outside.
pub(super) struct SimulatedFleet {
    shared: Shared,
    count: std::cell::Cell<u32>,
    running: std::cell::RefCell<Vec<bool>>,
}

impl SimulatedFleet {
    pub(super) fn new(plan: &Plan) -> SimulatedFleet {
        let shared = Shared {
            founders: plan.founders,
            judge: RunChecker::default(),
            disks: (0..plan.hosts).map(|_| SimulatedDisk::default()).collect(),
            places: Arc::default(),
            proposals: Arc::new(Mutex::new(vec![Vec::new(); plan.hosts])),
            seed: plan.seed,
        };
        SimulatedFleet { shared, count: 0.into(), running: vec![true; plan.hosts].into() }
    }

    pub(super) fn add(&self, sim: &mut Sim<'_>, host: usize) {
        let shared = self.shared.clone();
        sim.host(name(host), move || run(shared.clone(), host));
    }

    /// Does what a fault says.
    pub(super) fn cause(&self, sim: &mut Sim<'_>, fault: &Fault, now: u64, rng: &mut StdRng) {
        let hosts = self.shared.disks.len();
        self.shared.judge.log(format!("{now} {fault:?}"));
        match fault {
            Fault::Crash(host) if self.running.borrow()[*host] => {
                self.running.borrow_mut()[*host] = false;
                lock(&self.shared.places).remove(host);
                self.shared.judge.is_away(*host);
                sim.crash(name(*host));
            }
            Fault::Start(host, bare) if !self.running.borrow()[*host] => {
                if *bare {
                    *lock(&self.shared.disks[*host].bytes) = None;
                }
                self.running.borrow_mut()[*host] = true;
                sim.bounce(name(*host));
            }
            Fault::Crash(_) | Fault::Start(..) => {}
            Fault::Cut(side) => {
                for (a, b) in pairs(hosts).filter(|(a, b)| side.contains(a) != side.contains(b)) {
                    sim.partition(name(a), name(b));
                }
            }
            Fault::CutOneWay(from, to) if from != to => sim.partition_oneway(name(*from), name(*to)),
            Fault::CutOneWay(..) => {}
            Fault::Heal => pairs(hosts).for_each(|(a, b)| sim.repair(name(a), name(b))),
            Fault::Slow(host, ms) => {
                for other in (0..hosts).filter(|other| other != host) {
                    sim.set_link_max_message_latency(
                        name(*host),
                        name(other),
                        Duration::from_millis((*ms).max(2)),
                    );
                }
            }
            Fault::Propose(host) => self.propose(*host, format!("rules {}", rng.random::<u32>()), now),
            Fault::ProposeBad(host, at) => {
                self.propose(*host, format!("bad at {at} {}", rng.random::<u32>()), now);
            }
            Fault::DiskFull(host, full) => *lock(&self.shared.disks[*host].full) = *full,
        }
    }

    fn propose(&self, host: usize, text: String, now: u64) {
        self.count.set(self.count.get() + 1);
        let id = format!("c{}", self.count.get());
        self.shared.judge.proposed(&id, &text, now);
        lock(&self.shared.proposals)[host].push((id, text));
    }

    pub(super) fn judged(self, plan: Plan) -> Run {
        self.shared.judge.judged(plan)
    }
}

fn pairs(hosts: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..hosts).flat_map(move |a| (a + 1..hosts).map(move |b| (a, b)))
}

fn name(host: usize) -> String {
    format!("n{host}")
}

fn now() -> u64 {
    let elapsed = turmoil::sim_elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// The times of simulated fleets: shorter than usual, so that more happens.
pub(super) fn times() -> Timing {
    let ms = Duration::from_millis;
    Timing {
        permit: ms(800),
        renew: ms(200),
        ready: ms(1200),
        close: ms(200),
        change: ms(5000),
        answer: ms(250),
    }
}

async fn run(shared: Shared, host: usize) -> turmoil::Result {
    let start = now() + 1;
    let me = Process { name: name(host).as_str().into(), start };
    let place = SocketAddr::new(turmoil::lookup(name(host)), PORT);
    let seed = shared.seed ^ (host as u64) << 32 ^ start;
    let link_times = LinkTimes {
        greeting: Duration::from_millis(500),
        beat: Duration::from_millis(150),
        silence: Duration::from_millis(600),
    };
    let any = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
    let links = PeerTransport::new(SimulatedNetwork, "f", me.clone(), any, link_times, seed);
    let seats = VoterSet(shared.founders as u8);
    let permit =
        Arc::new(AdmissionLease::new(seats, LeaseExpiryMode::FailClosed, HOLD, Duration::from_millis(500)));
    let app = Arc::new(SimulatedProxy { host, in_force: Mutex::new(0), judge: shared.judge.clone() });
    let first = "the first rules".to_owned();
    let settings = Settings {
        process: me.clone(),
        voters: seats,
        timing: times(),
        lease_expiry_mode: LeaseExpiryMode::FailClosed,
        initial_policy: first,
        seed,
    };
    let in_force = Arc::clone(&app) as Arc<dyn PolicyApplier>;
    let node = ConsensusNode::new(settings, "f", Arc::clone(&links), in_force, Arc::clone(&permit));
    links.listen(SocketAddr::new(any, PORT)).await?;
    if host < shared.founders {
        // A disk that is full from the start gives no seat.
        while let Err(error) = node.become_voter(host as u8, Box::new(shared.disks[host].clone())) {
            app.log(&format!("no seat: {error}"));
            sleep(Duration::from_millis(100)).await;
        }
    }
    node.start();
    lock(&shared.places).insert(host, (me.clone(), place));
    let mut next_look = 0;
    loop {
        if now() >= next_look {
            next_look = now() + 50;
            // Of two the one with the lower name dials.
            let places = lock(&shared.places).clone();
            let others = places.into_iter().filter(|(other, _)| *other > host);
            links.set_peers(others.map(|(_, (process, place))| Peer { process, address: place }).collect());
        }
        let asked = lock(&shared.proposals)[host].pop();
        if let Some((id, text)) = asked {
            let (node, judge) = (Arc::clone(&node), shared.judge.clone());
            tokio::spawn(async move {
                let after = node.status().0;
                let said = node.propose(&id, after, &text, Duration::from_millis(800)).await;
                judge.log(format!("{} n{host}: {id}: {said:?}", now()));
            });
        }
        {
            // As the exchange does: whether it is admitted is looked at with what is in force locked.
            let in_force = lock(&app.in_force);
            let admitted = permit.admission(*in_force, tokio::time::Instant::now()) == Admission::Admit;
            shared.judge.asked(Admitted { host, at: now(), version: *in_force }, admitted);
        }
        let (version, _, state, open) = node.status();
        shared.judge.stands(host, version, state == ConsensusStatus::Steady, open);
        for id in shared.judge.unknown() {
            // Only what a door tells by itself: what is asked of others takes a while.
            if let Some(outcome) = node.change_outcome(&id) {
                shared.judge.ended(&id, outcome);
            }
        }
        sleep(ASK_EVERY).await;
    }
}

pub(super) fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}
