//! `pinetrail-experiments cost`: what a fleet costs real processes and their clients. Rounds with a
//! fleet and without it alternate.

mod core;

use crate::error::ExperimentError;
use crate::load::{Done, Load};
use crate::table;
use clap::Args;
use hdrhistogram::Histogram;
use pinetrail_test_harness::fleet::{Fleet, Options as FleetOptions};
use pinetrail_test_harness::{http_200, opaque, program, StubAction, StubServer};
use std::thread::sleep;
use std::time::Duration;

/// What to compare.
#[derive(Args)]
pub(crate) struct Options {
    /// Proxies.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(2..=16))]
    members: u16,
    /// Times that each of both is measured, in turn.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Seconds of quiet, and of load, in each round.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=60))]
    seconds: u64,
    /// Members of the fleet in simulated time of which one is timed.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1024))]
    model: u16,
    /// Requests a second while there is load.
    #[arg(long, default_value_t = 400)]
    rate: u64,
}

/// Of one round; milliseconds, and CPU in percent of a core for each proxy.
struct Round {
    idle: f64,
    us_a_request: f64,
    p50: f64,
    p99: f64,
    known: Option<(u128, u128)>,
}

/// Measures and prints.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    let own = std::env::current_exe().map_err(ExperimentError::OwnPath)?;
    program(own, &["proxy"]);
    let mut rows = Vec::new();
    for round in 0..options.rounds {
        for with in [true, false] {
            let seen = measure(options, with, round as u64)?;
            rows.push(vec![
                if with { "with fleet" } else { "without" }.to_owned(),
                format!("{:.3}", seen.idle),
                format!("{:.0}", seen.us_a_request),
                format!("{:.2}", seen.p50),
                format!("{:.2}", seen.p99),
                seen.known.map_or("-".to_owned(), |(first, last)| format!("{first} {last}")),
            ]);
        }
    }
    rows.sort_by(|a, b| a[0].cmp(&b[0]));
    core::print(options.model);
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

fn measure(options: &Options, with: bool, seed: u64) -> Result<Round, ExperimentError> {
    let node = || StubServer::node(|line| StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line))));
    let members = usize::from(options.members);
    let all: Vec<usize> = (0..members).collect();
    let mut fleet = Fleet::new(
        FleetOptions { seed, ..FleetOptions::of(members) },
        vec![node(), node()],
        StubServer::origin(|_| http_200("v")),
    );
    for member in &all {
        if !with {
            let mut config = fleet.config(*member, &[]);
            config.as_object_mut().ok_or(ExperimentError::ConfigIsNoObject)?.remove("fleet");
            fleet.set_config(*member, &config);
        }
        fleet.start(*member);
    }
    if with {
        fleet.wait_until("they meet", |fleet| fleet.all_agree(&all));
    }
    sleep(Duration::from_secs(1));
    let lasts = Duration::from_secs(options.seconds);
    let before = ticks(&fleet);
    sleep(lasts);
    let idle = ticks(&fleet) - before;
    let addresses = all.iter().map(|member| fleet.process(*member).client_address).collect();
    let before = ticks(&fleet);
    let done: Done = Load::start(addresses, options.rate, lasts, seed).wait();
    let busy = ticks(&fleet) - before;
    let mut histogram = Histogram::<u64>::new(3)?;
    for us in &done.latencies {
        histogram.record(*us)?;
    }
    let known = with.then(|| {
        let died = fleet.timeline.now();
        fleet.kill(members - 1);
        let name = Fleet::name(members - 1);
        let knows = |fleet: &Fleet, member: usize| {
            fleet.timeline.first_match_of_both(
                &Fleet::name(member),
                &format!("fleet: {name} at "),
                "-> failed",
                died,
            )
        };
        fleet.wait_until("all know", |fleet| (0..members - 1).all(|member| knows(fleet, member).is_some()));
        let times: Vec<u128> =
            (0..members - 1).filter_map(|member| knows(&fleet, member)).map(|at| at - died).collect();
        (times.iter().copied().min().unwrap_or(0), times.iter().copied().max().unwrap_or(0))
    });
    // A tick is a hundredth of a second.
    let seconds = |ticks: u64| ticks as f64 / 100.0;
    Ok(Round {
        idle: seconds(idle) / lasts.as_secs_f64() / members as f64 * 100.0,
        us_a_request: seconds(busy) * 1e6 / done.requests.max(1) as f64,
        p50: histogram.value_at_quantile(0.5) as f64 / 1000.0,
        p99: histogram.value_at_quantile(0.99) as f64 / 1000.0,
        known,
    })
}

/// The processor time of all proxies, in ticks.
fn ticks(fleet: &Fleet) -> u64 {
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
        // After the state, which is no number: user and system time are the 11th and 12th.
        fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
    };
    (0..fleet.options.members).filter(|member| fleet.runs(*member)).map(of).sum()
}
