//! Processes that pause; in simulated time with fixed seeds.

use crate::{five_members, ALL};
use pinetrail_membership::{MemberState, Membership, MembershipEvent};
use pinetrail_simulation::fleet::{Fleet, ObservedEvent};

/// The host whose process pauses.
const PAUSED: usize = 1;

/// Returns whether the paused member sees any member in this state.
fn sees_any(fleet: &Fleet<Membership>, state: MemberState) -> bool {
    ALL.iter().any(|other| fleet.state_seen_by(PAUSED, *other) == Some(state))
}

/// Returns the first event by which the paused member reported another member in this state.
fn reported_by_paused(fleet: &Fleet<Membership>, state: MemberState) -> Option<&ObservedEvent> {
    let is_match = |event: &&ObservedEvent| event.host == PAUSED && event.is_about(state);
    fleet.observed.iter().find(is_match)
}

/// Guards against declaring a member failed whose process pauses briefly.
#[test]
fn a_member_that_pauses_for_450_ms_again_and_again_is_never_taken_for_failed() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        for _ in 0..60 {
            fleet.pause(PAUSED);
            fleet.run(450);
            fleet.resume(PAUSED);
            fleet.run(100 + seed * 30);
        }
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
    }
}

/// Guards against a process that resumes, finds all its timers due, and declares all other members
/// failed.
#[test]
fn a_member_paused_for_10_s_takes_no_other_for_failed_and_rejoins() {
    for seed in 0..10 {
        let mut fleet = five_members(seed);
        // The member has just begun to suspect another, whose time to refute passes during the
        // pause.
        fleet.network.partition(&[&[1], &[0, 2, 3, 4]]);
        assert!(fleet.run_until(4_000, |fleet| sees_any(fleet, MemberState::Suspect)));
        fleet.pause(PAUSED);
        fleet.network.heal();
        assert!(fleet.run_until(10_000, |fleet| fleet.state_seen_by(0, PAUSED) == Some(MemberState::Failed)));
        fleet.run(10_000);
        fleet.observed.clear();
        fleet.resume(PAUSED);
        assert!(fleet.run_until(6_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
        let notices_pause = |observed: &ObservedEvent| {
            observed.host == PAUSED && matches!(observed.event, MembershipEvent::Paused(_))
        };
        assert!(fleet.observed.iter().any(notices_pause));
        assert_eq!(reported_by_paused(&fleet, MemberState::Failed), None, "seed {seed}");
    }
}

/// Guards against a process that resumes and suspects others because of its own pause.
#[test]
fn a_member_suspects_no_other_for_the_time_of_its_own_pause() {
    for after in 0..100 {
        let mut fleet = five_members(after);
        fleet.run(after * 7);
        fleet.pause(PAUSED);
        fleet.run(1_500);
        fleet.observed.clear();
        fleet.resume(PAUSED);
        fleet.run(1_500);
        assert_eq!(
            reported_by_paused(&fleet, MemberState::Suspect),
            None,
            "paused after {after} steps of 7 ms"
        );
    }
}

/// Guards against a suspicion that expires at the moment at which its holder resumes, so that the
/// suspected member had no time to refute it.
#[test]
fn a_pause_at_any_moment_leaves_suspected_members_time_to_refute() {
    let mut pauses = 0;
    for after in (0..1_500).step_by(10) {
        let mut fleet = five_members(3);
        for to in [0, 2, 3, 4] {
            fleet.network.cut(PAUSED, to);
        }
        assert!(fleet.run_until(4_000, |fleet| sees_any(fleet, MemberState::Suspect)));
        fleet.run(after);
        if sees_any(&fleet, MemberState::Failed) {
            break;
        }
        pauses += 1;
        fleet.pause(PAUSED);
        fleet.network.heal();
        fleet.run(2_000);
        fleet.observed.clear();
        fleet.resume(PAUSED);
        fleet.run(4_000);
        assert_eq!(reported_by_paused(&fleet, MemberState::Failed), None, "paused after {after} ms");
    }
    assert!(pauses > 50, "only {pauses} pauses before the end of the suspicion");
}
