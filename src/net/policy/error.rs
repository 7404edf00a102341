//! The errors of the fleet's policy at this process. Operators and other processes read the texts
//! of [`PolicyTextError`] and [`RestoreError`], so these texts must not change.

use crate::time::TimeSpan;
use pinetrail_config::ConfigError;
use std::io;
use thiserror::Error;

/// An error that prevents this process from taking part in policy consensus.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PolicyError {
    /// The settings in the file of this process, which may have to be the initial policy of the
    /// fleet, are invalid as a policy.
    #[error("settings cannot be the fleet's policy: {0}")]
    InitialPolicy(#[from] PolicyTextError),
    /// The policy thread cannot be started.
    #[error("its thread cannot be started: {0}")]
    Thread(#[source] io::Error),
    /// The tokio runtime of the policy thread cannot be built.
    #[error("its runtime cannot be built: {0}")]
    Runtime(#[source] io::Error),
    /// The policy thread ended before its runtime was ready.
    #[error("its thread ended at its start")]
    ThreadEnded,
}

/// The reason why a text cannot become the active policy of this process.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PolicyTextError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Json(#[source] serde_json::Error),
    /// The text is not a JSON object.
    #[error("settings: no object")]
    NotAnObject,
    /// The text has a key that this program does not know.
    #[error("settings.{key}: this program does not know it; the nearest known one is {nearest:?}")]
    UnknownKey {
        /// The unknown key.
        key: String,
        /// The known key that is most similar.
        nearest: String,
    },
    /// The settings are invalid, or cannot replace the active ones while the process runs.
    #[error(transparent)]
    Settings(#[from] ConfigError),
    /// A class's client timeout exceeds `fleet.call_ms`, the time for which quota stays reserved
    /// after its lease has expired.
    #[error("Grades: the longest GiveUp, {}, is over fleet.call_ms, {call_limit_ms}", client_timeout.as_ms())]
    ClientTimeoutOverCallLimit {
        /// The longest client timeout of a class.
        client_timeout: TimeSpan,
        /// The longest duration of an attempt in this fleet (`fleet.call_ms`), in ms.
        call_limit_ms: u64,
    },
}

/// The reason why the approved version cannot be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum RestoreError {
    /// This process has not received the text of the approved version.
    #[error("what was approved is not known here")]
    ApprovedUnknown,
    /// The version that is active at this process is not the approved one.
    #[error("this process does not have the approved version: it catches up by itself")]
    OtherVersion,
}

#[cfg(test)]
mod tests;
