//! The object `fleet.policy` of the configuration: how the proxies of a fleet agree on one policy.
//! Read [`PolicyConfig`] first.

use super::error::{ConfigError, FleetError, PolicyConfigError};
use super::file::parse_address;
use pinetrail_policy_consensus::{LeaseExpiryMode, Timing, VoterSet};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const KEYS: [&str; 14] = [
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
/// How long a request that comes while a change is decided waits at most, unless it is given.
const DEFAULT_HOLD_MS: u64 = 150;
/// The longest that may be given for that.
const MAX_HOLD_MS: u64 = 1000;
const DEFAULT_CATCH_UP_MS: u64 = 10_000;

/// What the object says.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Where peers connect.
    pub bind: SocketAddr,
    /// Where others reach that.
    pub advertise: SocketAddr,
    /// Where a voter keeps its state.
    pub state_dir: Option<PathBuf>,
    /// How long what may take.
    pub timing: Timing,
    /// How long a request waits for a change to be decided at most.
    pub change_wait: Duration,
    /// After this long without an admission lease the log says why this process is not ready.
    pub catch_up_warning: Duration,
    /// What is done once the admission lease has ended.
    pub lease_expiry_mode: LeaseExpiryMode,
    /// Whether SIGHUP makes settings of the file active.
    pub allows_local_reload: bool,
    /// After this long a process that drifted makes the approved version active again by itself, if
    /// it is to.
    pub restore_after: Option<Duration>,
    /// The voters.
    pub voters: VoterSet,
    /// The voter id of this proxy, if it is a voter.
    pub voter_id: Option<u8>,
    /// The most processes that it is connected to.
    pub max_peers: usize,
}

/// The object as it is read.
#[derive(Deserialize)]
struct PolicyFile {
    bind: String,
    advertise: Option<String>,
    state_dir: Option<PathBuf>,
    permit_ms: Option<u64>,
    renew_ms: Option<u64>,
    ready_ms: Option<u64>,
    close_ms: Option<u64>,
    change_ms: Option<u64>,
    answer_ms: Option<u64>,
    hold_ms: Option<u64>,
    catch_up_ms: Option<u64>,
    #[serde(default)]
    when_cut: LeaseExpiryMode,
    #[serde(default)]
    local: bool,
    restore_after_ms: Option<u64>,
}

impl PolicyConfig {
    /// How many descriptors it takes: two connections to each peer while one replaces the other,
    /// and eight for the listener, the poller and files.
    pub fn descriptors(&self) -> usize {
        2 * self.max_peers + 8
    }

    /// Reads the object for a proxy of a fleet of `size` that others know by the address
    /// `advertised`.
    ///
    /// # Errors
    ///
    /// Names what is wrong.
    pub(super) fn from_json(
        json: Value,
        founders: Option<&[SocketAddr]>,
        advertised: SocketAddr,
        size: usize,
    ) -> Result<PolicyConfig, ConfigError> {
        let founders = founders.ok_or(PolicyConfigError::NoFounders).map_err(FleetError::from)?;
        let file = parse_file(json).map_err(FleetError::from)?;
        let timing = timing(&file);
        let bind = parse_address("fleet.policy.bind", file.bind)?;
        let advertise = file.advertise.map(|at| parse_address("fleet.policy.advertise", at)).transpose()?;
        let advertise = advertise.unwrap_or(bind);
        if advertise.ip().is_unspecified() {
            return Err(FleetError::from(PolicyConfigError::UnspecifiedAddress).into());
        }
        timing.check().map_err(PolicyConfigError::from).map_err(FleetError::from)?;
        let change_wait = change_wait(file.hold_ms).map_err(FleetError::from)?;
        let voter_id = voter_id(founders, advertised);
        if voter_id.is_some() && file.state_dir.is_none() {
            return Err(FleetError::from(PolicyConfigError::NoStateDir).into());
        }
        Ok(PolicyConfig {
            bind,
            advertise,
            state_dir: file.state_dir,
            timing,
            change_wait,
            catch_up_warning: Duration::from_millis(file.catch_up_ms.unwrap_or(DEFAULT_CATCH_UP_MS)),
            lease_expiry_mode: file.when_cut,
            allows_local_reload: file.local,
            restore_after: file.restore_after_ms.map(Duration::from_millis),
            voters: VoterSet(u8::try_from(founders.len()).unwrap_or(u8::MAX)),
            voter_id,
            max_peers: size,
        })
    }
}

/// Reads the object, and refuses keys that mean nothing.
fn parse_file(json: Value) -> Result<PolicyFile, PolicyConfigError> {
    if let Some(object) = json.as_object() {
        if let Some(key) = object.keys().find(|key| !KEYS.contains(&key.as_str())) {
            let nearest = nearest_known(key, &KEYS);
            return Err(PolicyConfigError::UnknownKey { key: key.clone(), nearest });
        }
    }
    Ok(serde_path_to_error::deserialize(json)?)
}

fn timing(file: &PolicyFile) -> Timing {
    let or_default = |ms: Option<u64>, default: Duration| ms.map_or(default, Duration::from_millis);
    let defaults = Timing::default();
    Timing {
        lease: or_default(file.permit_ms, defaults.lease),
        renewal: or_default(file.renew_ms, defaults.renewal),
        readiness: or_default(file.ready_ms, defaults.readiness),
        closing: or_default(file.close_ms, defaults.closing),
        change: or_default(file.change_ms, defaults.change),
        answer: or_default(file.answer_ms, defaults.answer),
    }
}

fn change_wait(hold_ms: Option<u64>) -> Result<Duration, PolicyConfigError> {
    let hold_ms = hold_ms.unwrap_or(DEFAULT_HOLD_MS);
    if hold_ms > MAX_HOLD_MS {
        return Err(PolicyConfigError::HoldTooLong { hold_ms, longest_ms: MAX_HOLD_MS });
    }
    Ok(Duration::from_millis(hold_ms))
}

/// A proxy is a voter if its address is among the founders; its id is the place there.
fn voter_id(founders: &[SocketAddr], own: SocketAddr) -> Option<u8> {
    let index = founders.iter().position(|founder| *founder == own)?;
    u8::try_from(index).ok()
}

/// The known name that is nearest to one that is not known, as a hint; empty if none is known.
pub fn nearest_known(name: &str, known: &[&str]) -> String {
    let scored = known.iter().map(|known| (strsim::jaro_winkler(name, known), known));
    let nearest = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    nearest.map_or(String::new(), |(_, known)| (*known).to_owned())
}
