//! Parses the object `fleet` of the configuration into the types of the crates that it configures.
//! Read [`FleetConfig`] first.

use super::error::{ConfigError, FleetConfigError};
use super::policy::PolicyConfig;
use super::values::{parse_address, parse_addresses};
use pinetrail_clock::whole_millis;
use pinetrail_membership::{Settings as MembershipSettings, Timing};
use pinetrail_quota::Settings as QuotaSettings;
use pinetrail_settings::settings::{FleetLimits, Settings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The minimum of a fleet's limit, in attempts in flight for each proxy. The guaranteed minimum of
/// a proxy is half of its equal share, and must be at least one attempt.
const MIN_ATTEMPTS_PER_PROXY: u64 = 2;

/// The configuration of quota leases.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// The settings of the leases.
    pub settings: QuotaSettings,
    /// The maximum numbers of attempts in flight of all proxies together, at one node and at the
    /// origin; infinite if not configured.
    pub limits: FleetLimits,
}

/// The object `fleet`, parsed and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The address to which the member's socket is bound.
    pub bind: SocketAddr,
    /// The address at which other members reach that socket, if it differs from `bind`.
    pub advertise: Option<SocketAddr>,
    /// The settings of membership. Their `advertise` is final only in the result of
    /// [`FleetConfig::membership_settings`].
    pub settings: MembershipSettings,
    /// The configuration of quota leases, if they are enabled. Without them, each of `GroupSize`
    /// proxies has an equal share of the quota.
    pub quota: Option<QuotaConfig>,
    /// The configuration of the common policy, if there is one.
    pub policy: Option<PolicyConfig>,
}

/// The object `fleet` as it is deserialized, which maps its keys to the terms of the code. All
/// times are in ms.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    name: String,
    bind: String,
    advertise: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    size: usize,
    #[serde(rename = "period_ms")]
    probe_period_ms: Option<u64>,
    #[serde(rename = "answer_ms")]
    probe_timeout_ms: Option<u64>,
    suspicion_ms: Option<u64>,
    gossip_ms: Option<u64>,
    #[serde(rename = "reunion_ms")]
    reconnect_ms: Option<u64>,
    #[serde(rename = "rejoin_ms")]
    discovery_ms: Option<u64>,
    #[serde(rename = "forget_ms")]
    retention_ms: Option<u64>,
    founders: Option<Vec<String>>,
    node_calls: Option<u64>,
    origin_calls: Option<u64>,
    #[serde(rename = "ask_ms")]
    heartbeat_ms: Option<u64>,
    vote_ms: Option<u64>,
    lease_ms: Option<u64>,
    #[serde(rename = "call_ms")]
    max_attempt_ms: Option<u64>,
    policy: Option<serde_json::Value>,
}

impl FleetConfig {
    /// Parses and checks the object `fleet` for the proxy with this name.
    ///
    /// # Errors
    ///
    /// The error names the first value that is not valid.
    pub(super) fn from_file(mut file: FleetFile, proxy_name: &str) -> Result<FleetConfig, ConfigError> {
        let founders = file.founders.take();
        let quota = founders.map(|founders| QuotaConfig::from_file(&file, founders)).transpose()?;
        let timing = timing(&file);
        let bind = parse_address("fleet.bind", file.bind)?;
        let advertise =
            file.advertise.map(|address| parse_address("fleet.advertise", address)).transpose()?;
        let advertised = advertise.unwrap_or(bind);
        let founders = quota.as_ref().map(|quota| &quota.settings.founders[..]);
        let policy = file
            .policy
            .map(|policy| PolicyConfig::from_json(policy, founders, advertised, file.size))
            .transpose()?;
        let settings = MembershipSettings {
            fleet: file.name,
            name: proxy_name.to_owned(),
            advertise: advertised,
            peers: parse_addresses("fleet.peers", file.peers)?,
            size: file.size,
            timing,
        };
        settings.check().map_err(FleetConfigError::from)?;
        Ok(FleetConfig { bind, advertise, settings, quota, policy })
    }

    /// Replaces the peers with those of a newer configuration, if there is one.
    #[must_use]
    pub fn with_peers_of(mut self, newer: Option<FleetConfig>) -> FleetConfig {
        if let Some(newer) = newer {
            self.settings.peers = newer.settings.peers;
        }
        self
    }

