//! `pinetrail-experiments cost`: the cost of a fleet for real processes and their clients. Rounds
//! with a fleet and without it alternate.

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

/// What to compare.
#[derive(Args)]
pub(crate) struct Options {
    /// Proxies.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(2..=16))]
    members: u16,
    /// Rounds with and without a fleet.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Seconds without load, and with load, in each round.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=60))]
    seconds: u64,
    /// Members of the fleet in simulated time.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1024))]
    model: u16,
    /// Requests a second while there is load.
    #[arg(long, default_value_t = 400)]
    rate: u64,
}

/// How long proxies settle before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Ticks of processor time in a second (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Whether the proxies of a round are a fleet.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FleetKind {
    WithFleet,
    WithoutFleet,
}

impl FleetKind {
    /// Its name in the table.
    fn label(self) -> &'static str {
        match self {
            FleetKind::WithFleet => "with fleet",
            FleetKind::WithoutFleet => "without",
        }
    }
}

/// When members knew of a death, in ms after it.
struct DetectionTimes {
    first_ms: u128,
    last_ms: u128,
}

/// The figures of one round.
struct Round {
    /// The processor time of each proxy without load, in percent of a core.
    idle_percent: f64,
    /// The processor time for each request, in microseconds.
    us_per_request: f64,
    /// Latencies, in ms.
    p50_ms: f64,
    p99_ms: f64,
    /// None without a fleet.
    detection: Option<DetectionTimes>,
}

/// Measures and prints.
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
        "{} proxies, {} requests a second; each line a round, with and without in turn",
        options.members, options.rate
    );
    table::print(
        &["", "idle, % of a core", "CPU us/request", "p50 ms", "p99 ms", "death known ms (first, last)"],
        &rows,
    );
    Ok(true)
}

/// Measures one round.
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

/// Starts the proxies of a round, and waits until all have joined if they are a fleet.
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

/// Kills the last member; returns when the first and the last of the others knew of it.
fn measure_detection(fleet: &mut Fleet, members: usize) -> DetectionTimes {
    let killed_at = fleet.timeline.elapsed_ms();
    let dead = members - 1;
    fleet.kill(dead);
    let text = format!("fleet: {} at ", Fleet::name(dead));
    let knows = |fleet: &Fleet, member: usize| {
        fleet.timeline.first_match_of_both(&Fleet::name(member), &text, "-> failed", killed_at)
    };
    fleet.wait_until("all know", |fleet| (0..dead).all(|member| knows(fleet, member).is_some()));
    let times: Vec<u128> =
        (0..dead).filter_map(|member| knows(fleet, member)).map(|at| at - killed_at).collect();
    DetectionTimes {
        first_ms: times.iter().copied().min().unwrap_or(0),
        last_ms: times.iter().copied().max().unwrap_or(0),
    }
}

/// Processor time in seconds.
fn seconds(ticks: u64) -> f64 {
    ticks as f64 / TICKS_PER_SECOND
}

/// The processor time of all proxies, in ticks.
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
        // After the state, which is not a number, user and system time are the 11th and 12th field.
        fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
    };
    (0..fleet.options.members).filter(|member| fleet.is_running(*member)).map(of).sum()
}
