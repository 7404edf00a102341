//! The subcommand `policy`: checks policy consensus under faults from many seeds, and measures how
//! long a change takes in a fleet without faults and in one with a crashed member. Read [`run`]
//! first.

use crate::error::ExperimentError;
use crate::output::write_json;
use crate::table;
use clap::Args;
use hdrhistogram::Histogram;
use pinetrail_simulation::policy_consensus::{play, play_seed, Fault, OutcomeCounts, Plan, Run, Verdict};
use pinetrail_test_harness::fleet::{Fleet, Options as FleetOptions};
use pinetrail_test_harness::policy::{run_under_faults, run_with_reloads, PolicyRun};
use pinetrail_test_harness::{http_200, set_program, StubServer};
use rayon::prelude::*;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// The time between the reloads of two proxies in the baseline.
const RELOAD_INTERVAL: Duration = Duration::from_millis(200);
/// The simulated time at which a change is proposed.
const PROPOSAL_AT_MS: u64 = 4_000;
/// The simulated time at which a member crashes, just before the proposal.
const CRASH_AT_MS: u64 = 3_950;
/// The maximum number of voters of a simulated fleet.
const MAX_VOTERS: usize = 5;

/// The options of `policy`.
#[derive(Args)]
pub(crate) struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// The number of seeds of faults to play.
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// The sizes of fleets in which changes are timed.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 30], value_parser = clap::value_parser!(u16).range(3..=60))]
    members: Vec<u16>,
    /// The number of changes timed at each size.
    #[arg(long, default_value_t = 20)]
    changes: u64,
    /// The number of seeds of faults to play with real processes on loopback. If above 0,
    /// reloads by SIGHUP, one proxy after the other, are measured as a baseline.
    #[arg(long, default_value_t = 0)]
    processes: u64,
    /// Print the log of the run of the first seed.
    #[arg(long)]
    log: bool,
    /// The file to which all figures are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The violations and the outcomes of changes of all seeds.
#[derive(Serialize)]
struct SeedResults {
    first: u64,
    seeds: u64,
    /// Each seed with a violation, with its verdict.
    #[serde(rename = "wrong")]
    violations: Vec<(u64, String)>,
    #[serde(rename = "taken")]
    committed: u32,
    #[serde(rename = "refused")]
    rejected: u32,
    abandoned: u32,
    unknown: u32,
}

/// The times from the proposals of changes to the first requests under them, in ms.
#[derive(Serialize)]
struct ChangeTimes {
    members: usize,
    what: &'static str,
    changes: usize,
    p50: u64,
    p99: u64,
    worst: u64,
    /// The longest time for which a member admitted no request.
    longest_gap: u64,
}

/// The fault that is injected before a timed change.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    Crash,
}

#[derive(Serialize)]
struct Figures {
    seeds: SeedResults,
    took: Vec<ChangeTimes>,
}

/// Plays all seeds, times changes, and prints and writes the figures. Returns false if there was a
/// violation.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    if options.log {
        for line in &play_seed(options.seed).log {
            println!("{line}");
        }
    }
    let runs: Vec<Run> =
        (options.seed..options.seed + options.seeds).into_par_iter().map(play_seed).collect();
    let violations = runs.iter().filter(|run| run.verdict != Verdict::Passed);
    let sum = |of: fn(&OutcomeCounts) -> u32| runs.iter().map(|run| of(&run.outcomes)).sum();
    let seeds = SeedResults {
        first: options.seed,
        seeds: options.seeds,
        violations: violations.map(|run| (run.plan.seed, format!("{:?}", run.verdict))).collect(),
        committed: sum(|counts| counts.committed),
        rejected: sum(|counts| counts.rejected),
        abandoned: sum(|counts| counts.abandoned),
        unknown: sum(|counts| counts.unknown),
    };
    println!(
        "{} seeds from {}: {} violations; changes committed {}, rejected {}, abandoned {}, never begun {}",
        seeds.seeds,
        seeds.first,
        seeds.violations.len(),
        seeds.committed,
        seeds.rejected,
        seeds.abandoned,
        seeds.unknown
    );
    for (seed, why) in seeds.violations.iter().take(20) {
        println!("seed {seed}: {why}");
    }
    let took: Vec<ChangeTimes> = options
        .members
        .iter()
        .flat_map(|members| {
            [InjectedFault::None, InjectedFault::Crash].map(|injected_fault| {
                time_changes(usize::from(*members), injected_fault, options.seed, options.changes)
            })
        })
        .collect();
    let rows = took.iter().map(|took| {
        let figures = [took.changes as u64, took.p50, took.p99, took.worst, took.longest_gap];
        let first = format!("{} {}", took.members, took.what);
        [first].into_iter().chain(figures.map(|figure| figure.to_string())).collect::<Vec<_>>()
    });
    println!("ms of simulated time from the proposal of a change to the first request under it; admission leases of 800 ms, network latency of 1 to 3 ms");
    let heading = ["members", "changes", "p50", "p99", "worst", "longest gap"];
    table::print(&heading, &rows.collect::<Vec<_>>());
    let passed = seeds.violations.is_empty() & run_real_processes(options.seed, options.processes)?;
    if let Some(path) = &options.json {
        write_json(path, &Figures { seeds, took })?;
    }
    Ok(passed)
}

