//! Defines the errors of rejected configurations: [`ConfigError`], with [`FleetConfigError`] and
//! [`PolicyConfigError`] for the objects `fleet` and `fleet.policy`. Operators read the texts at a
//! start or a reload.

use thiserror::Error;

/// The reason why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable that names the file is not set.
    #[error("LB_CONFIG is not set: it names the configuration file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("configuration {path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The reason why the file cannot be read.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// A value cannot be deserialized: its type is wrong, or a key is missing or unknown.
    #[error("configuration: {path}: {source}")]
    Deserialize {
        /// The keys that lead to the value.
        path: String,
        /// The reason why the value cannot be deserialized.
        source: serde_json::Error,
    },
    /// A newer configuration leaves out a key of the active one.
    #[error("configuration: the key {0} is missing")]
    MissingKey(String),
    /// The object `fleet` is not valid.
    #[error("configuration: fleet: {0}")]
    Fleet(#[from] FleetConfigError),
    /// A field has a value that is not valid.
    #[error("configuration: {field} {value:?} is not {expected}")]
    InvalidValue {
        /// The keys that lead to the field.
        field: String,
        /// The value of the field.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
}

impl ConfigError {
    /// Creates the error of a field whose value is not valid.
    pub(super) fn invalid_value(
        field: impl Into<String>,
        value: impl ToString,
        expected: &'static str,
    ) -> ConfigError {
        ConfigError::InvalidValue { field: field.into(), value: value.to_string(), expected }
    }

    /// Adds a key to the front of the error's path, if the error has a path.
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

/// The reason why the object `fleet` is rejected.
#[derive(Debug, Error)]
pub enum FleetConfigError {
    /// The settings of membership are not valid.
    #[error(transparent)]
    Membership(#[from] pinetrail_membership::SettingsError),
    /// The settings of quota leases are not valid.
    #[error(transparent)]
    Quota(#[from] pinetrail_quota::SettingsError),
    /// A limit on attempts in flight is so low that the guaranteed minimum of a proxy would be
    /// below one attempt.
    #[error("{field} {limit} is below the minimum of {least}, which is 2 for each proxy of the fleet")]
    LimitTooLow {
        /// The key of the limit.
        field: &'static str,
        /// The value of the limit, in attempts in flight.
        limit: u64,
        /// The lowest valid value, in attempts in flight.
        least: u64,
    },
    /// Attempts may run for longer than quota is reserved for them.
    #[error("call_ms {call_ms} is below the longest GiveUp, {longest_ms} ms")]
    AttemptsOutliveLease {
        /// The time for which quota stays reserved for attempts after the end of its lease, in ms.
        call_ms: u64,
        /// The longest `GiveUp` of a class, in ms.
        longest_ms: f64,
    },
    /// The object `fleet.policy` is not valid.
    #[error("policy: {0}")]
    Policy(#[from] PolicyConfigError),
}

/// The reason why the object `fleet.policy` is rejected.
#[derive(Debug, Error)]
pub enum PolicyConfigError {
    /// The key `fleet.founders`, which lists the voters, is missing.
    #[error("fleet.founders is missing: the policy needs voters")]
    NoFounders,
    /// The object contains a key that is not valid.
    #[error("unknown key {key:?}; the nearest known one is {nearest:?}")]
    UnknownKey {
        /// The key that is not valid.
        key: String,
        /// The most similar valid key.
        nearest: String,
    },
    /// A value cannot be deserialized: its type is wrong, or a key is missing.
    #[error(transparent)]
    Deserialize(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The address for peers is unspecified, so that no peer could connect to it.
    #[error("peers cannot connect to an unspecified address: set advertise")]
    UnspecifiedAddress,
    /// The durations of the policy contradict each other.
    #[error(transparent)]
    Timing(#[from] pinetrail_policy_consensus::TimingError),
    /// Requests would wait too long while a change is decided.
    #[error("hold_ms {wait_ms} is over the limit of {longest_ms} ms")]
    ChangeWaitTooLong {
        /// The configured wait, in ms.
        wait_ms: u64,
        /// The longest valid wait, in ms.
        longest_ms: u64,
    },
    /// A voter has no directory for its votes, which a restart must not lose.
    #[error("state_dir is missing: a founder must not lose its votes at a restart")]
    NoStateDir,
}
