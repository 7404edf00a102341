//! The subcommand `demo`: a fleet of three real proxies with their backends, clients and faults.
//! [`run`] starts the fleet, plays the faults and prints the figures.

mod figures;
mod notices;
mod servers;

use crate::error::ExperimentError;
use crate::load::Load;
use crate::output::{progress_bar, write_json};
use clap::Args;
use pinetrail_test_harness::fleet::{Fleet, Options as FleetOptions};
use pinetrail_test_harness::recorder::Recorder;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};
use pinetrail_test_harness::set_program;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The options of `demo`.
#[derive(Args)]
pub(crate) struct Options {
    /// The time for which clients send requests, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(8..=600))]
    seconds: u64,
    /// The seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of requests a second.
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u64).range(1..=2000))]
    rate: u64,
    /// The file to which all figures are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Print all events in the order of time.
    #[arg(long)]
    timeline: bool,
}

const PROXIES: usize = 3;
const NODES: usize = 3;
/// The interval at which the script is checked for a fault that is due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the demo; returns whether each request had exactly one final response and no rule was
/// violated.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    let program_path = std::env::current_exe().map_err(ExperimentError::CurrentExe)?;
    set_program(program_path, &["proxy"]);
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&interrupted))
            .map_err(ExperimentError::SignalHandler)?;
    }
    println!(
        "{PROXIES} proxies, {NODES} cache nodes, an origin and discovery, all on loopback; {} s",
        options.seconds
    );
    let nodes = (0..NODES).map(|_| servers::node()).collect();
    let fleet_options = FleetOptions { seed: options.seed, ..FleetOptions::with_members(PROXIES) };
    let mut fleet = Fleet::start_all(fleet_options, nodes, servers::origin());
    let all: Vec<usize> = (0..PROXIES).collect();
    fleet.wait_until("the proxies have joined the fleet", |fleet| fleet.all_agree(&all));
    record_config(&fleet);
    let script = script(options.seconds);
    let start = fleet.timeline.elapsed_ms();
    let addresses = all.iter().map(|proxy| fleet.process(*proxy).client_address).collect();
    let load = Load::start(addresses, options.rate, Duration::from_secs(options.seconds), options.seed);
    let was_completed = play(&mut fleet, &script, options.seconds, &interrupted)?;
    if !was_completed {
        load.cancel();
        return Err(ExperimentError::Interrupted);
    }
    let result = load.wait();
    fleet.wait_until("the proxies agree on the members after the faults", |fleet| fleet.all_agree(&all));
    let notices = notices::find(&fleet, &script, start);
    let figures = figures::collect(options, &result, &notices);
    figures::show(&figures, &notices);
    if options.timeline {
        println!("\n{}", fleet.timeline);
    }
    if let Some(path) = &options.json {
        write_json(path, &figures)?;
    }
    Ok(result.answered_exactly_once() && figures["rules_broken"].as_array().is_some_and(Vec::is_empty))
}

/// Records the configuration for the history checker. The addresses of the fault proxies in it are
/// replaced by those of the backends.
fn record_config(fleet: &Fleet) {
    let mut config = fleet.config(0, &[]);
    if let Some(listed) = config["known"]["instances"].as_array_mut() {
        for (node, entry) in fleet.nodes.iter().chain([&fleet.origin]).zip(listed) {
            entry["hostPort"] = json!(node.address.to_string());
        }
    }
    Recorder::current().record_active_config(&config.to_string());
}

/// Returns the faults of the demo: one proxy crashes and restarts, one network path is cut and
/// heals, and one cache node is down for a tenth of the run.
fn script(seconds: u64) -> Script {
    let step = |tenths: u64, fault| ScriptStep { at_ms: seconds * 100 * tenths, fault };
    let steps = vec![
        step(1, Fault::Kill(2)),
        step(2, Fault::Cut(0, 1)),
        step(5, Fault::Heal),
        step(6, Fault::Start(2)),
        step(7, Fault::NodeDown(0)),
        step(8, Fault::NodeUp(0)),
    ];
    Script { steps }
}

/// Plays the script and waits for the end of the run. Returns false if a signal interrupted it.
fn play(
    fleet: &mut Fleet,
    script: &Script,
    seconds: u64,
    interrupted: &AtomicBool,
) -> Result<bool, ExperimentError> {
    let bar = progress_bar(seconds * 10, "{bar:40} {elapsed}  {msg}")?;
    let started_at = Instant::now();
    let mut faults = script.steps.iter().peekable();
    while started_at.elapsed() < Duration::from_secs(seconds) {
        if interrupted.load(Ordering::Acquire) {
            bar.abandon();
            return Ok(false);
        }
        let now = started_at.elapsed().as_millis();
        while let Some(ScriptStep { fault, .. }) = faults.next_if(|step| u128::from(step.at_ms) <= now) {
            bar.set_message(fault.to_string());
            fleet.inject(fault);
        }
        bar.set_position(now as u64 / 100);
        sleep(POLL_INTERVAL);
    }
    bar.finish_and_clear();
    Ok(true)
}
