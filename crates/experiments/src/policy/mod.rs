//! `pinetrail-experiments policy`: policy consensus under faults from many seeds, and how long a
//! change takes without any.

use crate::error::ExperimentError;
use crate::output::write_json;
use crate::table;
use clap::Args;
use hdrhistogram::Histogram;
use pinetrail_simulation::policy_consensus::{play, play_seed, Fault, OutcomeCounts, Plan, Run, Verdict};
use pinetrail_test_harness::fleet::{Fleet, Options as FleetOptions};
use pinetrail_test_harness::policy::{run_under_faults, run_with_reloads, PolicyRun};
use pinetrail_test_harness::{http_200, program, StubServer};
use rayon::prelude::*;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// What to play.
#[derive(Args)]
pub(crate) struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Seeds of faults to play.
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// Sizes of fleets in which changes are timed.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 30], value_parser = clap::value_parser!(u16).range(3..=60))]
    members: Vec<u16>,
    /// Changes timed at each size.
    #[arg(long, default_value_t = 20)]
    changes: u64,
    /// Seeds of faults to play with real processes on loopback, and hangups in turn as a baseline.
    #[arg(long, default_value_t = 0)]
    processes: u64,
    /// Print what was logged in the run of the first seed.
    #[arg(long)]
    log: bool,
    /// Where to write all figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// What many seeds showed.
#[derive(Serialize)]
struct Seeds {
    first: u64,
    seeds: u64,
    /// Each seed in which something was wrong, and what.
    wrong: Vec<(u64, String)>,
    taken: u32,
    refused: u32,
    abandoned: u32,
    unknown: u32,
}

/// How long changes took from the proposal to the first request under them, in ms.
#[derive(Serialize)]
struct Took {
    members: usize,
    what: &'static str,
    changes: usize,
    p50: u64,
    p99: u64,
    worst: u64,
    /// The longest that a member admitted nothing.
    longest_gap: u64,
}

#[derive(Serialize)]
struct All {
    seeds: Seeds,
    took: Vec<Took>,
}

/// Plays, prints and writes; an error says what could not be. False if anything was wrong.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    if options.log {
        for line in &play_seed(options.seed).log {
            println!("{line}");
        }
    }
    let runs: Vec<Run> =
        (options.seed..options.seed + options.seeds).into_par_iter().map(play_seed).collect();
    let wrong = runs.iter().filter(|run| run.verdict != Verdict::Good);
    let sum = |of: fn(&OutcomeCounts) -> u32| runs.iter().map(|run| of(&run.outcomes)).sum();
    let seeds = Seeds {
        first: options.seed,
        seeds: options.seeds,
        wrong: wrong.map(|run| (run.plan.seed, format!("{:?}", run.verdict))).collect(),
        taken: sum(|counts| counts.committed),
        refused: sum(|counts| counts.rejected),
        abandoned: sum(|counts| counts.abandoned),
        unknown: sum(|counts| counts.unknown),
    };
    println!(
        "{} seeds from {}: {} wrong; changes taken {}, refused {}, abandoned {}, never begun {}",
        seeds.seeds,
        seeds.first,
        seeds.wrong.len(),
        seeds.taken,
        seeds.refused,
        seeds.abandoned,
        seeds.unknown
    );
    for (seed, why) in seeds.wrong.iter().take(20) {
        println!("seed {seed}: {why}");
    }
    let took: Vec<Took> = options
        .members
        .iter()
        .flat_map(|members| {
            [false, true].map(|dead| timed(usize::from(*members), dead, options.seed, options.changes))
        })
        .collect();
    let rows = took.iter().map(|took| {
        let figures = [took.changes as u64, took.p50, took.p99, took.worst, took.longest_gap];
        let first = format!("{} {}", took.members, took.what);
        [first].into_iter().chain(figures.map(|figure| figure.to_string())).collect::<Vec<_>>()
    });
    println!("ms of simulated time from a proposal to the first request under it (permits of 800 ms), ways of 1 to 3 ms");
    let heading = ["members", "changes", "p50", "p99", "worst", "longest gap"];
    table::print(&heading, &rows.collect::<Vec<_>>());
    let good = seeds.wrong.is_empty() & real(options.seed, options.processes)?;
    if let Some(path) = &options.json {
        write_json(path, &All { seeds, took })?;
    }
    Ok(good)
}

/// The same with four real processes, of which three found; false if anything was wrong.
fn real(first: u64, seeds: u64) -> Result<bool, ExperimentError> {
    if seeds == 0 {
        return Ok(true);
    }
    let own = std::env::current_exe().map_err(ExperimentError::OwnPath)?;
    program(own, &["proxy"]);
    let parties = || {
        (vec![StubServer::full_node("v"), StubServer::full_node("v")], StubServer::origin(|_| http_200("v")))
    };
    let mut all = Vec::new();
    for seed in first..first + seeds {
        let (nodes, origin) = parties();
        let options = FleetOptions { seed, founders: vec![0, 1, 2], policy: true, ..FleetOptions::of(4) };
        all.push(run_under_faults(Fleet::start_all(options, nodes, origin), seed));
    }
    let wrong: Vec<u64> = all.iter().filter(|one| one.violations > 0).map(|one| one.seed).collect();
    let sum = |of: fn(&PolicyRun) -> u64| all.iter().map(of).sum::<u64>();
    println!(
        "real processes: {seeds} seeds from {first}, wrong {wrong:?}; {} requests decided, {} refused; the change taken in {}",
        sum(|one| one.decided as u64),
        sum(|one| one.rejected),
        sum(|one| u64::from(one.version == 2))
    );
    let (nodes, origin) = parties();
    let base =
        run_with_reloads(Fleet::start_all(FleetOptions::of(4), nodes, origin), Duration::from_millis(200));
    println!(
        "baseline, SIGHUP at each of four in turn, 200 ms apart: {} requests show two policies, for {:.0} ms",
        base.violations, base.overlap_ms
    );
    Ok(wrong.is_empty())
}

/// Changes of quiet fleets, or of such in which a member that does not found dies just before.
fn timed(members: usize, dead: bool, seed: u64, changes: u64) -> Took {
    let runs: Vec<Run> = (seed..seed + changes)
        .into_par_iter()
        .map(|seed| {
            let plan =
                Plan::quiet(seed, members, 5.min(members)).with_fault(4000, Fault::Propose(members - 2));
            play(if dead { plan.with_fault(3950, Fault::Crash(members - 1)) } else { plan })
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    for ms in runs.iter().flat_map(|run| &run.commit_latencies_ms) {
        times.saturating_record(*ms);
    }
    Took {
        members,
        what: if dead { "one dead" } else { "quiet" },
        changes: runs.iter().map(|run| run.commit_latencies_ms.len()).sum(),
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
        worst: times.max(),
        longest_gap: runs.iter().map(|run| run.longest_gap_ms).max().unwrap_or_default(),
    }
}
