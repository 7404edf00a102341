//! The errors that end an experiment: [`ExperimentError`].

use crate::chart::ChartError;
use indicatif::style::TemplateError;
use pinetrail_test_harness::script::{Fault, ScriptError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error that ends an experiment. Violations of rules are results, not errors.
#[derive(Debug, Error)]
pub(crate) enum ExperimentError {
    /// The path of this program, which is started for each proxy, cannot be determined.
    #[error("the path of this program cannot be determined: {0}")]
    CurrentExe(#[source] io::Error),
    /// A backend of the soak cannot listen, or the folder of its request logs cannot be created.
    #[error("the soak cannot be set up: {0}")]
    SoakSetup(#[source] io::Error),
    /// The range of seeds is empty.
    #[error("--first {first} --last {last}: no seed to play; --last must not be below --first")]
    EmptySeedRange {
        /// The first seed.
        first: u64,
        /// The last seed.
        last: u64,
    },
    /// A signal handler cannot be registered.
    #[error("the handler of SIGINT or SIGTERM cannot be registered: {0}")]
    SignalHandler(#[source] io::Error),
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not a valid script of faults.
    #[error("{}: {source}", path.display())]
    Script {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: ScriptError,
    },
    /// A script cannot be played in simulated time.
    #[error("{}: {source}", path.display())]
    Play {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: PlayError,
    },
    /// Plots cannot be drawn.
    #[error("plots cannot be drawn in {}: {source}", folder.display())]
    Plots {
        /// The path of the folder.
        folder: PathBuf,
        /// The cause.
        source: ChartError,
    },
    /// Figures cannot be written as JSON.
    #[error("figures cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The thread pool cannot be started.
    #[error("the thread pool cannot be started: {0}")]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// The template of a progress bar is invalid.
    #[error("the template of the progress bar is invalid: {0}")]
    ProgressBar(#[from] TemplateError),
    /// A histogram of latencies cannot be created.
    #[error("the histogram of latencies cannot be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A latency is outside the range of its histogram.
    #[error("a latency cannot be recorded in the histogram: {0}")]
    HistogramRange(#[from] hdrhistogram::RecordError),
    /// SIGINT or SIGTERM interrupted the experiment.
    #[error("interrupted by SIGINT or SIGTERM; the processes of the experiment have ended")]
    Interrupted,
    /// The configuration of a proxy is not a JSON object.
    #[error("the configuration of a proxy is not a JSON object")]
    ConfigNotObject,
    /// The number of clock rates differs from the number of clocks.
    #[error("--rates: three rates are needed, one for each clock")]
    RateCount,
    /// A clock rate is out of range.
    #[error("--rates: each rate must be 100 to 10000 thousandths")]
    RateRange,
}

impl ExperimentError {
    /// Returns a function for `map_err` that adds the path of a file to an I/O error.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> ExperimentError + '_ {
        |source| ExperimentError::File { path: path.to_owned(), source }
    }
}

/// The reason for which a script cannot be played in simulated time.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum PlayError {
    /// A fault names a member that does not exist.
    #[error("{fault}: no such member; there are {members} members only, numbered from 0")]
    NoSuchMember {
        /// The fault.
        fault: Fault,
        /// The number of members.
        members: usize,
    },
    /// A fault names a cache node.
    #[error("{0}: a fleet in simulated time has no cache nodes")]
    NoCacheNodes(Fault),
}
