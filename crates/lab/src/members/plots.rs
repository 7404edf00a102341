//! The plots: SVG files.

use super::trials::Outcome;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// A line of points, by name.
type Line = (&'static str, Vec<(f64, f64)>);

/// Draws the time to detect and the bytes against size, and false alarms against loss.
pub fn draw(folder: &Path, outcomes: &[Outcome]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let by_size = |heartbeats: bool, of: fn(&Outcome) -> Option<f64>| -> Vec<(f64, f64)> {
        let one = |outcome: &Outcome| Some((outcome.members as f64, of(outcome)?));
        outcomes.iter().filter(|outcome| outcome.heartbeats == heartbeats).filter_map(one).collect()
    };
    let last = |outcome: &Outcome| outcome.known.map(|known| known.last.p99 as f64);
    let first = |outcome: &Outcome| outcome.known.map(|known| known.first.p99 as f64);
    let bytes = |outcome: &Outcome| outcome.known.map(|_| outcome.bytes_per_s);
    let largest = outcomes.iter().map(|outcome| outcome.members).max().unwrap_or(0);
    let by_loss = |heartbeats: bool| -> Vec<(f64, f64)> {
        let of = |outcome: &&Outcome| outcome.heartbeats == heartbeats && outcome.members == largest;
        let alarms = outcomes.iter().filter(of).filter_map(|outcome| outcome.alarms);
        alarms.map(|alarms| (f64::from(alarms.loss), alarms.members_failed as f64 / alarms.hours)).collect()
    };
    chart(
        &folder.join("detection.svg"),
        "ms from a death until it is known (p99)",
        "members",
        &[
            ("swim, the last", by_size(false, last)),
            ("swim, the first", by_size(false, first)),
            ("heartbeats, the last", by_size(true, last)),
        ],
    )?;
    chart(
        &folder.join("bytes.svg"),
        "bytes a second sent by each member",
        "members",
        &[("swim", by_size(false, bytes)), ("heartbeats", by_size(true, bytes))],
    )?;
    chart(
        &folder.join("false-alarms.svg"),
        "members taken for failed an hour that were alive",
        "loss in percent",
        &[("swim", by_loss(false)), ("heartbeats", by_loss(true))],
    )
}

fn chart(path: &Path, title: &str, x: &str, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    const COLOURS: [RGBColor; 3] = [BLUE, GREEN, RED];
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x).draw()?;
    for ((name, points), colour) in lines.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
        chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, colour.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
