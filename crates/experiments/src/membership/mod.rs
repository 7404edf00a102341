//! The subcommand `members`: measures the membership as it runs in service, in simulated time over
//! a simulated network. `trials` has the measurements, `script` plays a script of faults instead.

mod plots;
mod script;
mod trials;

use crate::error::ExperimentError;
use crate::output::{progress_bar, write_json};
use crate::table;
use clap::Args;
use indicatif::ParallelProgressIterator;
use pinetrail_test_harness::script::Script;
use rayon::prelude::*;
use serde::Serialize;
use std::path::{Path, PathBuf};
use trials::{Outcome, Trial, TrialKind};

/// The options of `members`.
#[derive(Args)]
pub(crate) struct Options {
    /// The seed of the random choices: the same seed gives the same digest.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The sizes of the fleets.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 30, 300], value_parser = clap::value_parser!(u16).range(2..=1024))]
    members: Vec<u16>,
    /// The number of crashes at each size, one after the other.
    #[arg(long, default_value_t = 20)]
    deaths: usize,
    /// The percentages of datagrams that are lost while false alarms are counted.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 5, 20], value_parser = clap::value_parser!(u8).range(0..=90))]
    loss: Vec<u8>,
    /// The simulated minutes in which false alarms are counted, for each size and loss; every
    /// member is paused for 200 to 450 ms every 1.7 to 6 s.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// Do not measure the baseline, heartbeats between all pairs.
    #[arg(long)]
    no_baseline: bool,
    /// Instead of measuring, play a script of faults on a fleet of the first size and print the
    /// events of each member. Each line of the script is a time in ms and a fault: kill N, start N,
    /// stop N, go-on N, upgrade N, cut N N, sides N,N|N,N, heal, loss PERCENT.
    #[arg(long)]
    script: Option<PathBuf>,
    /// The number of threads; by default the number of cores.
    #[arg(long)]
    threads: Option<usize>,
    /// The file to which all figures are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The folder to which the plots are written as SVG.
    #[arg(long)]
    plots: Option<PathBuf>,
}

/// All figures of a run.
#[derive(Serialize)]
struct Figures {
    seed: u64,
    digest: String,
    outcomes: Vec<Outcome>,
}

/// Plays the script if one is given; otherwise plays all trials, and prints and writes the figures.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    if let Some(path) = &options.script {
        play_script(path, options)?;
        return Ok(true);
    }
    let trials = plan(options);
    let pool = rayon::ThreadPoolBuilder::new().num_threads(options.threads.unwrap_or(0)).build()?;
    let bar = progress_bar(trials.len() as u64, "{bar:40} {pos}/{len} trials, {elapsed}")?;
    let outcomes: Vec<Outcome> =
        pool.install(|| trials.par_iter().progress_with(bar.clone()).map(Trial::play).collect());
    bar.finish_and_clear();
    let all: Vec<u8> = outcomes.iter().flat_map(|outcome| outcome.digest.to_be_bytes()).collect();
    let outcomes = trials::merge_parts(outcomes);
    let figures = Figures { seed: options.seed, digest: format!("{:08x}", crc32c::crc32c(&all)), outcomes };
    print_figures(&figures);
    if let Some(path) = &options.json {
        write_json(path, &figures)?;
    }
    if let Some(folder) = &options.plots {
        plots::draw(folder, &figures.outcomes)
            .map_err(|source| ExperimentError::Plots { folder: folder.clone(), source })?;
    }
    Ok(true)
}

/// Plays a script on a fleet of the first size and prints its log.
fn play_script(path: &Path, options: &Options) -> Result<(), ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(ExperimentError::file(path))?;
    let script =
        Script::parse(&text).map_err(|source| ExperimentError::Script { path: path.to_owned(), source })?;
    let members = options.members.first().copied().unwrap_or(5);
    let lines = script::play(&script, usize::from(members), options.seed)
        .map_err(|source| ExperimentError::Play { path: path.to_owned(), source })?;
    for line in &lines {
        println!("{line}");
    }
    Ok(())
}

/// The maximum number of simulated minutes of one trial. Shorter trials would spend most of their
/// time on the start: the join of 300 members costs as much processor time as an hour without
/// faults.
const MAX_TRIAL_MINUTES: u64 = 60;

/// Returns the trials in a fixed order. Long trials are divided into parts that run in parallel.
/// The number of datagrams of the baseline grows with the square of the size, so the baseline has
/// fewer and shorter trials in fleets of over 100 members, and none in fleets of over 300.
fn plan(options: &Options) -> Vec<Trial> {
    let mut trials = Vec::new();
    let mut seed = options.seed.wrapping_mul(1_000_003);
    let mut add = |members: u16, kind: TrialKind| {
        seed = seed.wrapping_add(1);
        trials.push(Trial { members: usize::from(members), kind, seed });
    };
    for members in &options.members {
        for heartbeats in [false, true] {
            let (deaths, minutes) = match (heartbeats, members) {
                (true, _) if options.no_baseline => continue,
                (true, 101..=300) => (options.deaths.min(3), options.minutes.min(1)),
                (true, 301..) => continue,
                _ => (options.deaths, options.minutes),
            };
            add(*members, TrialKind::Deaths { heartbeats, deaths });
            for loss in &options.loss {
                let mut left = minutes;
                while left > 0 {
                    add(
                        *members,
                        TrialKind::FalseAlarms {
                            heartbeats,
                            loss: *loss,
                            minutes: left.min(MAX_TRIAL_MINUTES),
                        },
                    );
                    left -= left.min(MAX_TRIAL_MINUTES);
                }
            }
        }
    }
    trials
}

fn print_figures(figures: &Figures) {
    let detector = |heartbeats: bool| if heartbeats { "heartbeats" } else { "swim" };
    let rows = figures.outcomes.iter().filter_map(|outcome| {
        let known = outcome.known.as_ref()?;
        let of = |times: &trials::TimeSummary| format!("{} {} {}", times.p50, times.p99, times.worst);
        Some(vec![
            format!("{} {}", outcome.members, detector(outcome.heartbeats)),
            outcome.met_within_ms.map_or("-".to_owned(), |ms| ms.to_string()),
            of(&known.first),
            of(&known.last),
            format!("{:.0}", outcome.bytes_per_s),
            format!("{:.1}", outcome.datagrams_per_s),
        ])
    });
    println!("ms from the last start until all members know all; ms from a crash until the first and the last member detect it (p50, p99,");
    println!("worst); traffic sent by each member without faults");
    let heading = ["members", "joined", "first detects", "last detects", "bytes/s", "datagrams/s"];
    table::print(&heading, &rows.collect::<Vec<_>>());
    let rows = figures.outcomes.iter().filter_map(|outcome| {
        let alarms = outcome.alarms.as_ref()?;
        Some(vec![
            format!("{} {}", outcome.members, detector(outcome.heartbeats)),
            format!("{}%", alarms.loss),
            format!("{:.1}", alarms.hours),
            alarms.members_failed.to_string(),
            format!("{:.2}", alarms.members_failed as f64 / alarms.hours),
        ])
    });
    println!("\nLive members declared failed, with pauses of 200 to 450 ms every 1.7 to 6 s");
    table::print(&["members", "loss", "hours", "false", "false/h"], &rows.collect::<Vec<_>>());
    println!("\nseed {}, digest {}", figures.seed, figures.digest);
}