/// Plays seeds with four real processes, three of them founders, and the baseline. Returns false if
/// a seed had a violation.
fn run_real_processes(first: u64, seeds: u64) -> Result<bool, ExperimentError> {
    if seeds == 0 {
        return Ok(true);
    }
    let program_path = std::env::current_exe().map_err(ExperimentError::CurrentExe)?;
    set_program(program_path, &["proxy"]);
    let start_backends = || {
        (vec![StubServer::hit_node("v"), StubServer::hit_node("v")], StubServer::origin(|_| http_200("v")))
    };
    let mut all = Vec::new();
    for seed in first..first + seeds {
        let (nodes, origin) = start_backends();
        let options =
            FleetOptions { seed, founders: vec![0, 1, 2], policy: true, ..FleetOptions::with_members(4) };
        all.push(run_under_faults(Fleet::start_all(options, nodes, origin), seed));
    }
    let violating_seeds: Vec<u64> = all.iter().filter(|one| one.violations > 0).map(|one| one.seed).collect();
    let sum = |of: fn(&PolicyRun) -> u64| all.iter().map(of).sum::<u64>();
    println!(
        "real processes: {seeds} seeds from {first}, violations in {violating_seeds:?}; {} requests decided, {} rejected; the change committed in {}",
        sum(|one| one.decided as u64),
        sum(|one| one.rejected),
        sum(|one| u64::from(one.version == 2))
    );
    let (nodes, origin) = start_backends();
    let baseline =
        run_with_reloads(Fleet::start_all(FleetOptions::with_members(4), nodes, origin), RELOAD_INTERVAL);
    println!(
        "baseline, SIGHUP to each of four proxies in turn, {} ms apart: {} requests show two policies at once, for {:.0} ms",
        RELOAD_INTERVAL.as_millis(),
        baseline.violations,
        baseline.overlap_ms
    );
    Ok(violating_seeds.is_empty())
}

/// Times changes in fleets without faults, or in fleets in which a member crashes just before the
/// proposal.
fn time_changes(members: usize, injected_fault: InjectedFault, seed: u64, changes: u64) -> ChangeTimes {
    let runs: Vec<Run> = (seed..seed + changes)
        .into_par_iter()
        .map(|seed| {
            let plan = Plan::without_faults(seed, members, MAX_VOTERS.min(members))
                .with_fault(PROPOSAL_AT_MS, Fault::Propose(members - 2));
            play(match injected_fault {
                InjectedFault::None => plan,
                InjectedFault::Crash => plan.with_fault(CRASH_AT_MS, Fault::Crash(members - 1)),
            })
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for ms in runs.iter().flat_map(|run| &run.commit_latencies_ms) {
        times.saturating_record(*ms);
    }
    ChangeTimes {
        members,
        what: match injected_fault {
            InjectedFault::None => "quiet",
            InjectedFault::Crash => "one dead",
        },
        changes: runs.iter().map(|run| run.commit_latencies_ms.len()).sum(),
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
        worst: times.max(),
        longest_gap: runs.iter().map(|run| run.longest_gap_ms).max().unwrap_or_default(),
    }
}