    /// Returns the settings of a member whose socket is bound to this address.
    pub fn membership_settings(&self, bound: SocketAddr) -> MembershipSettings {
        MembershipSettings { advertise: self.advertise.unwrap_or(bound), ..self.settings.clone() }
    }
}

impl QuotaConfig {
    /// Parses and checks the keys of quota leases, which the key `founders` enables.
    fn from_file(file: &FleetFile, founders: Vec<String>) -> Result<QuotaConfig, ConfigError> {
        let founders = parse_addresses("fleet.founders", founders)?;
        let defaults = QuotaSettings::with_defaults(founders, file.size);
        let settings = QuotaSettings {
            heartbeat_period: duration_or(file.heartbeat_ms, defaults.heartbeat_period),
            vote_duration: duration_or(file.vote_ms, defaults.vote_duration),
            lease_duration: duration_or(file.lease_ms, defaults.lease_duration),
            max_attempt_duration: duration_or(file.max_attempt_ms, defaults.max_attempt_duration),
            ..defaults
        };
        settings.check().map_err(FleetConfigError::from)?;
        let least = MIN_ATTEMPTS_PER_PROXY * file.size as u64;
        check_fleet_limit("node_calls", file.node_calls, least)?;
        check_fleet_limit("origin_calls", file.origin_calls, least)?;
        let limits = FleetLimits {
            per_node: limit_or_infinite(file.node_calls),
            origin: limit_or_infinite(file.origin_calls),
        };
        Ok(QuotaConfig { settings, limits })
    }
}

/// Returns the duration that the file has in ms, or the default.
fn duration_or(millis: Option<u64>, default: Duration) -> Duration {
    millis.map_or(default, Duration::from_millis)
}

fn limit_or_infinite(limit: Option<u64>) -> f64 {
    limit.map_or(f64::INFINITY, |limit| limit as f64)
}

/// Decides whether a limit on the attempts in flight of the whole fleet is rejected as too low.
///
/// Inputs: the limit, and the least that is allowed, both in attempts in flight.
/// Reason: a guaranteed minimum below one attempt allows no attempt if rounded down. If rounded up,
/// the minimums together exceed the limit.
fn check_fleet_limit(field: &'static str, limit: Option<u64>, least: u64) -> Result<(), FleetConfigError> {
    match limit {
        Some(limit) if limit < least => Err(FleetConfigError::LimitTooLow { field, limit, least }),
        _ => Ok(()),
    }
}

fn timing(file: &FleetFile) -> Timing {
    let defaults = Timing::default();
    Timing {
        probe_period: duration_or(file.probe_period_ms, defaults.probe_period),
        probe_timeout: duration_or(file.probe_timeout_ms, defaults.probe_timeout),
        suspicion_timeout: duration_or(file.suspicion_ms, defaults.suspicion_timeout),
        gossip_interval: duration_or(file.gossip_ms, defaults.gossip_interval),
        reconnect_interval: duration_or(file.reconnect_ms, defaults.reconnect_interval),
        discovery_interval: duration_or(file.discovery_ms, defaults.discovery_interval),
        retention: duration_or(file.retention_ms, defaults.retention),
    }
}

/// Checks that every attempt ends while its quota is still reserved for it. A configuration whose
/// attempts may outlive their quota is rejected.
///
/// Inputs: `call_ms`, and the longest `GiveUp` of a class, both in ms.
/// Reason: the quota of an expired lease is granted again after `call_ms`, so an attempt that runs
/// longer would use quota that another proxy has too.
///
/// # Errors
///
/// If the `GiveUp` of a class is longer than `call_ms`.
pub(super) fn check_longest_attempt(
    fleet: Option<&FleetConfig>,
    settings: &Settings,
) -> Result<(), ConfigError> {
    let Some(quota) = fleet.and_then(|fleet| fleet.quota.as_ref()) else { return Ok(()) };
    let call_ms = whole_millis(quota.settings.max_attempt_duration);
    let longest_ms = settings.longest_client_timeout().as_ms();
    if (call_ms as f64) < longest_ms {
        return Err(FleetConfigError::AttemptsOutliveLease { call_ms, longest_ms }.into());
    }
    Ok(())
}
