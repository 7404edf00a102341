//! What the `fleet` object of the configuration says, in the form of the core.

use super::policy::PolicyConfig;
use super::{address, ConfigError};
use pinetrail_membership::{Settings, Timing};
use pinetrail_quota as shares;
use serde::Deserialize;
use std::net::SocketAddr;

/// What it is told of shares, if anything.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// For the core.
    pub settings: pinetrail_quota::Settings,
    /// Calls in flight of all together, at one node and at the origin; infinite if not told.
    pub whole: [f64; 2],
}

/// What a fleet's member is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Where its socket is.
    pub bind: SocketAddr,
    /// What others are told instead, if anything.
    pub advertise: Option<SocketAddr>,
    /// The rest; its `advertise` counts once the socket is open.
    pub settings: Settings,
    /// Of shares; without it the share is one of `GroupSize`.
    pub quota: Option<QuotaConfig>,
    /// Of the common policy, if there is one.
    pub policy: Option<PolicyConfig>,
}

impl FleetConfig {
    /// The same with the peers of a newer one, if there is one.
    pub fn with_peers_of(mut self, newer: Option<FleetConfig>) -> FleetConfig {
        if let Some(newer) = newer {
            self.settings.peers = newer.settings.peers;
        }
        self
    }

    /// The settings of a member whose socket is here.
    pub(crate) fn membership_settings(&self, bound: SocketAddr) -> Settings {
        Settings { advertise: self.advertise.unwrap_or(bound), ..self.settings.clone() }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    name: String,
    bind: String,
    advertise: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    size: usize,
    period_ms: Option<u64>,
    answer_ms: Option<u64>,
    suspicion_ms: Option<u64>,
    gossip_ms: Option<u64>,
    reunion_ms: Option<u64>,
    rejoin_ms: Option<u64>,
    forget_ms: Option<u64>,
    founders: Option<Vec<String>>,
    node_calls: Option<u64>,
    origin_calls: Option<u64>,
    ask_ms: Option<u64>,
    vote_ms: Option<u64>,
    lease_ms: Option<u64>,
    call_ms: Option<u64>,
    policy: Option<serde_json::Value>,
}

/// Reads the object for the proxy of this name.
pub(super) fn fleet(mut file: FleetFile, own: &str) -> Result<FleetConfig, ConfigError> {
    let founders = file.founders.take();
    let shares = founders.map(|founders| shares(&file, founders)).transpose()?;
    let bind = address("fleet.bind", file.bind)?;
    let advertise = file.advertise.map(|at| address("fleet.advertise", at)).transpose()?;
    let founders = shares.as_ref().map(|shares| &shares.settings.founders[..]);
    let policy = file
        .policy
        .map(|policy| super::policy::policy(policy, founders, advertise.unwrap_or(bind), file.size))
        .transpose()?;
    let peers = file.peers.into_iter().map(|at| address("fleet.peers", at)).collect::<Result<_, _>>()?;
    let usual = Timing::default();
    let times = Timing {
        period: file.period_ms.unwrap_or(usual.period),
        answer: file.answer_ms.unwrap_or(usual.answer),
        suspicion: file.suspicion_ms.unwrap_or(usual.suspicion),
        gossip: file.gossip_ms.unwrap_or(usual.gossip),
        reunion: file.reunion_ms.unwrap_or(usual.reunion),
        rejoin: file.rejoin_ms.unwrap_or(usual.rejoin),
        forget: file.forget_ms.unwrap_or(usual.forget),
    };
    let settings = Settings {
        fleet: file.name,
        name: own.to_owned(),
        advertise: advertise.unwrap_or(bind),
        peers,
        size: file.size,
        times,
    };
    settings.check().map_err(|error| ConfigError::Fleet(error.to_string()))?;
    Ok(FleetConfig { bind, advertise, settings, quota: shares, policy })
}

/// What it says of shares, which it does by naming the founders.
fn shares(file: &FleetFile, founders: Vec<String>) -> Result<QuotaConfig, ConfigError> {
    let bad = |error: String| ConfigError::Fleet(error);
    let founders: Vec<SocketAddr> =
        founders.into_iter().map(|at| address("fleet.founders", at)).collect::<Result<_, _>>()?;
    let usual = shares::Settings::with_defaults(founders, file.size);
    let settings = shares::Settings {
        period: file.ask_ms.unwrap_or(usual.period),
        vote: file.vote_ms.unwrap_or(usual.vote),
        lease: file.lease_ms.unwrap_or(usual.lease),
        calls: file.call_ms.unwrap_or(usual.calls),
        ..usual
    };
    settings.check().map_err(|error| bad(error.to_string()))?;
    // Danger: a base under one call would be none, or the bases together more than the whole.
    let least = 2 * file.size as u64;
    for (field, calls) in [("node_calls", file.node_calls), ("origin_calls", file.origin_calls)] {
        if let Some(calls) = calls.filter(|calls| *calls < least) {
            return Err(bad(format!("{field} {calls} is below 2 for each of size, {least}")));
        }
    }
    let whole =
        [file.node_calls, file.origin_calls].map(|calls| calls.map_or(f64::INFINITY, |calls| calls as f64));
    Ok(QuotaConfig { settings, whole })
}

/// Danger: what is leased is free a call after its end; calls that run longer would be in use by two.
pub(super) fn check_calls(
    fleet: Option<&FleetConfig>,
    settings: &crate::settings::Settings,
) -> Result<(), ConfigError> {
    let longest = settings.classes.iter().map(|class| class.give_up).fold(0.0, f64::max);
    let calls = fleet.and_then(|fleet| fleet.quota.as_ref()).map(|shares| shares.settings.calls);
    match calls.filter(|calls| (*calls as f64) < longest) {
        Some(calls) => {
            Err(ConfigError::Fleet(format!("call_ms {calls} is below the longest GiveUp, {longest}")))
        }
        None => Ok(()),
    }
}
