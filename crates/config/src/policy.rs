//! Parses the object `fleet.policy` of the configuration, which configures the common policy of a
//! fleet. Read [`PolicyConfig`] first.

use super::error::{ConfigError, FleetConfigError, PolicyConfigError};
use super::nearest_key::nearest_key;
use super::values::parse_address;
use pinetrail_policy_consensus::{LeaseExpiryMode, Timing, VoterSet};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The valid keys of the object `fleet.policy`.
const POLICY_KEYS: [&str; 14] = [
    "bind",
    "advertise",
    "state_dir",
    "permit_ms",
    "renew_ms",
    "ready_ms",
    "close_ms",
    "change_ms",
    "answer_ms",
    "hold_ms",
    "catch_up_ms",
    "when_cut",
    "local",
    "restore_after_ms",
];
/// The default of the longest time, in ms, that a request waits while a change is decided.
const DEFAULT_CHANGE_WAIT_MS: u64 = 150;
/// The maximum that may be configured for the time, in ms, that a request waits while a change is
/// decided.
const MAX_CHANGE_WAIT_MS: u64 = 1_000;
/// The default time without an admission lease, in ms, after which a warning is logged.
const DEFAULT_CATCH_UP_WARNING_MS: u64 = 10_000;
/// The maximum number of connections to one peer: a new connection replaces the old one while that
/// is still open.
const CONNECTIONS_PER_PEER: usize = 2;
/// The number of descriptors for the listener, the poller and files.
const BASE_DESCRIPTORS: usize = 8;

/// The object `fleet.policy`, parsed and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// The address at which this process listens for its peers.
    pub bind: SocketAddr,
    /// The address at which peers reach the listener.
    pub advertise: SocketAddr,
    /// The directory of a voter's state, which every voter must have.
    pub state_dir: Option<PathBuf>,
    /// The durations of leases and changes.
    pub timing: Timing,
    /// The longest time that a request waits while a change is decided.
    pub change_wait: Duration,
    /// The time without an admission lease after which the log says why this process is not ready.
    pub catch_up_warning: Duration,
    /// Whether a process without an admission lease fails open or closed.
    pub lease_expiry_mode: LeaseExpiryMode,
    /// Whether SIGHUP applies the settings of the file.
    pub allows_local_reload: bool,
    /// The time of drift after which a process applies the approved version again; never if `None`.
    pub restore_after: Option<Duration>,
    /// The voters of the fleet.
    pub voters: VoterSet,
    /// The voter id of this proxy, if it is a voter.
    pub voter_id: Option<u8>,
    /// The maximum number of processes to which this process is connected.
    pub max_peers: usize,
}

/// The object `fleet.policy` as it is deserialized, which maps its keys to the terms of the code.
#[derive(Deserialize)]
struct PolicyFile {
    bind: String,
    advertise: Option<String>,
    state_dir: Option<PathBuf>,
    #[serde(rename = "permit_ms")]
    lease_ms: Option<u64>,
    #[serde(rename = "renew_ms")]
    renewal_ms: Option<u64>,
    #[serde(rename = "ready_ms")]
    readiness_ms: Option<u64>,
    #[serde(rename = "close_ms")]
    closing_ms: Option<u64>,
    change_ms: Option<u64>,
    answer_ms: Option<u64>,
    #[serde(rename = "hold_ms")]
    change_wait_ms: Option<u64>,
    #[serde(rename = "catch_up_ms")]
    catch_up_warning_ms: Option<u64>,
    #[serde(default, rename = "when_cut")]
    lease_expiry_mode: LeaseExpiryMode,
    #[serde(default, rename = "local")]
    allows_local_reload: bool,
    restore_after_ms: Option<u64>,
}

impl PolicyConfig {
    /// Returns the number of descriptors that the policy needs.
    pub fn descriptors(&self) -> usize {
        CONNECTIONS_PER_PEER * self.max_peers + BASE_DESCRIPTORS
    }

