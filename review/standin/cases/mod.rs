//! The cases of the review, by name.

mod broken_value;
mod new_class;
mod stop_in_pipeline;

use crate::deployment::{Case, Verdict};

/// Runs the case of this name. The error says why a case could not run.
pub fn run(name: &str, case: &Case) -> Result<Verdict, String> {
    match name {
        "broken-value" => broken_value::run(case),
        "new-class" => new_class::run(case),
        "stop-in-pipeline" => stop_in_pipeline::run(case),
        _ => Err(format!("there is no case {name}")),
    }
}
