//! Every suspicion ends once all faults have ended. The faults are random with fixed seeds, several
//! within the duration of one suspicion.

use crate::{five_members, ALL};
use pinetrail_membership::{MemberState, Membership};
use pinetrail_simulation::fleet::Fleet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The number of seeds, each of which gives other faults.
const SEED_COUNT: u64 = 2_000;
/// The number of faults of one seed.
const FAULTS_PER_SEED: usize = 12;
/// The maximum time between two faults, which is shorter than a suspicion.
const MAX_FAULT_INTERVAL_MS: u64 = 700;
/// The maximum duration of a suspicion once the network has healed and all members run.
const SUSPICION_BOUND_MS: u64 = 5_000;
/// The maximum time after the end of the faults until all members agree. It includes the time in
/// which a member that was declared failed rejoins.
const RECOVERY_BOUND_MS: u64 = 15_000;

fn inject_fault(fleet: &mut Fleet<Membership>, random: &mut StdRng) {
    let host = random.random_range(0..ALL.len());
    match random.random_range(0..8) {
        0 => fleet.network.partition(&[&[host], &others(host)]),
        1 => {
            let (side, rest) = ALL.split_at(random.random_range(1..ALL.len()));
            fleet.network.partition(&[side, rest]);
        }
        2 => fleet.network.cut(host, random.random_range(0..ALL.len())),
        3 | 4 => fleet.network.heal(),
        5 => fleet.pause(host),
        6 => fleet.resume(host),
        _ => {
            fleet.kill(host);
            fleet.start_member(host, ALL.len(), &ALL);
        }
    }
}

fn others(host: usize) -> Vec<usize> {
    ALL.into_iter().filter(|other| *other != host).collect()
}

fn end_faults(fleet: &mut Fleet<Membership>) {
    fleet.network.heal();
    for host in ALL {
        fleet.resume(host);
    }
}

fn is_any_suspected(fleet: &Fleet<Membership>) -> bool {
    let suspects = |observer: usize| {
        ALL.iter().any(|other| fleet.state_seen_by(observer, *other) == Some(MemberState::Suspect))
    };
    ALL.iter().any(|observer| suspects(*observer))
}

/// Guards against a member that others suspect forever: each of them waits for another to end the
/// suspicion, and the suspected member never learns of it.
#[test]
fn every_suspicion_ends_once_the_network_is_whole() {
    let mut unended = Vec::new();
    let mut diverged = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = five_members(seed);
        for _ in 0..FAULTS_PER_SEED {
            inject_fault(&mut fleet, &mut random);
            fleet.run(random.random_range(1..=MAX_FAULT_INTERVAL_MS));
        }
        end_faults(&mut fleet);
        if !fleet.run_until(SUSPICION_BOUND_MS, |fleet| !is_any_suspected(fleet)) {
            unended.push(seed);
        }
        if !fleet.run_until(RECOVERY_BOUND_MS - SUSPICION_BOUND_MS, |fleet| fleet.all_agree(&ALL)) {
            diverged.push(seed);
        }
    }
    assert!(unended.is_empty(), "suspicions do not end in {} seeds: {unended:?}", unended.len());
    assert!(diverged.is_empty(), "members do not agree in {} seeds: {diverged:?}", diverged.len());
}
