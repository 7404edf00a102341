//! Detection of failures: members that must be declared failed, and members that must not; in
//! simulated time with fixed seeds.

use crate::{five_members, ALL};
use pinetrail_membership::{MemberState, Membership, PartitionSide};
use pinetrail_simulation::fleet::{Fleet, BRIEF_PAUSES};

/// Returns the time in ms until all other members know that the host `dead` has failed; `None` if
/// they do not within `at_most` ms.
fn time_until_known(fleet: &mut Fleet<Membership>, dead: usize, at_most: u64) -> Option<u64> {
    let start = fleet.now();
    let others: Vec<usize> = ALL.into_iter().filter(|host| *host != dead).collect();
    let known = |fleet: &Fleet<Membership>| {
        others.iter().all(|host| fleet.state_seen_by(*host, dead) == Some(MemberState::Failed))
    };
    fleet.run_until(at_most, known).then(|| fleet.now() - start)
}

#[test]
fn all_members_detect_a_failure_within_3_s_and_the_return() {
    for seed in 0..20 {
        let mut fleet = five_members(seed);
        fleet.kill(2);
        let elapsed = time_until_known(&mut fleet, 2, 10_000).expect("all members know of the failure");
        assert!(elapsed <= 3_000, "seed {seed}: {elapsed} ms");
        assert_eq!(fleet.side(0), Some(PartitionSide::Majority));
        // The member returns under its name and knows only its configured peers.
        fleet.start_member(2, 5, &ALL);
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
        assert_eq!(fleet.side(0), Some(PartitionSide::Whole));
    }
}

#[test]
fn with_5_percent_loss_and_brief_pauses_no_member_is_taken_for_failed() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        fleet.network.loss = 0.05;
        fleet.pauses = Some(BRIEF_PAUSES);
        fleet.run(300_000);
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
    }
}

#[test]
fn duplicated_corrupted_and_reordered_datagrams_make_no_member_fail() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        fleet.network.duplication = 0.2;
        fleet.network.corruption = 0.02;
        fleet.network.delay = (1, 80);
        fleet.run(120_000);
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
        assert!(fleet.counters(0).dropped_corrupt > 0);
    }
}

#[test]
fn a_cut_in_one_direction_makes_no_member_fail() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        fleet.network.cut(0, 1);
        fleet.run(60_000);
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
        assert!(fleet.all_agree(&ALL) || fleet.run_until(3_000, |fleet| fleet.all_agree(&ALL)));
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let mut fleet = five_members(seed);
        fleet.network.loss = 0.1;
        fleet.pauses = Some(BRIEF_PAUSES);
        fleet.kill(3);
        fleet.run(30_000);
        (fleet.observed.clone(), fleet.received.clone())
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5).1, run(6).1);
}
