//! Runs the tasks of policy consensus on simulated hosts, network and time.

use pinetrail_simulation::policy_consensus::{play, play_seed, Fault, OutcomeCounts, Plan, Run, Verdict};

/// The simulated time at which the only change of a plan is proposed.
const PROPOSED_AT_MS: u64 = 4000;

fn play_without_violation(plan: Plan) -> Run {
    let run = play(plan);
    assert_eq!(run.verdict, Verdict::Passed, "{}", run.log.join("\n"));
    run
}

#[test]
fn a_fleet_without_faults_commits_a_change() {
    let plan = Plan::without_faults(1, 5, 3).with_fault(PROPOSED_AT_MS, Fault::Propose(4));

    let run = play_without_violation(plan);

    let one_committed = OutcomeCounts { committed: 1, ..OutcomeCounts::default() };
    assert_eq!(run.outcomes, one_committed, "{}", run.log.join("\n"));
    assert!(run.commit_latencies_ms[0] < 300, "{:?}", run.commit_latencies_ms);
}

#[test]
fn a_change_that_one_host_rejects_is_rejected_for_all() {
    let fault = Fault::ProposeRejected { host: 0, rejected_by: 4 };
    let plan = Plan::without_faults(1, 5, 3).with_fault(PROPOSED_AT_MS, fault);

    let run = play_without_violation(plan);

    let one_rejected = OutcomeCounts { rejected: 1, ..OutcomeCounts::default() };
    assert_eq!(run.outcomes, one_rejected, "{}", run.log.join("\n"));
}

#[test]
fn fleets_under_seeded_faults_keep_the_invariants() {
    for seed in 0..40 {
        let run = play_seed(seed);
        assert_eq!(run.verdict, Verdict::Passed, "seed {seed}\n{}", run.log.join("\n"));
    }
}

#[test]
fn a_seed_replays_its_run() {
    for seed in [3, 8, 21] {
        assert_eq!(play_seed(seed).log, play_seed(seed).log);
    }
}
