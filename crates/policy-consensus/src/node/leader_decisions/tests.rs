use super::*;
use crate::{Digest, LeaseRequest, ReplicatedState, VoterView};
use pinetrail_peer_transport::Process;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn change(stage: Stage) -> ChangeSummary {
    ChangeSummary { id: "x".to_owned(), digest: Digest::of("b"), stage, attempt: 1 }
}

fn observed(stage: Stage, now: Instant) -> ObservedChange {
    ObservedChange::update(None, change(stage), now)
}

fn view(leader_rank: u32) -> LeaderView {
    LeaderView { rejection: None, leader_rank, waiting_for: vec!["n1".to_owned(), "n2".to_owned()] }
}

#[test]
fn a_rejection_finishes_a_change_in_every_stage() {
    let now = Instant::now();
    for stage in [Stage::Preparing { strict: false }, STRICT, Stage::Closing] {
        let view = LeaderView { rejection: Some("n2: no".to_owned()), ..view(1) };
        let step = next_step(&observed(stage, now), view, &Timing::default(), now);
        let finish = LeaderStep::Finish { outcome: Outcome::Rejected, reason: "n2: no".to_owned() };
        assert_eq!(step, finish, "{stage:?}");
    }
}

#[test]
fn only_the_leader_acts_until_a_stage_takes_too_long() {
    let timing = Timing::default();
    let now = Instant::now();
    let preparing = observed(Stage::Preparing { strict: false }, now);
    let closing = observed(Stage::Closing, now);
    assert_eq!(next_step(&preparing, view(0), &timing, now), LeaderStep::CollectReadiness);
    assert_eq!(next_step(&preparing, view(1), &timing, now), LeaderStep::Wait);
    assert_eq!(next_step(&closing, view(0), &timing, now), LeaderStep::Commit);
    assert_eq!(next_step(&closing, view(1), &timing, now), LeaderStep::Wait);

    let late = now + timing.closing_timeout + MS;
    assert_eq!(next_step(&closing, view(0), &timing, late), LeaderStep::Advance(STRICT));
    assert_eq!(
        next_step(&closing, view(1), &timing, late),
        LeaderStep::Wait,
        "the voter with rank 1 waits longer than the leader"
    );
    let later = now + timing.closing_timeout * 2 + MS;
    assert_eq!(next_step(&closing, view(1), &timing, later), LeaderStep::Advance(STRICT));

    let late = now + timing.change_timeout + MS;
    let reason = "it waited for n1, n2".to_owned();
    let abandon = LeaderStep::Finish { outcome: Outcome::Abandoned, reason };
    assert_eq!(next_step(&preparing, view(0), &timing, late), abandon);
    assert_eq!(next_step(&preparing, view(1), &timing, late), LeaderStep::Wait);
}

#[test]
fn a_change_closes_when_all_holders_are_ready_and_no_lease_blocks_it() {
    let timing = Timing::default();
    let now = Instant::now();
    let mut preparing = observed(Stage::Preparing { strict: false }, now);
    assert_eq!(next_stage(&preparing, &[], &timing, now), Some(Stage::Closing));

    let unready = ["n1".to_owned()];
    assert_eq!(next_stage(&preparing, &unready, &timing, now), None);
    let late = now + timing.readiness_timeout + MS;
    assert_eq!(next_stage(&preparing, &unready, &timing, late), Some(STRICT));
    assert_eq!(next_stage(&observed(STRICT, now), &unready, &timing, late), None);

    preparing.close_not_before = now + MS;
    assert_eq!(next_stage(&preparing, &[], &timing, now), None);
    assert_eq!(next_stage(&preparing, &[], &timing, now + MS), Some(Stage::Closing));
}

#[test]
fn an_observation_keeps_its_times_while_the_change_is_the_same() {
    let now = Instant::now();
    let first = observed(STRICT, now);
    let same = ObservedChange::update(Some(first), change(STRICT), now + MS);
    assert_eq!((same.first_seen, same.stage_since), (now, now));
    let closing = ObservedChange::update(Some(same), change(Stage::Closing), now + 2 * MS);
    assert_eq!((closing.first_seen, closing.stage_since), (now, now + 2 * MS));
    let other = ChangeSummary { id: "y".to_owned(), ..change(STRICT) };
    let other = ObservedChange::update(Some(closing), other, now + 3 * MS);
    assert_eq!((other.first_seen, other.close_not_before), (now + 3 * MS, now + 3 * MS));
}

#[test]
fn a_commit_names_the_processes_that_fail_open() {
    let timing = Timing::default();
    let now = Instant::now();
    let mut leases = LeaseTable::new(timing, now);
    let no_reason = CommitDecision::Commit { reason: String::new() };
    assert_eq!(decide_commit(&leases, "x", now), no_reason);

    let agreed = ReplicatedState::initial("a").summary();
    let process = Process { name: "n1".into(), start: 5 };
    let request =
        LeaseRequest { sequence: 1, version: 1, wants_lease: true, readiness: None, fails_open: true };
    leases.decide(now, &process, request, VoterView { agreed: &agreed, accepted_version: 1 });
    assert_eq!(decide_commit(&leases, "x", now), no_reason, "the lease of n1 has not expired");

    let reason = "without a permit, and perhaps still by the version before: n1".to_owned();
    let expired = now + timing.lease_at_voter();
    assert_eq!(decide_commit(&leases, "x", expired), CommitDecision::Commit { reason });
}