    /// Parses and checks the object `fleet.policy` for a proxy of a fleet of `size`, whose fleet
    /// address is `advertised`.
    ///
    /// # Errors
    ///
    /// The error names the first value that is not valid.
    pub(super) fn from_json(
        json: Value,
        founders: Option<&[SocketAddr]>,
        advertised: SocketAddr,
        size: usize,
    ) -> Result<PolicyConfig, ConfigError> {
        let founders = founders.ok_or(PolicyConfigError::NoFounders).map_err(FleetConfigError::from)?;
        let file = parse_file(json).map_err(FleetConfigError::from)?;
        let timing = timing(&file);
        let bind = parse_address("fleet.policy.bind", file.bind)?;
        let advertise =
            file.advertise.map(|address| parse_address("fleet.policy.advertise", address)).transpose()?;
        let advertise = advertise.unwrap_or(bind);
        if advertise.ip().is_unspecified() {
            return Err(FleetConfigError::from(PolicyConfigError::UnspecifiedAddress).into());
        }
        timing.check().map_err(PolicyConfigError::from).map_err(FleetConfigError::from)?;
        let change_wait = change_wait(file.change_wait_ms).map_err(FleetConfigError::from)?;
        let voter_id = voter_id(founders, advertised);
        if voter_id.is_some() && file.state_dir.is_none() {
            return Err(FleetConfigError::from(PolicyConfigError::NoStateDir).into());
        }
        Ok(PolicyConfig {
            bind,
            advertise,
            state_dir: file.state_dir,
            timing,
            change_wait,
            catch_up_warning: Duration::from_millis(
                file.catch_up_warning_ms.unwrap_or(DEFAULT_CATCH_UP_WARNING_MS),
            ),
            lease_expiry_mode: file.lease_expiry_mode,
            allows_local_reload: file.allows_local_reload,
            restore_after: file.restore_after_ms.map(Duration::from_millis),
            voters: VoterSet(u8::try_from(founders.len()).unwrap_or(u8::MAX)),
            voter_id,
            max_peers: size,
        })
    }
}

/// Parses the object `fleet.policy`, and rejects unknown keys.
fn parse_file(json: Value) -> Result<PolicyFile, PolicyConfigError> {
    if let Some(object) = json.as_object() {
        if let Some(key) = object.keys().find(|key| !POLICY_KEYS.contains(&key.as_str())) {
            let nearest = nearest_key(key, &POLICY_KEYS);
            return Err(PolicyConfigError::UnknownKey { key: key.clone(), nearest });
        }
    }
    Ok(serde_path_to_error::deserialize(json)?)
}

fn timing(file: &PolicyFile) -> Timing {
    let or_default = |ms: Option<u64>, default: Duration| ms.map_or(default, Duration::from_millis);
    let defaults = Timing::default();
    Timing {
        lease_duration: or_default(file.lease_ms, defaults.lease_duration),
        renewal_interval: or_default(file.renewal_ms, defaults.renewal_interval),
        readiness_timeout: or_default(file.readiness_ms, defaults.readiness_timeout),
        closing_timeout: or_default(file.closing_ms, defaults.closing_timeout),
        change_timeout: or_default(file.change_ms, defaults.change_timeout),
        request_timeout: or_default(file.answer_ms, defaults.request_timeout),
    }
}

fn change_wait(wait_ms: Option<u64>) -> Result<Duration, PolicyConfigError> {
    let wait_ms = wait_ms.unwrap_or(DEFAULT_CHANGE_WAIT_MS);
    if wait_ms > MAX_CHANGE_WAIT_MS {
        return Err(PolicyConfigError::ChangeWaitTooLong { wait_ms, longest_ms: MAX_CHANGE_WAIT_MS });
    }
    Ok(Duration::from_millis(wait_ms))
}

/// Returns the voter id of a proxy: the index of its address in the list of founders.
fn voter_id(founders: &[SocketAddr], own: SocketAddr) -> Option<u8> {
    let index = founders.iter().position(|founder| *founder == own)?;
    u8::try_from(index).ok()
}
