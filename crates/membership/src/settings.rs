//! What a member is told at its start, and what must hold of it.

use crate::identity::MAX_NAME;
use std::net::SocketAddr;
use thiserror::Error;

/// The most members that a fleet may be told to have.
const MOST: usize = 1024;

/// What a member is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The fleet's name: datagrams of others are dropped.
    pub fleet: String,
    /// This member's name.
    pub name: String,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Whom to ask at first, and again while they are not heard.
    pub peers: Vec<SocketAddr>,
    /// The most members, this one included, that are remembered.
    pub size: usize,
    /// How long things take.
    pub times: Timing,
}

/// How long things take, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed each period.
    pub period: u64,
    /// A probe without an answer for so long is repeated by way of others.
    pub answer: u64,
    /// Who is suspected, and does not object for so long, has failed; longer in a fleet of over ten.
    pub suspicion: u64,
    /// News that wait go out so often.
    pub gossip: u64,
    /// Some of those that failed are asked again so often: this heals a cut.
    pub reunion: u64,
    /// Peers that are not heard are asked so often.
    pub rejoin: u64,
    /// Who has failed or left is forgotten after this.
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

/// Why a member cannot be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A name is empty, too long, or has characters that would confuse whoever reads it.
    #[error("{field} {value:?} is not 1 to {MAX_NAME} of letters, digits, '.', '_' and '-'")]
    Name {
        /// Which.
        field: &'static str,
        /// What it is.
        value: String,
    },
    /// Nobody could reach it there.
    #[error("advertise {0} is no address that others reach (set advertise where bind is unspecified)")]
    Unreachable(SocketAddr),
    /// It is told to ask itself.
    #[error("peers: {0} is this member itself")]
    Itself(SocketAddr),
    /// A peer has no address that can be reached.
    #[error("peers: {0} is no address that can be asked")]
    Peer(SocketAddr),
    /// One peer is named twice.
    #[error("peers: {0} is named twice")]
    Twice(SocketAddr),
    /// The size does not hold those that are named.
    #[error("size {0} is not {1} to {MOST}: itself and its peers")]
    Size(usize, usize),
    /// A time is out of its range.
    #[error("{field} {value} is not {least} to {most}, in ms")]
    Time {
        /// Which.
        field: &'static str,
        /// What it is.
        value: u64,
        /// The least.
        least: u64,
        /// The most.
        most: u64,
    },
}

impl Settings {
    /// Whether a member can be as it is told to.
    pub fn check(&self) -> Result<(), SettingsError> {
        name("fleet.name", &self.fleet)?;
        name("name", &self.name)?;
        if self.advertise.ip().is_unspecified() {
            return Err(SettingsError::Unreachable(self.advertise));
        }
        for (at, peer) in self.peers.iter().enumerate() {
            if *peer == self.advertise {
                return Err(SettingsError::Itself(*peer));
            }
            if peer.ip().is_unspecified() || peer.port() == 0 {
                return Err(SettingsError::Peer(*peer));
            }
            if self.peers[..at].contains(peer) {
                return Err(SettingsError::Twice(*peer));
            }
        }
        let least = (self.peers.len() + 1).max(2);
        if !(least..=MOST).contains(&self.size) {
            return Err(SettingsError::Size(self.size, least));
        }
        self.times.check()
    }
}

impl Timing {
    fn check(&self) -> Result<(), SettingsError> {
        let within = |field, value, least, most| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(SettingsError::Time { field, value, least, most })
            }
        };
        within("period_ms", self.period, 50, 60_000)?;
        // A probe by way of others needs its time within the period.
        within("answer_ms", self.answer, 10, self.period * 4 / 5)?;
        within("suspicion_ms", self.suspicion, self.period, 600_000)?;
        within("gossip_ms", self.gossip, 20, 60_000)?;
        within("reunion_ms", self.reunion, 100, 600_000)?;
        within("rejoin_ms", self.rejoin, 100, 600_000)?;
        within("forget_ms", self.forget, self.suspicion.saturating_mul(2), 86_400_000)
    }
}

fn name(field: &'static str, value: &str) -> Result<(), SettingsError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if (1..=MAX_NAME).contains(&value.len()) && value.bytes().all(plain) {
        Ok(())
    } else {
        Err(SettingsError::Name { field, value: value.to_owned() })
    }
}

#[cfg(test)]
mod tests;
