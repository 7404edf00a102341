//! Why an experiment cannot continue: [`ExperimentError`].

use crate::chart::ChartError;
use indicatif::style::TemplateError;
use pinetrail_test_harness::script::{Fault, ScriptError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why an experiment cannot continue. A violation that it finds is no error.
#[derive(Debug, Error)]
pub(crate) enum ExperimentError {
    /// The path of this program, which is started for each proxy, cannot be determined.
    #[error("the path of this program cannot be determined: {0}")]
    CurrentExe(#[source] io::Error),
    /// A backend of the soak cannot listen.
    #[error("soak: {0}")]
    SoakSetup(#[source] io::Error),
    /// The range of seeds is empty.
    #[error("--first {first} --last {last}: no seed to play; the last seed must not be below the first")]
    EmptySeedRange {
        /// The first seed.
        first: u64,
        /// The last seed.
        last: u64,
    },
    /// A signal handler cannot be registered.
    #[error("{0}")]
    SignalHandler(#[source] io::Error),
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A file is not a script of faults.
    #[error("{}: {source}", path.display())]
    Script {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: ScriptError,
    },
    /// A script cannot be played.
    #[error("{}: {source}", path.display())]
    Play {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: PlayError,
    },
    /// Plots cannot be drawn.
    #[error("{}: {source}", folder.display())]
    Plots {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: ChartError,
    },
    /// Figures cannot be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The threads cannot be started.
    #[error("{0}")]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// The progress bar's template is wrong.
    #[error("{0}")]
    ProgressBar(#[from] TemplateError),
    /// A histogram cannot be made.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A figure does not fit into a histogram.
    #[error("{0}")]
    HistogramRange(#[from] hdrhistogram::RecordError),
    /// A signal stopped it.
    #[error("stopped; its processes have ended")]
    Interrupted,
    /// A configuration is not a JSON object.
    #[error("a configuration is an object")]
    ConfigNotObject,
    /// The number of rates differs from that of clocks.
    #[error("three rates are needed")]
    RateCount,
    /// A rate is out of its range.
    #[error("a rate is 100 to 10000 thousandths")]
    RateRange,
}

impl ExperimentError {
    /// A file cannot be read or written: for `map_err`.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> ExperimentError + '_ {
        |source| ExperimentError::File { path: path.to_owned(), source }
    }
}

/// Why a script cannot be played in simulated time.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum PlayError {
    /// A fault is about a member that does not exist.
    #[error("{fault}: there are {members} members only, from 0 on")]
    NoSuchMember {
        /// The fault.
        fault: Fault,
        /// How many members there are.
        members: usize,
    },
    /// A fault is about a cache node.
    #[error("{0}: there are no cache nodes here")]
    NoCacheNodes(Fault),
}
