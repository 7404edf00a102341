//! The subcommand `proof`: checks the guarantees of quotas under many seeds of faults, and in every
//! order of a few faults.

use crate::error::ExperimentError;
use crate::output::progress_bar;
use clap::Args;
use indicatif::ParallelProgressIterator;
use pinetrail_simulation::model::QuotaModel;
use pinetrail_simulation::seeds;
use rayon::prelude::*;
use std::time::Instant;

/// The options of `proof`.
#[derive(Args)]
pub(crate) struct Options {
    /// The number of seeds of faults, with five processes and 25 faults each.
    #[arg(long, default_value_t = 10_000)]
    seeds: u64,
    /// The number of faults of the model, which are played in every order among three processes.
    #[arg(long, default_value_t = 2)]
    faults: usize,
    /// The number of ticks of the model. A vote lasts two ticks, a lease three.
    #[arg(long, default_value_t = 8)]
    ticks: u64,
    /// The rates of the three clocks, in thousandths. The guarantees are stated for clocks that
    /// differ by at most two in a hundred.
    #[arg(long, value_delimiter = ',', default_values_t = [1000, 1010, 990])]
    rates: Vec<u64>,
    /// The number of threads; by default the number of cores.
    #[arg(long)]
    threads: Option<usize>,
}

/// Plays all seeds, explores the model and prints the violations. Returns false if there are any.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    let rates = <[u64; 3]>::try_from(options.rates.as_slice()).map_err(|_| ExperimentError::RateCount)?;
    if !rates.iter().all(|rate| (100..=10_000).contains(rate)) {
        return Err(ExperimentError::RateRange);
    }
    let threads = options.threads.unwrap_or_else(rayon::current_num_threads);
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build()?;
    let bar = progress_bar(options.seeds, "{bar:40} {pos}/{len} seeds, {elapsed}")?;
    let started_at = Instant::now();
    let failures: Vec<String> = pool.install(|| {
        let seeds = (0..options.seeds).into_par_iter().progress_with(bar.clone());
        seeds
            .filter_map(|seed| seeds::play(seed).err().map(|error| format!("seed {seed}: {error}")))
            .collect()
    });
    bar.finish_and_clear();
    println!(
        "{} seeds in {:.1} s: {} with a violation",
        options.seeds,
        started_at.elapsed().as_secs_f64(),
        failures.len()
    );
    for line in failures.iter().take(10) {
        println!("  {line}");
    }
    let started_at = Instant::now();
    let exploration = QuotaModel::new(options.faults, options.ticks, rates).explore(threads);
    println!(
        "{} faults in {} ticks: {} states, {} of them unique, in {:.1} s: {} properties violated",
        options.faults,
        options.ticks,
        exploration.states,
        exploration.unique_states,
        started_at.elapsed().as_secs_f64(),
        exploration.violations.len()
    );
    for line in &exploration.violations {
        println!("  {line}");
    }
    Ok(failures.is_empty() && exploration.violations.is_empty())
}
