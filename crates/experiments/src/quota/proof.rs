//! `pinetrail-experiments proof`: checks the guarantees of quotas under many seeds of faults, and
//! in every order of a few faults.

use crate::error::ExperimentError;
use crate::output::progress_bar;
use clap::Args;
use indicatif::ParallelProgressIterator;
use pinetrail_simulation::model::QuotaModel;
use pinetrail_simulation::seeds;
use rayon::prelude::*;
use std::time::Instant;

/// How much is explored.
#[derive(Args)]
pub(crate) struct Options {
    /// Seeds of faults: five processes and 25 faults each.
    #[arg(long, default_value_t = 10_000)]
    seeds: u64,
    /// Faults of the model, in every order, among three processes.
    #[arg(long, default_value_t = 2)]
    faults: usize,
    /// Ticks of the model; a vote lasts two, a lease three.
    #[arg(long, default_value_t = 8)]
    ticks: u64,
    /// Rates of the three clocks, in thousandths. Two in a hundred is the stated bound.
    #[arg(long, value_delimiter = ',', default_values_t = [1000, 1010, 990])]
    rates: Vec<u64>,
    /// Threads; as many as there are cores if not given.
    #[arg(long)]
    threads: Option<usize>,
}

/// Explores, and prints the violations. False if there are any.
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
        "{} seeds in {:.1} s: {} failures",
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
        "{} faults in {} ticks: {} states, {} of them different, in {:.1} s: {} properties do not hold",
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
