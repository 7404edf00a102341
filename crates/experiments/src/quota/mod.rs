//! The subcommand `shares`: compares three rules for the quotas of proxies that fetch from one
//! origin. `day` simulates one scenario; `proof` is the subcommand of that name.

mod day;
pub(crate) mod proof;

use crate::chart::ChartError;
use crate::error::ExperimentError;
use crate::output::write_json;
use crate::{chart, table};
use clap::Args;
use day::{Event, Outcome, Rule, Scenario};
use rayon::prelude::*;
use std::path::PathBuf;

/// The rounding error that the sum of quotas may have.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The options of `shares`.
#[derive(Args)]
pub(crate) struct Options {
    /// The seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The sizes of the fleets.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 300], value_parser = clap::value_parser!(u16).range(10..=500))]
    members: Vec<u16>,
    /// The file to which all figures are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The folder to which the plots are written as SVG.
    #[arg(long)]
    plots: Option<PathBuf>,
}

/// Plays all scenarios under each rule, and prints and writes the figures. Returns false if the sum
/// of leased quotas exceeded the origin's capacity.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    let rules = [Rule::Static, Rule::Live, Rule::Leased];
    let events = [Event::Release, Event::Deaths, Event::Crash, Event::Cut, Event::Zone];
    let scenarios: Vec<Scenario> = options
        .members
        .iter()
        .flat_map(|members| events.map(|event| (usize::from(*members), event)))
        .flat_map(|(proxies, event)| rules.map(|rule| Scenario { proxies, event, rule, seed: options.seed }))
        .collect();
    let outcomes: Vec<Outcome> = scenarios.par_iter().map(Scenario::play).collect();
    print_outcomes(&outcomes);
    if let Some(path) = &options.json {
        write_json(path, &outcomes)?;
    }
    if let Some(folder) = &options.plots {
        draw_plots(folder, &outcomes)
            .map_err(|source| ExperimentError::Plots { folder: folder.clone(), source })?;
    }
    Ok(outcomes.iter().all(|outcome| outcome.rule != Rule::Leased || outcome.sum <= 1.0 + ROUNDING_TOLERANCE))
}

fn print_outcomes(outcomes: &[Outcome]) {
    let rows = outcomes.iter().map(|outcome| {
        vec![
            format!("{} {:?} {:?}", outcome.proxies, outcome.event, outcome.rule).to_lowercase(),
            format!("{:.1}", outcome.served_percent),
            format!("{:.2}", outcome.most),
            format!("{:.2}", outcome.fetches),
            outcome.over_ms.to_string(),
            outcome.falls.to_string(),
            format!("{:.3}", outcome.sum),
            outcome.grown_ms.map_or("-".to_owned(), |ms| ms.to_string()),
        ]
    });
    println!("Fetches served in time during the event, in percent; the most concurrent calls, and the most fetches begun in a second, as");
    println!("multiples of the origin's capacity; ms over the capacity; outages; the largest sum of quotas; ms from the last crash until");
    println!("the survivors had their quota");
    let heading =
        ["proxies, event, rule", "served", "calls", "fetches", "over", "outages", "sum", "recovered"];
    table::print(&heading, &rows.collect::<Vec<_>>());
}

fn draw_plots(folder: &std::path::Path, outcomes: &[Outcome]) -> Result<(), ChartError> {
    std::fs::create_dir_all(folder)?;
    for group in outcomes.chunks(3) {
        let name = format!("shares-{}-{:?}", group[0].proxies, group[0].event).to_lowercase();
        let lines =
            [("static", &group[0]), ("divided by the live proxies", &group[1]), ("leased", &group[2])];
        let lines = lines.map(|(name, outcome)| (name, outcome.shares.clone()));
        chart::draw_lines(&folder.join(format!("{name}.svg")), "sum of the active quotas", "s", &lines)?;
    }
    Ok(())
}
