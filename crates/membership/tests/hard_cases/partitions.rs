//! Partitions of the network: which members each side sees, and how a partition heals; in simulated
//! time with fixed seeds.

use crate::{five_members, ALL};
use pinetrail_membership::{Membership, MembershipEvent, PartitionSide};
use pinetrail_simulation::fleet::{member_settings, Fleet};
use std::time::Duration;

/// Guards against two sides that never find each other again, and against member lists that differ
/// after the network has healed.
#[test]
fn both_sides_of_a_partition_see_it_and_it_heals_without_a_restart() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        fleet.network.partition(&[&[0, 1, 2], &[3, 4]]);
        assert!(
            fleet.run_until(8_000, |fleet| fleet.all_agree(&[0, 1, 2]) && fleet.all_agree(&[3, 4])),
            "seed {seed}"
        );
        let sides: Vec<Option<PartitionSide>> = ALL.iter().map(|host| fleet.side(*host)).collect();
        let (majority, minority) = (Some(PartitionSide::Majority), Some(PartitionSide::Minority));
        assert_eq!(sides, [majority, majority, majority, minority, minority]);
        // One member of each side restarts during the partition and knows only its configured
        // peers.
        for host in [0, 4] {
            fleet.kill(host);
            fleet.run(500);
            fleet.start_member(host, 5, &ALL);
        }
        fleet.run(20_000);
        // A restarted member counts its configured peers from the start, so that it does not take
        // its side for the whole fleet.
        assert_eq!((fleet.side(0), fleet.side(4)), (majority, minority), "seed {seed}");
        fleet.network.heal();
        assert!(fleet.run_until(10_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
        assert!(ALL.iter().all(|host| fleet.side(*host) == Some(PartitionSide::Whole)));
    }
}

/// Guards against two sides that never find each other again because the partition lasted until
/// each side had removed the other's members.
#[test]
fn a_partition_that_outlasts_all_memory_heals_by_the_configured_peers() {
    let mut fleet: Fleet<Membership> = Fleet::new(4, 7);
    for host in 0..4 {
        let mut settings = member_settings(host, 4, &[0, 1, 2, 3]);
        settings.timing.retention = Duration::from_secs(5);
        fleet.start_member_with(host, settings);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
    fleet.network.partition(&[&[0, 1], &[2, 3]]);
    fleet.run(30_000);
    let is_forgotten = |event: &MembershipEvent| matches!(event, MembershipEvent::Forgotten(_));
    assert!(fleet.observed.iter().any(|observed| is_forgotten(&observed.event)));
    assert_eq!(fleet.record_seen_by(0, "n0003"), None);
    fleet.network.heal();
    assert!(fleet.run_until(10_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
}

/// Guards against two halves that each take themselves for the majority.
#[test]
fn neither_half_of_a_fleet_of_four_is_a_majority() {
    let mut fleet = Fleet::with_members(4, 1, &[0, 1, 2, 3]);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
    fleet.network.partition(&[&[0, 1], &[2, 3]]);
    let minority =
        |fleet: &Fleet<Membership>| (0..4).all(|host| fleet.side(host) == Some(PartitionSide::Minority));
    assert!(fleet.run_until(10_000, minority));
}

/// Guards against two members that lose each other and each take themselves for the majority.
#[test]
fn neither_of_two_that_lose_each_other_is_a_majority() {
    let mut fleet = Fleet::with_members(2, 1, &[0, 1]);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1])));
    fleet.network.partition(&[&[0], &[1]]);
    let both_are =
        |fleet: &Fleet<Membership>, side| fleet.side(0) == Some(side) && fleet.side(1) == Some(side);
    assert!(fleet.run_until(10_000, |fleet| both_are(fleet, PartitionSide::Alone)));
    fleet.network.heal();
    assert!(fleet.run_until(10_000, |fleet| both_are(fleet, PartitionSide::Whole)));
}
