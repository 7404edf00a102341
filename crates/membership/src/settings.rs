//! [`Settings`]: the configuration of a member, and its checks.

use crate::identity::MAX_NAME_BYTES;
use pinetrail_clock::whole_millis;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The maximum of the configured size of a fleet, in members.
const MAX_FLEET_SIZE: usize = 1024;
/// The minimum of the configured size of a fleet, in members.
const MIN_FLEET_SIZE: usize = 2;

const PROBE_PERIOD_RANGE_MS: RangeInclusive<u64> = 50..=60_000;
const MIN_PROBE_TIMEOUT_MS: u64 = 10;
/// The maximum probe timeout, in percent of the probe period. The rest of the period is left for
/// indirect probes.
const MAX_PROBE_TIMEOUT_PERCENT_OF_PERIOD: u64 = 80;
const MAX_SUSPICION_TIMEOUT_MS: u64 = 600_000;
const GOSSIP_INTERVAL_RANGE_MS: RangeInclusive<u64> = 20..=60_000;
const RECONNECT_INTERVAL_RANGE_MS: RangeInclusive<u64> = 100..=600_000;
const DISCOVERY_INTERVAL_RANGE_MS: RangeInclusive<u64> = 100..=600_000;
const MIN_RETENTION_IN_SUSPICION_TIMEOUTS: u64 = 2;
const MAX_RETENTION_MS: u64 = 86_400_000;

/// The configuration of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// The name of this member.
    pub name: String,
    /// The address at which other members reach this one.
    pub advertise: SocketAddr,
    /// The addresses of the peers that this member contacts while they are not among the live
    /// members.
    pub peers: Vec<SocketAddr>,
    /// The maximum number of members, this one included, that are remembered.
    pub size: usize,
    /// The periods and timeouts.
    pub timing: Timing,
}

/// The periods and timeouts of a member. Fractions of a millisecond do not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The period in which one member is probed. Default: 400 ms.
    pub probe_period: Duration,
    /// The time without a response after which other members are asked to probe indirectly.
    /// Default: 160 ms.
    pub probe_timeout: Duration,
    /// The time within which a suspected member must refute the suspicion before it is declared
    /// failed. In a fleet of more than ten members it is multiplied by the decimal logarithm of
    /// their number. Default: 1 s.
    pub suspicion_timeout: Duration,
    /// The interval at which updates are gossiped. Default: 100 ms.
    pub gossip_interval: Duration,
    /// The interval at which some of the failed members are contacted again, so that a partition
    /// heals. Default: 1 s.
    pub reconnect_interval: Duration,
    /// The interval at which peers that are not among the live members are contacted. Default: 1 s.
    pub discovery_interval: Duration,
    /// The time for which a member that has failed or left is remembered. Default: 10 min.
    pub retention: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_period: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(160),
            suspicion_timeout: Duration::from_secs(1),
            gossip_interval: Duration::from_millis(100),
            reconnect_interval: Duration::from_secs(1),
            discovery_interval: Duration::from_secs(1),
            retention: Duration::from_secs(600),
        }
    }
}

/// The reason why settings are invalid. The error texts name the keys of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A name is empty, too long, or has characters that would make log lines ambiguous.
    #[error("{field} {value:?} is not made of 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' and '-'")]
    InvalidName {
        /// The key of the name in the configuration.
        field: &'static str,
        /// The configured name.
        value: String,
    },
    /// Other processes cannot send to the advertised address because it is unspecified.
    #[error("advertise {0} cannot be reached by others: set advertise if bind is unspecified")]
    UnreachableAdvertise(SocketAddr),
    /// A peer has the address of this member itself.
    #[error("peers: {0} is the address of this member itself")]
    PeerIsSelf(SocketAddr),
    /// This member cannot send to the address of a peer.
    #[error("peers: {0} cannot be contacted: the address is unspecified or the port is 0")]
    UnreachablePeer(SocketAddr),
    /// A peer is listed twice.
    #[error("peers: {0} is listed twice")]
    DuplicatePeer(SocketAddr),
    /// The size of the fleet is too small for this member and its peers, or too large.
    #[error("size {size} is not {min} to {MAX_FLEET_SIZE}: it includes this member and its peers")]
    SizeOutOfRange {
        /// The configured size.
        size: usize,
        /// The minimum size that includes this member and its peers.
        min: usize,
    },
    /// A duration is out of its range.
    #[error("{field} {value} is not {min} to {max}, in ms")]
    TimeOutOfRange {
        /// The key of the duration in the configuration.
        field: &'static str,
        /// The configured duration, in ms.
        value: u64,
        /// The minimum, in ms.
        min: u64,
        /// The maximum, in ms.
        max: u64,
    },
}

