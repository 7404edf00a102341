//! Joining a fleet and leaving it; in simulated time with fixed seeds.

use crate::{five_members, ALL};
use pinetrail_membership::{MemberState, Membership, PartitionSide, Settings, Timestamp};
use pinetrail_simulation::fleet::{host_address, member_settings, Fleet};

#[test]
fn members_that_all_restart_at_once_find_each_other_by_their_peers_alone() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        for host in &ALL {
            fleet.kill(*host);
        }
        fleet.run(100);
        for host in &ALL {
            fleet.start_member(*host, 5, &ALL);
        }
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
    }
}

/// Guards against a fleet that depends on the only peer that all members are configured with.
#[test]
fn members_join_although_the_one_configured_peer_is_dead() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_members(5, seed, &[0]);
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
        fleet.kill(0);
        fleet.run(10_000);
        assert!(fleet.all_agree(&[1, 2, 3, 4]), "seed {seed}");
        // A member that starts now reaches no other on its own, since its only peer is dead. The
        // members that declared it failed contact it.
        fleet.kill(4);
        fleet.run(6_000);
        fleet.start_member(4, 5, &[0]);
        assert!(fleet.run_until(8_000, |fleet| fleet.all_agree(&[1, 2, 3, 4])), "seed {seed}");
        assert_eq!(fleet.side(4), Some(PartitionSide::Majority), "the configured peer is missing");
        fleet.start_member(0, 5, &[1]);
        assert!(fleet.run_until(8_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
    }
}

/// Guards against a member that still joins by its former peers after they were replaced.
#[test]
fn new_peers_are_contacted_at_once_while_joining() {
    let mut fleet: Fleet<Membership> = Fleet::new(6, 2);
    for host in &ALL {
        fleet.start_member(*host, 6, &ALL);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    let unused_address = "10.9.9.9:1".parse().unwrap();
    fleet.start_member_with(5, Settings { peers: vec![unused_address], ..member_settings(5, 6, &[]) });
    fleet.run(1_500);
    assert_eq!(fleet.side(5), Some(PartitionSide::Alone));
    fleet.act(5, |member, now, out| member.set_peers(now, vec![host_address(1)], out).unwrap());
    // The timer for contacting peers would fire only after half a second.
    assert!(fleet.run_until(300, |fleet| fleet.state_seen_by(5, 1) == Some(MemberState::Alive)));
    assert!(fleet.run_until(3_000, |fleet| fleet.all_agree(&[0, 1, 2, 3, 4, 5])));
    let now = Timestamp::from_millis(fleet.now());
    let mut out = Vec::new();
    assert!(!fleet.record_seen_by(5, "n0001").unwrap().name.is_empty());
    fleet.act(5, |member, _, _| {
        assert!(
            member.set_peers(now, vec![host_address(5)], &mut out).is_err(),
            "a peer is the member itself"
        );
    });
    assert!(out.is_empty(), "invalid peers change nothing");
}

#[test]
fn a_member_that_leaves_has_left_and_not_failed() {
    for seed in 0..20 {
        let mut fleet = five_members(seed);
        fleet.network.loss = 0.05;
        fleet.act(3, Membership::leave);
        fleet.kill(3);
        let left = |fleet: &Fleet<Membership>| {
            [0, 1, 2, 4].iter().all(|host| fleet.state_seen_by(*host, 3) == Some(MemberState::Left))
        };
        assert!(fleet.run_until(3_000, left), "seed {seed}");
        assert_eq!(fleet.false_failures(), 0);
        assert_eq!(fleet.side(0), Some(PartitionSide::Whole), "the fleet has four members now");
        fleet.network.loss = 0.0;
        fleet.start_member(3, 5, &ALL);
        assert!(
            fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)),
            "seed {seed}: the member may join again"
        );
    }
}
