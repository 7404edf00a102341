//! The program `pinetrail-experiments`, which measures pinetrail and checks its guarantees under
//! faults. Each subcommand of [`Experiment`] is one experiment.

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

/// Measures pinetrail and checks its guarantees, with real processes on loopback and in simulated
/// time.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Runs three proxies of a fleet as real processes on loopback, under load and faults.
    Demo(demo::Options),
    /// Measures the membership of 2 to 1,024 proxies in simulated time, compared with heartbeats
    /// between all pairs.
    Members(membership::Options),
    /// Compares three rules for the quotas of an origin in simulated time: static, divided by the
    /// live proxies, leased.
    Shares(quota::Options),
    /// Checks the guarantees of quotas under many seeds of faults and in every order of a few
    /// faults.
    Proof(quota::proof::Options),
    /// Checks policy changes under seeded faults in simulated time, and measures how long they
    /// take.
    Policy(policy::Options),
    /// Measures the cost of a fleet for real processes and their clients, in alternating rounds
    /// with and without a fleet.
    Cost(cost::Options),
    /// Runs several real processes under seeded mixes of faults, and checks what their clients and
    /// backends observe against the rules.
    Soak(soak::Options),
    /// Runs one proxy, like the program `pinetrail`. The experiments start their proxies with this
    /// subcommand.
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
            // Without this signal the proxies would outlive an experiment that is killed.
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