impl Settings {
    /// Checks that a member can run with these settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] for the first setting that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("fleet.name", &self.fleet)?;
        check_name("name", &self.name)?;
        if self.advertise.ip().is_unspecified() {
            return Err(SettingsError::UnreachableAdvertise(self.advertise));
        }
        self.check_peers()?;
        let min = (self.peers.len() + 1).max(MIN_FLEET_SIZE);
        if !(min..=MAX_FLEET_SIZE).contains(&self.size) {
            return Err(SettingsError::SizeOutOfRange { size: self.size, min });
        }
        self.timing.check()
    }

    fn check_peers(&self) -> Result<(), SettingsError> {
        for (index, peer) in self.peers.iter().enumerate() {
            if *peer == self.advertise {
                return Err(SettingsError::PeerIsSelf(*peer));
            }
            if peer.ip().is_unspecified() || peer.port() == 0 {
                return Err(SettingsError::UnreachablePeer(*peer));
            }
            if self.peers[..index].contains(peer) {
                return Err(SettingsError::DuplicatePeer(*peer));
            }
        }
        Ok(())
    }
}

impl Timing {
    fn check(&self) -> Result<(), SettingsError> {
        let period_ms = whole_millis(self.probe_period);
        let suspicion_ms = whole_millis(self.suspicion_timeout);
        let max_probe_timeout_ms = period_ms.saturating_mul(MAX_PROBE_TIMEOUT_PERCENT_OF_PERIOD) / 100;
        let min_retention_ms = suspicion_ms.saturating_mul(MIN_RETENTION_IN_SUSPICION_TIMEOUTS);
        check_duration("period_ms", self.probe_period, PROBE_PERIOD_RANGE_MS)?;
        check_duration("answer_ms", self.probe_timeout, MIN_PROBE_TIMEOUT_MS..=max_probe_timeout_ms)?;
        check_duration("suspicion_ms", self.suspicion_timeout, period_ms..=MAX_SUSPICION_TIMEOUT_MS)?;
        check_duration("gossip_ms", self.gossip_interval, GOSSIP_INTERVAL_RANGE_MS)?;
        check_duration("reunion_ms", self.reconnect_interval, RECONNECT_INTERVAL_RANGE_MS)?;
        check_duration("rejoin_ms", self.discovery_interval, DISCOVERY_INTERVAL_RANGE_MS)?;
        check_duration("forget_ms", self.retention, min_retention_ms..=MAX_RETENTION_MS)
    }
}

fn check_duration(
    field: &'static str,
    duration: Duration,
    range_ms: RangeInclusive<u64>,
) -> Result<(), SettingsError> {
    let value = whole_millis(duration);
    if range_ms.contains(&value) {
        return Ok(());
    }
    let (min, max) = range_ms.into_inner();
    Err(SettingsError::TimeOutOfRange { field, value, min, max })
}

fn check_name(field: &'static str, value: &str) -> Result<(), SettingsError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if (1..=MAX_NAME_BYTES).contains(&value.len()) && value.bytes().all(is_plain) {
        Ok(())
    } else {
        Err(SettingsError::InvalidName { field, value: value.to_owned() })
    }
}

#[cfg(test)]
mod tests;
