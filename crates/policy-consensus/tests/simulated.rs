//! The tasks as they run in service, on simulated hosts and time.

use pinetrail_simulation::policy_consensus::{play, play_seed, Fault, Plan, Verdict};

fn good(plan: Plan) -> pinetrail_simulation::policy_consensus::Run {
    let run = play(plan);
    assert_eq!(run.verdict, Verdict::Good, "{}", run.log.join("\n"));
    run
}

#[test]
fn a_quiet_fleet_takes_a_change() {
    let run = good(Plan::quiet(1, 5, 3).with(4000, Fault::Propose(4)));
    assert_eq!(run.outcomes, [1, 0, 0, 0], "{}", run.log.join("\n"));
    assert!(run.took[0] < 300, "{:?}", run.took);
}

#[test]
fn one_no_is_a_no_for_all() {
    let run = good(Plan::quiet(1, 5, 3).with(4000, Fault::ProposeBad(0, 4)));
    assert_eq!(run.outcomes, [0, 1, 0, 0], "{}", run.log.join("\n"));
}

#[test]
fn seeds() {
    for seed in 0..40 {
        let run = play_seed(seed);
        assert_eq!(run.verdict, Verdict::Good, "seed {seed}\n{}", run.log.join("\n"));
    }
}

#[test]
fn a_seed_replays() {
    for seed in [3, 8, 21] {
        assert_eq!(play_seed(seed).log, play_seed(seed).log);
    }
}
