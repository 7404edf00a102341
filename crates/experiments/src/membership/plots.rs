//! The plots of the measurements as SVG files: [`draw`].

use super::trials::Outcome;
use crate::chart::{draw_lines, ChartError};
use std::path::Path;

/// Draws the detection times and the traffic by size, and the rate of false alarms by loss in the
/// largest fleet.
pub(super) fn draw(folder: &Path, outcomes: &[Outcome]) -> Result<(), ChartError> {
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
    draw_lines(
        &folder.join("detection.svg"),
        "ms from a crash until its detection (p99)",
        "members",
        &[
            ("swim, last member", by_size(false, last)),
            ("swim, first member", by_size(false, first)),
            ("heartbeats, last member", by_size(true, last)),
        ],
    )?;
    draw_lines(
        &folder.join("bytes.svg"),
        "bytes per second sent by each member",
        "members",
        &[("swim", by_size(false, bytes)), ("heartbeats", by_size(true, bytes))],
    )?;
    draw_lines(
        &folder.join("false-alarms.svg"),
        "live members declared failed per hour",
        "loss in percent",
        &[("swim", by_loss(false)), ("heartbeats", by_loss(true))],
    )
}
