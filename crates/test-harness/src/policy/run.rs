//! Complete runs of a policy change. Read [`PolicyRun`] first, the observations of the clients.

use super::{policy_status, propose, settings, PolicyClients};
use crate::fleet::Fleet;
use crate::script::Script;
use pinetrail_history_checker::check_policies;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of faults in a run.
const FAULTS_PER_SEED: usize = 4;
/// Time within which all faults of a run begin and end.
const FAULT_PERIOD_MS: u64 = 4800;
/// Time for which clients send requests before the first reload, and after the pause of the last.
const TRAFFIC_MARGIN: Duration = Duration::from_millis(200);

/// The observations of clients in one run with real processes.
#[derive(Clone, Debug)]
pub struct PolicyRun {
    /// The seed of the run; 0 for a run with reloads.
    pub seed: u64,
    /// The number of requests that show that two versions were active at the same time;
    /// `usize::MAX` if no request was decided.
    pub violations: usize,
    /// The time for which both versions decided requests, in ms.
    pub overlap_ms: f64,
    /// The number of requests that were decided by a version.
    pub decided: usize,
    /// The number of requests that were rejected.
    pub rejected: u64,
    /// The version that is active at all members at the end; 0 for a run with reloads.
    pub version: u64,
}

impl PolicyRun {
    /// Stops the clients and evaluates their observations.
    fn evaluate(seed: u64, clients: PolicyClients, version: u64) -> PolicyRun {
        let rejected = clients.rejected();
        let decisions = clients.stop();
        let by_version = |version| decisions.iter().filter(move |decision| decision.version == version);
        let first_by_new = by_version(2).map(|decision| decision.answered).fold(f64::MAX, f64::min);
        let last_by_old = by_version(1).map(|decision| decision.sent).fold(0.0, f64::max);
        PolicyRun {
            seed,
            violations: check_policies(&decisions, 0.0).map_or(usize::MAX, |violations| violations.len()),
            overlap_ms: (last_by_old - first_by_new).max(0.0),
            decided: decisions.len(),
            rejected,
            version,
        }
    }
}

/// Proposes a change to a fleet with a common policy while faults drawn from a seed are injected,
/// and waits until all members have the same version.
///
/// # Panics
/// If the members do not have the same version in time.
pub fn run_under_faults(mut fleet: Fleet, seed: u64) -> PolicyRun {
    fleet.wait_until("all members have the first version", have_one_version);
    let clients = PolicyClients::start(&fleet);
    let script = Script::from_seed(seed, fleet.options.members, FAULTS_PER_SEED, FAULT_PERIOD_MS);
    let proposer = propose_in_background(&fleet, seed);
    fleet.run_script(&script);
    proposer.join().expect("a panic of the proposal is caught");
    fleet.wait_until("all members have the same version", have_one_version);
    let version = policy_status(&fleet, 0).0;
    PolicyRun::evaluate(seed, clients, version)
}

fn have_one_version(fleet: &Fleet) -> bool {
    let first = policy_status(fleet, 0);
    first.1 == "steady" && (0..fleet.options.members).all(|member| policy_status(fleet, member) == first)
}

/// Starts a thread that proposes the second version, at a member and a time that depend on the
/// seed. The thread ends after the proposal.
fn propose_in_background(fleet: &Fleet, seed: u64) -> JoinHandle<()> {
    let delay = Duration::from_millis(200 + seed * 379 % 4000);
    let admin = fleet.process(seed as usize % fleet.options.members).admin_address;
    let next = settings(fleet, 2);
    thread::spawn(move || {
        thread::sleep(delay);
        // A panic is ignored: the member may be down at that time.
        let _ = std::panic::catch_unwind(|| propose(admin, "x", 1, &next));
    })
}

/// Makes the same change with SIGHUP at one member after the other, with a pause after each, in a
/// fleet without a common policy.
///
/// # Panics
/// If a member does not run.
pub fn run_with_reloads(mut fleet: Fleet, pause: Duration) -> PolicyRun {
    let clients = PolicyClients::start(&fleet);
    thread::sleep(TRAFFIC_MARGIN);
    let next = settings(&fleet, 2);
    for member in 0..fleet.options.members {
        let mut config = fleet.config(member, &fleet.options.peers);
        config["settings"]["Grades"] = next["Grades"].clone();
        fleet.set_config(member, &config);
        fleet.process(member).signal("HUP");
        thread::sleep(pause);
    }
    thread::sleep(TRAFFIC_MARGIN);
    PolicyRun::evaluate(0, clients, 0)
}
