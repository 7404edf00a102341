//! Checks the properties of the quota under faults that are drawn from a seed. Read [`play`] first.

use crate::quota::{Clock, QuotaSimulation};
use crate::Time;
use pinetrail_quota::{Parts, Process, LEASABLE_PARTS, TOTAL_PARTS};
use rand::RngExt;
use thiserror::Error;

const HOSTS: usize = 5;
const FAULTS_PER_SEED: usize = 25;
/// The time within which all processes must have equal leases after the last fault, in ms.
const RECOVERY_TIME_MS: Time = 40_000;

/// A property that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// More than the total was in use, or there were two leaders at once.
    #[error("{parts_in_use} parts of {TOTAL_PARTS} in use, {leaders} leaders, found at {at} ms")]
    Unsafe {
        /// The largest number of parts in use at once.
        parts_in_use: Parts,
        /// The largest number of leaders at once.
        leaders: usize,
        /// When the violation was found, in simulated ms.
        at: Time,
    },
    /// The leases did not become equal after the faults had ended, or more than the total was in
    /// use during the recovery.
    #[error(
        "leases after the recovery {leases:?}, expected {expected} parts for each host; \
         at most {parts_in_use} parts of {TOTAL_PARTS} in use"
    )]
    NotRecovered {
        /// The leased parts of each host.
        leases: Vec<Parts>,
        /// The parts that each host should have leased.
        expected: Parts,
        /// The largest number of parts in use at once.
        parts_in_use: Parts,
    },
}

/// Simulates five processes under 25 faults from a seed, and checks three properties: the parts
/// that all processes use together, including those of calls that began earlier, never exceed the
/// total; there are never two leaders; and all processes get equal leases after the faults have
/// ended.
///
/// # Errors
///
/// Returns the first [`Violation`] of these properties.
pub fn play(seed: u64) -> Result<(), Violation> {
    let mut simulation = start_fleet(seed);
    for _ in 0..FAULTS_PER_SEED {
        inject_fault(&mut simulation);
        let pause = simulation.rng.random_range(1..4000);
        simulation.run(pause);
        resume_some(&mut simulation);
        if simulation.max_parts_in_use > TOTAL_PARTS || simulation.max_leaders > 1 {
            return Err(Violation::Unsafe {
                parts_in_use: simulation.max_parts_in_use,
                leaders: simulation.max_leaders,
                at: simulation.now(),
            });
        }
    }
    end_faults(&mut simulation);
    simulation.run(RECOVERY_TIME_MS);
    check_recovery(&simulation)
}

fn start_fleet(seed: u64) -> QuotaSimulation {
    let mut simulation = QuotaSimulation::new(HOSTS, HOSTS, 8, seed);
    for host in 0..HOSTS {
        let rate = simulation.rng.random_range(990..=1009);
        simulation.set_clock(host, Clock::new(0, rate));
        simulation.start(host);
    }
    simulation.update_all_live_processes();
    simulation.network.delay = (1, 40);
    if simulation.rng.random_bool(0.3) {
        simulation.network.loss = 0.1;
        simulation.network.duplication = 0.2;
        simulation.network.delay = (1, simulation.rng.random_range(500..9_000));
    }
    simulation
}

/// Injects a random fault, or ends a fault. The numbers of the match arms must not change, because
/// they determine the faults of a seed.
fn inject_fault(simulation: &mut QuotaSimulation) {
    let host = simulation.rng.random_range(0..HOSTS);
    match simulation.rng.random_range(0..11) {
        0 => simulation.kill(host),
        1 => simulation.start(host),
        2 => {
            if simulation.is_running(host) {
                simulation.pause(host);
            } else {
                simulation.start(host);
            }
        }
        3 => {
            if simulation.is_paused(host) {
                simulation.resume(host);
            } else {
                simulation.network.heal();
            }
        }
        4 => partition(simulation, host),
        5 => {
            let to = simulation.rng.random_range(0..HOSTS);
            simulation.network.cut(host, to);
        }
        6 => simulation.network.heal(),
        7 => set_random_live_processes(simulation, host),
        8 | 9 => simulation.update_all_live_processes(),
        _ => {}
    }
}

/// Partitions the fleet into two sides. If `host`, which is random, is even, each side believes at
/// once that only its own processes are alive.
fn partition(simulation: &mut QuotaSimulation, host: usize) {
    let sides = simulation.rng.random_range(1..31u32);
    let side = |bit: u32| -> Vec<usize> { (0..HOSTS).filter(|host| (sides >> host) & 1 == bit).collect() };
    let sides = [side(0), side(1)];
    simulation.network.partition(&[&sides[0], &sides[1]]);
    let both_notice = host.is_multiple_of(2);
    if !both_notice {
        return;
    }
    for side in &sides {
        let alive: Vec<Process> = side.iter().map(|one| simulation.process(*one)).collect();
        for one in side {
            simulation.set_live_processes(*one, alive.clone());
        }
    }
}

/// Gives a process a random list of the processes that are alive.
fn set_random_live_processes(simulation: &mut QuotaSimulation, host: usize) {
    let believed = simulation.rng.random_range(0..32u32);
    let alive = (0..HOSTS).filter(|one| (believed >> one) & 1 == 1);
    let alive = alive.map(|one| simulation.process(one)).collect();
    simulation.set_live_processes(host, alive);
}

fn resume_some(simulation: &mut QuotaSimulation) {
    for host in 0..HOSTS {
        if simulation.is_paused(host) && simulation.rng.random_bool(0.3) {
            simulation.resume(host);
        }
    }
}

fn end_faults(simulation: &mut QuotaSimulation) {
    simulation.network.heal();
    simulation.network.loss = 0.0;
    simulation.network.duplication = 0.0;
    simulation.network.delay = (1, 40);
    for host in 0..HOSTS {
        if !simulation.is_running(host) {
            simulation.start(host);
        }
        simulation.resume(host);
    }
    simulation.update_all_live_processes();
}

fn check_recovery(simulation: &QuotaSimulation) -> Result<(), Violation> {
    let expected = LEASABLE_PARTS / HOSTS as Parts;
    let parts_in_use = simulation.max_parts_in_use;
    let leases: Vec<Parts> = (0..HOSTS).map(|host| simulation.leased_parts(host)).collect();
    if leases.iter().all(|lease| *lease == expected) && parts_in_use <= TOTAL_PARTS {
        Ok(())
    } else {
        Err(Violation::NotRecovered { leases, expected, parts_in_use })
    }
}
