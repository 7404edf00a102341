//! `pinetrail-experiments members`: the membership as it runs in service, in simulated time over a
//! simulated network.

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

/// What to measure.
#[derive(Args)]
pub(crate) struct Options {
    /// Random numbers begin with this: the same seed gives the same digest.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Sizes of fleets.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 30, 300], value_parser = clap::value_parser!(u16).range(2..=1024))]
    members: Vec<u16>,
    /// Deaths watched at each size, one after the other.
    #[arg(long, default_value_t = 20)]
    deaths: usize,
    /// Shares of datagrams lost while false alarms are counted, in percent.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 5, 20], value_parser = clap::value_parser!(u8).range(0..=90))]
    loss: Vec<u8>,
    /// Simulated minutes in which false alarms are counted, for each size and loss; every member
    /// is paused for 200 to 450 ms every 1.7 to 6 s.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// Leaves the baseline out.
    #[arg(long)]
    no_baseline: bool,
    /// Instead of measuring, plays a script of faults on the first of the sizes and prints the
    /// events of each member. A line of it is a time in ms and a fault: kill N, start N, stop N,
    /// go-on N, upgrade N, cut N N, sides N,N|N,N, heal, loss PERCENT.
    #[arg(long)]
    script: Option<PathBuf>,
    /// Threads; as many as there are cores if not given.
    #[arg(long)]
    threads: Option<usize>,
    /// Where to write all figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// A folder for the plots (SVG).
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

/// Measures, prints and writes the figures.
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

/// Plays a script on a fleet of the first size and prints what happened.
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

/// The most simulated minutes of one trial. Shorter trials are not worth their start: the join of
/// 300 members costs as much processor time as an hour without faults.
const MAX_TRIAL_MINUTES: u64 = 60;

/// The trials, in a fixed order. Long ones are divided into trials that run side by side. The
/// baseline, whose datagrams grow with the square of the size, has fewer and shorter trials in
/// fleets of over 100, and none in those of over 300.
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
    println!("ms from the last start until all know all; after a death, until the first and until the last knows (p50, p99,");
    println!("worst); what each member sends while nothing happens");
    let heading = ["members", "met", "first knows", "last knows", "bytes/s", "datagrams/s"];
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
    println!("\nMembers taken for failed that were alive, with pauses of 200 to 450 ms every 1.7 to 6 s");
    table::print(&["members", "loss", "hours", "false", "false/h"], &rows.collect::<Vec<_>>());
    println!("\nseed {}, digest {}", figures.seed, figures.digest);
}
