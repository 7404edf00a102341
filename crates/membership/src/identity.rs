//! Who a member is. A name is not a process: name and start together are.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest name of a member or a fleet, in bytes.
pub const MAX_NAME: usize = 64;

/// One process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RawMemberId")]
pub struct MemberId {
    /// Stands for the name where members are compared: SWIM looks for one by going through all of them.
    #[serde(skip)]
    mark: u128,
    /// Its name, which a later process may bear again.
    pub name: Arc<str>,
    /// When it started, in Unix microseconds. Of two processes of one name the later start counts.
    pub start: u64,
    /// How often it had to come back after others took it for failed.
    pub life: u32,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What a datagram says of a process.
#[derive(Deserialize)]
struct RawMemberId {
    name: Arc<str>,
    start: u64,
    life: u32,
    address: SocketAddr,
}

impl From<RawMemberId> for MemberId {
    fn from(told: RawMemberId) -> MemberId {
        MemberId { life: told.life, ..MemberId::new(told.name, told.start, told.address) }
    }
}

impl MemberId {
    /// A process in its first life.
    pub fn new(name: Arc<str>, start: u64, address: SocketAddr) -> MemberId {
        MemberId { mark: xxhash_rust::xxh3::xxh3_128(name.as_bytes()), name, start, life: 0, address }
    }

    /// What stands for its name where members are compared.
    pub(crate) fn mark(&self) -> u128 {
        self.mark
    }

    /// The same name and place in another life.
    pub(crate) fn in_life(&self, start: u64, life: u32) -> MemberId {
        MemberId { start, life, ..self.clone() }
    }

    /// Whether this is the same process, or a later one of its name.
    pub fn outlives(&self, other: &MemberId) -> bool {
        (self.start, self.life) > (other.start, other.life)
    }

    /// Whether its words could be true.
    pub(crate) fn is_sound(&self) -> bool {
        !self.name.is_empty()
            && self.name.len() <= MAX_NAME
            && !self.address.ip().is_unspecified()
            && self.address.port() != 0
    }
}

impl foca::Identity for MemberId {
    type Addr = u128;

    fn renew(&self) -> Option<MemberId> {
        Some(self.in_life(self.start, self.life.saturating_add(1)))
    }

    fn addr(&self) -> u128 {
        self.mark
    }

    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        self.outlives(other)
    }
}
