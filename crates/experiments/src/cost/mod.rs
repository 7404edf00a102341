//! The subcommand `cost`: the cost of a fleet for real processes and their clients, in alternating
//! rounds with and without a fleet. [`measure`] runs one round; `core` measures the membership core
//! in simulated time.

mod core;

use crate::error::ExperimentError;
use crate::load::{Load, LoadResult};
use crate::table;
use clap::Args;
use hdrhistogram::Histogram;
use pinetrail_test_harness::fleet::{Fleet, Options as FleetOptions};
use pinetrail_test_harness::{http_200, opaque, set_program, StubAction, StubServer};
use std::thread::sleep;
use std::time::Duration;

/// The options of `cost`.
#[derive(Args)]
pub(crate) struct Options {
    /// The number of proxies.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(2..=16))]
    members: u16,
    /// The number of rounds with a fleet, and as many without.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// The seconds without load in each round, and as many with load.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=60))]
    seconds: u64,
    /// The number of members of the fleet in simulated time.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1024))]
    model: u16,
    /// The number of requests a second under load.
    #[arg(long, default_value_t = 400)]
    rate: u64,
}

/// The time between the start of the proxies and the first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// The ticks of processor time in a second (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Whether the proxies of a round form a fleet.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FleetKind {
    WithFleet,
    WithoutFleet,
}

impl FleetKind {
    /// Returns the label of a round in the table.
    fn label(self) -> &'static str {
        match self {
            FleetKind::WithFleet => "with fleet",
            FleetKind::WithoutFleet => "without",
        }
    }
}

/// The times from a crash until the first and until the last other member detected it.
struct DetectionTimes {
    first_ms: u128,
    last_ms: u128,
}

/// The figures of one round.
struct Round {
    /// The mean processor time of a proxy without load, in percent of a core.
    idle_percent: f64,
    /// The mean processor time of all proxies for a request, in microseconds.
    us_per_request: f64,
    /// The median latency of requests.
    p50_ms: f64,
    /// The 99th percentile of the latencies of requests.
    p99_ms: f64,
    /// The times until the members detected a crash; none without a fleet.
    detection: Option<DetectionTimes>,
}

/// Measures the core in simulated time and all rounds, and prints their figures.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    let program_path = std::env::current_exe().map_err(ExperimentError::CurrentExe)?;
    set_program(program_path, &["proxy"]);
    let mut rows = Vec::new();
    for round in 0..options.rounds {
        for fleet_kind in [FleetKind::WithFleet, FleetKind::WithoutFleet] {
            let figures = measure(options, fleet_kind, round as u64)?;
            rows.push(vec![
                fleet_kind.label().to_owned(),
                format!("{:.3}", figures.idle_percent),
                format!("{:.0}", figures.us_per_request),
                format!("{:.2}", figures.p50_ms),
                format!("{:.2}", figures.p99_ms),
                figures.detection.map_or("-".to_owned(), |at| format!("{} {}", at.first_ms, at.last_ms)),
            ]);
        }
    }
    rows.sort_by(|a, b| a[0].cmp(&b[0]));
    core::print_core_cost(options.model);
    println!(
        "{} proxies, {} requests a second; each line is a round; rounds with and without a fleet alternated",
        options.members, options.rate
    );
    table::print(
        &["", "idle, % of a core", "CPU us/request", "p50 ms", "p99 ms", "crash detected ms (first, last)"],
        &rows,
    );
    Ok(true)
}

/// Runs one round: without load, under load, and with a crash if the proxies form a fleet.
fn measure(options: &Options, fleet_kind: FleetKind, seed: u64) -> Result<Round, ExperimentError> {
    let members = usize::from(options.members);
    let mut fleet = start(members, fleet_kind, seed)?;
    sleep(SETTLE_TIME);
    let duration = Duration::from_secs(options.seconds);
    let before = cpu_ticks(&fleet);
    sleep(duration);
    let idle = cpu_ticks(&fleet) - before;
    let proxies = (0..members).map(|member| fleet.process(member).client_address).collect();
    let before = cpu_ticks(&fleet);
    let result: LoadResult = Load::start(proxies, options.rate, duration, seed).wait();
    let busy = cpu_ticks(&fleet) - before;
    let mut histogram = Histogram::<u64>::new(3)?;
    for us in &result.latencies_us {
        histogram.record(*us)?;
    }
    let detection = match fleet_kind {
        FleetKind::WithFleet => Some(measure_detection(&mut fleet, members)),
        FleetKind::WithoutFleet => None,
    };
    Ok(Round {
        idle_percent: seconds(idle) / duration.as_secs_f64() / members as f64 * 100.0,
        us_per_request: seconds(busy) * 1e6 / result.requests.max(1) as f64,
        p50_ms: histogram.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: histogram.value_at_quantile(0.99) as f64 / 1000.0,
        detection,
    })
}

/// Starts the proxies of a round, and waits until all have joined if they form a fleet.
fn start(members: usize, fleet_kind: FleetKind, seed: u64) -> Result<Fleet, ExperimentError> {
    let node = || StubServer::node(|line| StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line))));
    let fleet_options = FleetOptions { seed, ..FleetOptions::with_members(members) };
    let origin = StubServer::origin(|_| http_200("v"));
    let mut fleet = Fleet::new(fleet_options, vec![node(), node()], origin);
    for member in 0..members {
        if fleet_kind == FleetKind::WithoutFleet {
            let mut config = fleet.config(member, &[]);
            config.as_object_mut().ok_or(ExperimentError::ConfigNotObject)?.remove("fleet");
            fleet.set_config(member, &config);
        }
        fleet.start(member);
    }
    if fleet_kind == FleetKind::WithFleet {
        let all: Vec<usize> = (0..members).collect();
        fleet.wait_until("all members have joined", |fleet| fleet.all_agree(&all));
    }
    Ok(fleet)
}

/// Kills the last member; returns how long the first and the last of the others took to detect the
/// crash.
fn measure_detection(fleet: &mut Fleet, members: usize) -> DetectionTimes {
    let killed_at = fleet.timeline.elapsed_ms();
    let dead = members - 1;
    fleet.kill(dead);
    let text = format!("fleet: {} at ", Fleet::name(dead));
    let knows = |fleet: &Fleet, member: usize| {
        fleet.timeline.first_match_of_both(&Fleet::name(member), &text, "-> failed", killed_at)
    };
    fleet.wait_until("the crash is detected", |fleet| (0..dead).all(|member| knows(fleet, member).is_some()));
    let times: Vec<u128> =
        (0..dead).filter_map(|member| knows(fleet, member)).map(|at| at - killed_at).collect();
    DetectionTimes {
        first_ms: times.iter().copied().min().unwrap_or(0),
        last_ms: times.iter().copied().max().unwrap_or(0),
    }
}

/// Converts processor time from ticks to seconds.
fn seconds(ticks: u64) -> f64 {
    ticks as f64 / TICKS_PER_SECOND
}

/// Returns the processor time of all running proxies in ticks, from `/proc/PID/stat`.
fn cpu_ticks(fleet: &Fleet) -> u64 {
    let of = |member: usize| {
        let path = format!("/proc/{}/stat", fleet.process(member).id());
        let stat = std::fs::read_to_string(path).unwrap_or_default();
        let fields: Vec<u64> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect();
        // Only numbers are kept, so the state after the name is skipped: user and system time are
        // the 11th and 12th number after it.
        fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
    };
    (0..fleet.options.members).filter(|member| fleet.is_running(*member)).map(of).sum()
}
