//! [`Settings`]: what a member is configured with, and the checks of it.

use crate::identity::MAX_NAME_BYTES;
use pinetrail_clock::whole_millis;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The largest size that a fleet can be configured with.
const MAX_FLEET_SIZE: usize = 1024;
/// The least size that a fleet can be configured with.
const MIN_FLEET_SIZE: usize = 2;

const PROBE_PERIOD_RANGE_MS: RangeInclusive<u64> = 50..=60_000;
const MIN_PROBE_TIMEOUT_MS: u64 = 10;
/// An indirect probe needs the rest of the probe period.
const MAX_PROBE_TIMEOUT_PERCENT_OF_PERIOD: u64 = 80;
const MAX_SUSPICION_TIMEOUT_MS: u64 = 600_000;
const GOSSIP_INTERVAL_RANGE_MS: RangeInclusive<u64> = 20..=60_000;
const RECONNECT_INTERVAL_RANGE_MS: RangeInclusive<u64> = 100..=600_000;
const DISCOVERY_INTERVAL_RANGE_MS: RangeInclusive<u64> = 100..=600_000;
const MIN_RETENTION_IN_SUSPICION_TIMEOUTS: u64 = 2;
const MAX_RETENTION_MS: u64 = 86_400_000;

/// What a member is configured with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The fleet's name: datagrams of other fleets are dropped.
    pub fleet: String,
    /// This member's name.
    pub name: String,
    /// The address at which others reach it.
    pub advertise: SocketAddr,
    /// The addresses to contact at first, and again while they are not among the live members.
    pub peers: Vec<SocketAddr>,
    /// The most members, this one included, that are remembered.
    pub size: usize,
    /// Periods and timeouts.
    pub timing: Timing,
}

/// Periods and timeouts. Durations count in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each period. Default: 400 ms.
    pub probe_period: Duration,
    /// A probe without a response for this long is repeated by way of other members. Default:
    /// 160 ms.
    pub probe_timeout: Duration,
    /// A suspected member that does not refute the suspicion for this long has failed. In a fleet
    /// of more than ten it is longer, by the logarithm of the number of members. Default: 1 s.
    pub suspicion_timeout: Duration,
    /// How often updates are gossiped. Default: 100 ms.
    pub gossip_interval: Duration,
    /// How often some of the failed members are contacted again, which heals a partition. Default:
    /// 1 s.
    pub reconnect_interval: Duration,
    /// How often peers that are not among the live members are contacted. Default: 1 s.
    pub discovery_interval: Duration,
    /// How long a member that has failed or left is remembered. Default: 10 min.
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

/// Why settings are invalid. The texts name the configuration's keys.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A name is empty, too long, or has characters that would make log lines ambiguous.
    #[error("{field} {value:?} is not 1 to {MAX_NAME_BYTES} of letters, digits, '.', '_' and '-'")]
    InvalidName {
        /// The key.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// No other process can send to the advertised address.
    #[error("advertise {0} is no address that others reach (set advertise where bind is unspecified)")]
    UnreachableAdvertise(SocketAddr),
    /// A peer is this member itself.
    #[error("peers: {0} is this member itself")]
    PeerIsSelf(SocketAddr),
    /// This member cannot send to the address of a peer.
    #[error("peers: {0} is no address that can be asked")]
    UnreachablePeer(SocketAddr),
    /// A peer is named twice.
    #[error("peers: {0} is named twice")]
    DuplicatePeer(SocketAddr),
    /// The size does not hold this member and its peers, or is too large.
    #[error("size {size} is not {min} to {MAX_FLEET_SIZE}: itself and its peers")]
    SizeOutOfRange {
        /// The configured size.
        size: usize,
        /// The least size that holds this member and its peers.
        min: usize,
    },
    /// A duration is out of its range.
    #[error("{field} {value} is not {min} to {max}, in ms")]
    TimeOutOfRange {
        /// The key.
        field: &'static str,
        /// Its value, in ms.
        value: u64,
        /// The least value, in ms.
        min: u64,
        /// The greatest value, in ms.
        max: u64,
    },
}

impl Settings {
    /// Checks that a member can run with these settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first setting that is invalid.
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
