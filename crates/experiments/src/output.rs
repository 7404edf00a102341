//! JSON files and progress bars for the experiments.

use crate::error::ExperimentError;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::path::Path;

/// Writes figures to a file as indented JSON.
pub(crate) fn write_json(path: &Path, figures: &impl Serialize) -> Result<(), ExperimentError> {
    let text = serde_json::to_string_pretty(figures)?;
    std::fs::write(path, text).map_err(ExperimentError::file(path))
}

/// Returns a progress bar of `length` steps, drawn by a template of `indicatif`.
pub(crate) fn progress_bar(length: u64, template: &str) -> Result<ProgressBar, ExperimentError> {
    let bar = ProgressBar::new(length);
    bar.set_style(ProgressStyle::with_template(template)?);
    Ok(bar)
}
