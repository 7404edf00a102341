//! Complete runs of a policy change, and what clients observed in each: [`PolicyRun`].

use super::{policy_status, propose, settings, PolicyClients};
use crate::fleet::Fleet;
use crate::script::Script;
use pinetrail_history_checker::check_policies;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The number of faults of a seed.
const FAULTS_PER_SEED: usize = 4;
/// The time within which these faults happen.
const FAULT_PERIOD_MS: u64 = 4800;
/// How long clients send requests before the first reload and after the last one.
const TRAFFIC_MARGIN: Duration = Duration::from_millis(200);

/// The observations of one run with real processes.
#[derive(Clone, Debug)]
pub struct PolicyRun {
    /// The seed; 0 for a run with reloads.
    pub seed: u64,
    /// How many requests show that two versions were active at once; the largest `usize` if no
    /// request was decided.
    pub violations: usize,
    /// For how long two versions decided requests, in ms.
    pub overlap_ms: f64,
    /// How many requests a version decided.
    pub decided: usize,
    /// How many requests were rejected.
    pub rejected: u64,
    /// The version that is active everywhere in the end; 0 for a run with reloads.
    pub version: u64,
}

impl PolicyRun {
    /// Stops the clients, and evaluates what they observed.
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

/// Proposes a change while faults of a seed happen to a fleet that has one policy, and waits until
/// all agree.
///
/// # Panics
/// If they do not agree in time.
pub fn run_under_faults(mut fleet: Fleet, seed: u64) -> PolicyRun {
    fleet.wait_until("all have the first version", have_one_version);
    let clients = PolicyClients::start(&fleet);
    let script = Script::from_seed(seed, fleet.options.members, FAULTS_PER_SEED, FAULT_PERIOD_MS);
    let proposer = propose_in_background(&fleet, seed);
    fleet.run_script(&script);
    proposer.join().expect("a panic was caught");
    fleet.wait_until("all agree", have_one_version);
    let version = policy_status(&fleet, 0).0;
    PolicyRun::evaluate(seed, clients, version)
}

fn have_one_version(fleet: &Fleet) -> bool {
    let first = policy_status(fleet, 0);
    first.1 == "steady" && (0..fleet.options.members).all(|member| policy_status(fleet, member) == first)
}

/// Proposes the second version at a member and a moment that the seed decides. The thread ends
/// after it.
fn propose_in_background(fleet: &Fleet, seed: u64) -> JoinHandle<()> {
    let delay = Duration::from_millis(200 + seed * 379 % 4000);
    let admin = fleet.process(seed as usize % fleet.options.members).admin_address;
    let next = settings(fleet, 2);
    thread::spawn(move || {
        thread::sleep(delay);
        // The member may be down just then.
        let _ = std::panic::catch_unwind(|| propose(admin, "x", 1, &next));
    })
}

/// Makes the same change by SIGHUP at each proxy in turn, in a fleet without a common policy; a
/// pause follows each.
///
/// # Panics
/// If a proxy does not run.
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
