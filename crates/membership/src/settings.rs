//! What a member is configured with, and what must hold of it: [`Settings`].

use crate::identity::MAX_NAME;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use thiserror::Error;

/// The largest size that a fleet can be configured with.
const MAX_SIZE: usize = 1024;

/// What a member is configured with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The fleet's name: datagrams of other fleets are dropped.
    pub fleet: String,
    /// This member's name.
    pub name: String,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Whom to contact at first, and again while they are not among the live members.
    pub peers: Vec<SocketAddr>,
    /// The most members, this one included, that are remembered.
    pub size: usize,
    /// How long things take.
    pub times: Timing,
}

/// How long things take, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each period.
    pub period: u64,
    /// A probe without an answer for so long is repeated by way of other members.
    pub answer: u64,
    /// A suspected member that does not refute the suspicion for so long has failed. In a fleet of
    /// more than ten it is longer, by the logarithm of the number of members.
    pub suspicion: u64,
    /// How often updates are gossiped.
    pub gossip: u64,
    /// How often some of the failed members are contacted again: this heals a partition.
    pub reunion: u64,
    /// How often peers that are not among the live members are contacted.
    pub rejoin: u64,
    /// How long a member that has failed or left is remembered.
    pub forget: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            period: 400,
            answer: 160,
            suspicion: 1000,
            gossip: 100,
            reunion: 1000,
            rejoin: 1000,
            forget: 600_000,
        }
    }
}

/// Why a member cannot be as it is configured. The texts name the configuration's keys.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A name is empty, too long, or has characters that would confuse whoever reads it.
    #[error("{field} {value:?} is not 1 to {MAX_NAME} of letters, digits, '.', '_' and '-'")]
    InvalidName {
        /// The key.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The advertised address is one that nobody can send to.
    #[error("advertise {0} is no address that others reach (set advertise where bind is unspecified)")]
    UnreachableAdvertise(SocketAddr),
    /// A peer is this member itself.
    #[error("peers: {0} is this member itself")]
    PeerIsSelf(SocketAddr),
    /// A peer has an address that nobody can send to.
    #[error("peers: {0} is no address that can be asked")]
    UnreachablePeer(SocketAddr),
    /// A peer is named twice.
    #[error("peers: {0} is named twice")]
    DuplicatePeer(SocketAddr),
    /// The size does not hold this member and its peers, or is too large.
    #[error("size {size} is not {least} to {MAX_SIZE}: itself and its peers")]
    SizeOutOfRange {
        /// The configured size.
        size: usize,
        /// The least size that holds this member and its peers.
        least: usize,
    },
    /// A time is out of its range.
    #[error("{field} {value} is not {least} to {most}, in ms")]
    TimeOutOfRange {
        /// The key.
        field: &'static str,
        /// Its value, in ms.
        value: u64,
        /// The least value, in ms.
        least: u64,
        /// The greatest value, in ms.
        most: u64,
    },
}

impl Settings {
    /// Checks that a member can run with these settings.
    ///
    /// # Errors
    ///
    /// The first of the settings that cannot be.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("fleet.name", &self.fleet)?;
        check_name("name", &self.name)?;
        if self.advertise.ip().is_unspecified() {
            return Err(SettingsError::UnreachableAdvertise(self.advertise));
        }
        self.check_peers()?;
        let least = (self.peers.len() + 1).max(2);
        if !(least..=MAX_SIZE).contains(&self.size) {
            return Err(SettingsError::SizeOutOfRange { size: self.size, least });
        }
        self.times.check()
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
        check_time("period_ms", self.period, 50..=60_000)?;
        // An indirect probe needs its time within the period.
        check_time("answer_ms", self.answer, 10..=self.period * 4 / 5)?;
        check_time("suspicion_ms", self.suspicion, self.period..=600_000)?;
        check_time("gossip_ms", self.gossip, 20..=60_000)?;
        check_time("reunion_ms", self.reunion, 100..=600_000)?;
        check_time("rejoin_ms", self.rejoin, 100..=600_000)?;
        check_time("forget_ms", self.forget, self.suspicion.saturating_mul(2)..=86_400_000)
    }
}

fn check_time(field: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (least, most) = range.into_inner();
    Err(SettingsError::TimeOutOfRange { field, value, least, most })
}

fn check_name(field: &'static str, value: &str) -> Result<(), SettingsError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if (1..=MAX_NAME).contains(&value.len()) && value.bytes().all(is_plain) {
        Ok(())
    } else {
        Err(SettingsError::InvalidName { field, value: value.to_owned() })
    }
}

#[cfg(test)]
mod tests;
