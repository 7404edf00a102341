//! Why a configuration is rejected: [`ConfigError`], and [`FleetConfigError`] and [`PolicyConfigError`]
//! for the objects `fleet` and `fleet.policy`. Operators read their texts at a start or a reload.

use thiserror::Error;

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("LB_CONFIG is not set: it names the configuration file")]
    PathNotSet,
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
    /// A value has another type than expected.
    #[error("configuration: {path}: {source}")]
    Deserialize {
        /// The path of its keys.
        path: String,
        /// The type that was found, and the expected one.
        source: serde_json::Error,
    },
    /// A key that was there before is missing.
    #[error("configuration: the key {0} is missing")]
    MissingKey(String),
    /// The object `fleet` is not valid.
    #[error("configuration: fleet: {0}")]
    Fleet(#[from] FleetConfigError),
    /// A field has a value that is not valid.
    #[error("configuration: {field} {value:?} is not {expected}")]
    InvalidValue {
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// The values that are valid.
        expected: &'static str,
    },
}

impl ConfigError {
    /// The error of a field whose value is not valid.
    pub(super) fn invalid_value(
        field: impl Into<String>,
        value: impl ToString,
        expected: &'static str,
    ) -> ConfigError {
        ConfigError::InvalidValue { field: field.into(), value: value.to_string(), expected }
    }

    /// Prefixes the path of the error with a key.
    pub(super) fn with_path_prefix(self, key: &str) -> ConfigError {
        match self {
            ConfigError::Deserialize { path, source } if path == "." => {
                ConfigError::Deserialize { path: key.to_owned(), source }
            }
            ConfigError::Deserialize { path, source } => {
                ConfigError::Deserialize { path: format!("{key}.{path}"), source }
            }
            ConfigError::InvalidValue { field, value, expected } => {
                ConfigError::InvalidValue { field: format!("{key}.{field}"), value, expected }
            }
            other => other,
        }
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for ConfigError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
        ConfigError::Deserialize { path: error.path().to_string(), source: error.into_inner() }
    }
}

/// Why the object `fleet` is rejected.
#[derive(Debug, Error)]
pub enum FleetConfigError {
    /// The settings of membership are not valid.
    #[error(transparent)]
    Membership(#[from] pinetrail_membership::SettingsError),
    /// The settings of quota leases are not valid.
    #[error(transparent)]
    Quota(#[from] pinetrail_quota::SettingsError),
    /// The guaranteed minimum of a proxy would be below one attempt.
    #[error("{field} {limit} is below 2 for each of size, {least}")]
    LimitTooLow {
        /// The key.
        field: &'static str,
        /// Its value.
        limit: u64,
        /// The least that it may be.
        least: u64,
    },
    /// Attempts may run longer than quota is reserved for them.
    #[error("call_ms {call_ms} is below the longest GiveUp, {longest_ms}")]
    AttemptsOutliveLease {
        /// How long an attempt may run after the end of its lease, in ms.
        call_ms: u64,
        /// The longest `GiveUp` of a class, in ms.
        longest_ms: f64,
    },
    /// The object `policy` in it is not valid.
    #[error("policy: {0}")]
    Policy(#[from] PolicyConfigError),
}

/// Why the object `fleet.policy` is rejected.
#[derive(Debug, Error)]
pub enum PolicyConfigError {
    /// The key `founders`, which lists the voters, is missing.
    #[error("it needs founders")]
    NoFounders,
    /// The object has no such key.
    #[error("unknown key {key:?}; the nearest known one is {nearest:?}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The most similar valid key.
        nearest: String,
    },
    /// A value has another type than expected.
    #[error(transparent)]
    Deserialize(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Peers cannot connect to an unspecified address.
    #[error("others cannot reach an unspecified bind: advertise is needed")]
    UnspecifiedAddress,
    /// Its durations contradict each other.
    #[error(transparent)]
    Timing(#[from] pinetrail_policy_consensus::TimingError),
    /// Requests would wait too long for a change.
    #[error("hold_ms {wait_ms} is over {longest_ms}")]
    ChangeWaitTooLong {
        /// The configured wait, in ms.
        wait_ms: u64,
        /// The longest valid one, in ms.
        longest_ms: u64,
    },
    /// A voter must store its votes, which a restart must not lose.
    #[error("a founder needs state_dir: what it votes for must outlive it")]
    NoStateDir,
}
