//! Members beyond the size of a fleet, and corrupt datagrams; in simulated time with fixed seeds.

use crate::{datagrams, five_members, ALL};
use pinetrail_membership::{Membership, MembershipEvent, Timestamp};
use pinetrail_simulation::fleet::{host_address, member_settings, Fleet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The time between two calls to `handle_timeout` of a member whose datagrams are recorded.
const STEP: Duration = Duration::from_millis(10);

/// Guards against a sender of datagrams that fills the memory of other members with names.
#[test]
fn a_member_beyond_the_size_of_the_fleet_is_rejected_and_learns_why() {
    let mut fleet: Fleet<Membership> = Fleet::new(5, 9);
    for host in 0..5 {
        fleet.start_member(host, 4, &[0]);
    }
    fleet.run(20_000);
    let known_to = |host| fleet.member(host).map_or(0, |member| member.members().len());
    let known: Vec<usize> = (0..4).map(known_to).collect();
    assert!(known.iter().all(|known| *known <= 4), "{known:?}");
    assert!(fleet.counters(0).dropped_fleet_full > 0);
    let is_rejection = |event: &MembershipEvent| matches!(event, MembershipEvent::FleetFull(_, 4));
    assert!(fleet.observed.iter().any(|observed| is_rejection(&observed.event)));
    assert!(fleet.false_failures() == 0, "admitted members are not affected");
}

/// Guards against names that take capacity without ever joining: from a process that restarts in a
/// loop, or from a flood of discovery datagrams.
#[test]
fn discovery_by_many_names_takes_no_capacity_for_long() {
    let mut fleet: Fleet<Membership> = Fleet::new(4, 9);
    for host in 0..2 {
        fleet.start_member(host, 4, &[0, 1]);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1])));
    let mut joiners: Vec<Membership> = (0..200)
        .map(|n| Membership::new(member_settings(100 + n, 4, &[1]), 5, n as u64, Timestamp::ZERO).unwrap())
        .collect();
    let mut to_another = Vec::new();
    for joiner in &mut joiners {
        let mut outputs = Vec::new();
        joiner.handle_timeout(Timestamp::ZERO, &mut outputs);
        for discovery in datagrams(&outputs) {
            fleet.act(0, |member, now, out| member.handle_datagram(now, host_address(3), &discovery, out));
            let mut answer = Vec::new();
            fleet.act(1, |member, now, out| {
                member.handle_datagram(now, host_address(3), &discovery, out);
                answer.append(out);
            });
            outputs.clear();
            for reply in datagrams(&answer) {
                joiner.handle_datagram(Timestamp::ZERO, host_address(1), &reply, &mut outputs);
            }
            to_another.extend(datagrams(&outputs));
        }
    }
    assert_eq!(fleet.counters(0).dropped_fleet_full, 0, "discovery takes no capacity");
    // Member 0 gets messages of SWIM that are for another member: its SWIM rejects them, but their
    // names take capacity until they are pruned.
    assert_eq!(to_another.len(), 200);
    for bytes in &to_another {
        fleet.act(0, |member, now, out| member.handle_datagram(now, host_address(3), bytes, out));
    }
    assert!(fleet.counters(0).dropped_fleet_full > 0, "the names take capacity until they are pruned");
    fleet.run(2_000);
    for host in [2, 3] {
        fleet.start_member(host, 4, &[0, 1]);
    }
    assert!(fleet.run_until(8_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
}

/// Guards against corrupt datagrams that cause a panic or change the state of a member.
#[test]
fn a_flood_of_corrupt_datagrams_changes_nothing() {
    let mut fleet = five_members(4);
    let mut rng = StdRng::seed_from_u64(1);
    let mut valid = Vec::new();
    fleet.act(1, |member, now, out| {
        for step in 0..60 {
            member.handle_timeout(now + STEP * step, out);
        }
        valid.extend(datagrams(out));
    });
    for round in 0..20_000 {
        let mut bytes: Vec<u8> = valid[round % valid.len()].clone();
        match round % 3 {
            0 => bytes = (0..rng.random_range(0..1500)).map(|_| rng.random()).collect(),
            1 => bytes.truncate(rng.random_range(0..bytes.len())),
            _ => {
                let index = rng.random_range(0..bytes.len());
                bytes[index] ^= 1 << rng.random_range(0..8);
            }
        }
        fleet.act(0, |member, now, out| member.handle_datagram(now, host_address(3), &bytes, out));
    }
    fleet.run(10_000);
    let counts = fleet.counters(0);
    let dropped = counts.dropped_unknown_protocol
        + counts.dropped_corrupt
        + counts.dropped_unsupported_version
        + counts.dropped_other_fleet;
    assert_eq!(dropped, 20_000);
    assert!(fleet.all_agree(&ALL));
    assert_eq!(fleet.false_failures(), 0);
}
