//! What `fleet.policy` says: how proxies of a fleet agree on one policy.

use super::{address, ConfigError};
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
/// A request that comes while a change is decided waits for so long at the most.
const HOLD_MS: u64 = 150;
const LONGEST_HOLD_MS: u64 = 1000;
const CATCH_UP_MS: u64 = 10_000;

/// What it is told.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Where links come in.
    pub bind: SocketAddr,
    /// Where others reach that.
    pub advertise: SocketAddr,
    /// Where a founder keeps what it votes for.
    pub state_dir: Option<PathBuf>,
    /// Within which times what is done.
    pub times: Timing,
    /// How long a request waits for a change's moment at the most.
    pub hold: Duration,
    /// After so long without a permit the log says why this process is not ready.
    pub catch_up: Duration,
    /// What is done once the permit has ended.
    pub when_cut: LeaseExpiryMode,
    /// Whether SIGHUP puts settings of the file in force.
    pub local: bool,
    /// After so long a process that drifted puts the approved version in force again by itself, if it is to.
    pub restore_after: Option<Duration>,
    /// How many found.
    pub seats: VoterSet,
    /// The seat of this proxy, if it founds.
    pub seat: Option<u8>,
    /// The most processes that are linked.
    pub links: usize,
}

impl PolicyConfig {
    /// How many descriptors it takes: links each way while one takes another's place, the listener, the poller, files.
    pub fn sockets(&self) -> usize {
        2 * self.links + 8
    }
}

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

/// The known name that is nearest to one that is not known, as a hint.
pub fn nearest(name: &str, known: &[&str]) -> String {
    let near = known.iter().map(|known| (strsim::jaro_winkler(name, known), known));
    near.max_by(|a, b| a.0.total_cmp(&b.0)).map_or(String::new(), |(_, known)| (*known).to_owned())
}

/// Reads the object for the proxy that others know by this address.
pub(super) fn policy(
    given: Value,
    founders: Option<&[SocketAddr]>,
    own: SocketAddr,
    size: usize,
) -> Result<PolicyConfig, ConfigError> {
    let bad = |error: String| ConfigError::Fleet(format!("policy: {error}"));
    let Some(founders) = founders else { return Err(bad("it needs founders".to_owned())) };
    let keys = given.as_object().into_iter().flat_map(|given| given.keys());
    if let Some(unknown) = keys.into_iter().find(|key| !KEYS.contains(&key.as_str())) {
        let near = nearest(unknown, &KEYS);
        return Err(bad(format!("unknown key {unknown:?}; the nearest known one is {near:?}")));
    }
    let file: PolicyFile = serde_path_to_error::deserialize(given).map_err(|error| bad(error.to_string()))?;
    let bind = address("fleet.policy.bind", file.bind)?;
    let advertise = file.advertise.map(|at| address("fleet.policy.advertise", at)).transpose()?;
    if advertise.unwrap_or(bind).ip().is_unspecified() {
        return Err(bad("others cannot reach an unspecified bind: advertise is needed".to_owned()));
    }
    let usual = Timing::default();
    let time = |ms: Option<u64>, usual: Duration| ms.map_or(usual, Duration::from_millis);
    let times = Timing {
        lease: time(file.permit_ms, usual.lease),
        renewal: time(file.renew_ms, usual.renewal),
        readiness: time(file.ready_ms, usual.readiness),
        closing: time(file.close_ms, usual.closing),
        change: time(file.change_ms, usual.change),
        answer: time(file.answer_ms, usual.answer),
    };
    times.check().map_err(|error| bad(error.to_string()))?;
    let hold = file.hold_ms.unwrap_or(HOLD_MS);
    if hold > LONGEST_HOLD_MS {
        return Err(bad(format!("hold_ms {hold} is over {LONGEST_HOLD_MS}")));
    }
    let seat = founders.iter().position(|founder| *founder == own).and_then(|at| u8::try_from(at).ok());
    if seat.is_some() && file.state_dir.is_none() {
        return Err(bad("a founder needs state_dir: what it votes for must outlive it".to_owned()));
    }
    Ok(PolicyConfig {
        bind,
        advertise: advertise.unwrap_or(bind),
        state_dir: file.state_dir,
        times,
        hold: Duration::from_millis(hold),
        catch_up: Duration::from_millis(file.catch_up_ms.unwrap_or(CATCH_UP_MS)),
        when_cut: file.when_cut,
        local: file.local,
        restore_after: file.restore_after_ms.map(Duration::from_millis),
        seats: VoterSet(u8::try_from(founders.len()).unwrap_or(u8::MAX)),
        seat,
        links: size,
    })
}
