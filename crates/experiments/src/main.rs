//! Experiments with pinetrail. `pinetrail-experiments --help` lists them.

mod chart;
mod cost;
mod demo;
mod error;
mod load;
mod membership;
mod output;
mod policy;
mod quota;
mod soak;
mod table;

use clap::{Parser, Subcommand};
use pinetrail_test_harness::remove_run_folder;
use std::process::ExitCode;

/// Experiments with pinetrail: real processes on loopback, and models in simulated time.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Three proxies of a fleet with their backends, under load and faults: real processes on
    /// loopback.
    Demo(demo::Options),
    /// The membership of 3 to 1,000 proxies in simulated time, compared with heartbeats between all
    /// pairs.
    Members(membership::Options),
    /// Quotas of an origin by three rules, in simulated time: static, divided by the live proxies,
    /// leased.
    Shares(quota::Options),
    /// The guarantees of quotas, under many seeds of faults and in every order of a few faults.
    Proof(quota::proof::Options),
    /// Policy changes under faults from seeds, in simulated time, and how long they take.
    Policy(policy::Options),
    /// The cost of a fleet for real processes and their clients: with it and without it, in turn.
    Cost(cost::Options),
    /// Several real processes under mixes of faults from seeds, checked against the rules.
    Soak(soak::Options),
    /// One proxy, like the program `pinetrail`. The demo starts its processes with this.
    #[command(hide = true)]
    Proxy,
}

fn main() -> ExitCode {
    let passed = match Cli::parse().experiment {
        Experiment::Demo(options) => demo::run(&options),
        Experiment::Cost(options) => cost::run(&options),
        Experiment::Members(options) => membership::run(&options),
        Experiment::Policy(options) => policy::run(&options),
        Experiment::Proof(options) => quota::proof::run(&options),
        Experiment::Shares(options) => quota::run(&options),
        Experiment::Soak(options) => soak::run(&options),
        Experiment::Proxy => {
            // Without this signal the processes would outlive a demo that is killed.
            let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
            return pinetrail::net::lifecycle::run();
        }
    };
    remove_run_folder();
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("pinetrail-experiments: {error}");
            ExitCode::from(2)
        }
    }
}
