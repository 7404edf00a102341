//! Why a configuration is refused: [`ConfigError`], and [`FleetError`] and [`PolicyConfigError`]
//! for the objects `fleet` and `fleet.policy`. Their texts are what operators read at a start or a
//! reload.

use thiserror::Error;

/// Why a configuration is refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("LB_CONFIG is not set: it names the configuration file")]
    Unset,
    /// The file cannot be read.
    #[error("configuration {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// A part of it is not what is expected there.
    #[error("configuration: {path}: {source}")]
    At {
        /// The path of its keys.
        path: String,
        /// What is there, and what should be.
        source: serde_json::Error,
    },
    /// A key that was given before is left out.
    #[error("configuration: the key {0} is missing")]
    Missing(String),
    /// The object `fleet` cannot be followed.
    #[error("configuration: fleet: {0}")]
    Fleet(#[from] FleetError),
    /// A field holds no legal value.
    #[error("configuration: {field} {value:?} is not {wanted}")]
    Field {
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// What it should be.
        wanted: &'static str,
    },
}

impl ConfigError {
    /// The error of a field whose value is not what is wanted there.
    pub(super) fn field(field: impl Into<String>, value: impl ToString, wanted: &'static str) -> ConfigError {
        ConfigError::Field { field: field.into(), value: value.to_string(), wanted }
    }

    /// The same error, of what lies below this key.
    pub(super) fn below(self, key: &str) -> ConfigError {
        match self {
            ConfigError::At { path, source } if path == "." => {
                ConfigError::At { path: key.to_owned(), source }
            }
            ConfigError::At { path, source } => ConfigError::At { path: format!("{key}.{path}"), source },
            ConfigError::Field { field, value, wanted } => {
                ConfigError::Field { field: format!("{key}.{field}"), value, wanted }
            }
            other => other,
        }
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for ConfigError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
        ConfigError::At { path: error.path().to_string(), source: error.into_inner() }
    }
}

/// Why the object `fleet` is refused.
#[derive(Debug, Error)]
pub enum FleetError {
    /// Membership cannot work so.
    #[error(transparent)]
    Membership(#[from] pinetrail_membership::SettingsError),
    /// Quota leases cannot work so.
    #[error(transparent)]
    Quota(#[from] pinetrail_quota::SettingsError),
    /// The guaranteed minimum of a proxy would be below one attempt.
    #[error("{field} {calls} is below 2 for each of size, {least}")]
    TooFewCalls {
        /// The key.
        field: &'static str,
        /// Its value.
        calls: u64,
        /// The least that it may be.
        least: u64,
    },
    /// Attempts may run longer than what is leased for them.
    #[error("call_ms {calls_ms} is below the longest GiveUp, {longest_ms}")]
    CallsOutliveLease {
        /// How long an attempt may run after the end of its lease, in ms.
        calls_ms: u64,
        /// How long the most patient class waits, in ms.
        longest_ms: f64,
    },
    /// The object `policy` in it is refused.
    #[error("policy: {0}")]
    Policy(#[from] PolicyConfigError),
}

/// Why the object `fleet.policy` is refused.
#[derive(Debug, Error)]
pub enum PolicyConfigError {
    /// Without founders there are no voters.
    #[error("it needs founders")]
    NoFounders,
    /// A key that means nothing here.
    #[error("unknown key {key:?}; the nearest known one is {nearest:?}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The known key that is nearest to it.
        nearest: String,
    },
    /// A part of it is not what is expected there.
    #[error(transparent)]
    Form(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Peers cannot connect to an unspecified address.
    #[error("others cannot reach an unspecified bind: advertise is needed")]
    UnspecifiedAddress,
    /// Its times cannot be kept.
    #[error(transparent)]
    Timing(#[from] pinetrail_policy_consensus::TimingError),
    /// Requests would wait too long for a change.
    #[error("hold_ms {hold_ms} is over {longest_ms}")]
    HoldTooLong {
        /// The value given, in ms.
        hold_ms: u64,
        /// The most that it may be, in ms.
        longest_ms: u64,
    },
    /// A voter must keep its votes over a restart.
    #[error("a founder needs state_dir: what it votes for must outlive it")]
    NoStateDir,
}
