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
    name_hash: u128,
    /// Its name, which a later process may bear again.
    pub name: Arc<str>,
    /// When it started, in Unix microseconds. Of two processes of one name the later start counts.
    pub start: u64,
    /// How often it had to come back after others took it for failed.
    pub generation: u32,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What a datagram says of a process.
#[derive(Deserialize)]
struct RawMemberId {
    name: Arc<str>,
    start: u64,
    generation: u32,
    address: SocketAddr,
}

impl From<RawMemberId> for MemberId {
    fn from(raw: RawMemberId) -> MemberId {
        MemberId { generation: raw.generation, ..MemberId::new(raw.name, raw.start, raw.address) }
    }
}

impl MemberId {
    /// A process in its first life.
    pub fn new(name: Arc<str>, start: u64, address: SocketAddr) -> MemberId {
        MemberId {
            name_hash: xxhash_rust::xxh3::xxh3_128(name.as_bytes()),
            name,
            start,
            generation: 0,
            address,
        }
    }

    /// What stands for its name where members are compared.
    pub(crate) fn name_hash(&self) -> u128 {
        self.name_hash
    }

    /// The same process after it rejoined for the `generation`th time.
    pub(crate) fn with_generation(&self, generation: u32) -> MemberId {
        MemberId { generation, ..self.clone() }
    }

    /// A later process of the same name and address, which never had to rejoin.
    pub(crate) fn with_start(&self, start: u64) -> MemberId {
        MemberId { start, generation: 0, ..self.clone() }
    }

    /// Whether this is the same process, or a later one of its name.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        (self.start, self.generation) > (other.start, other.generation)
    }

    /// Whether its words could be true.
    pub(crate) fn is_valid(&self) -> bool {
        !self.name.is_empty()
            && self.name.len() <= MAX_NAME
            && !self.address.ip().is_unspecified()
            && self.address.port() != 0
    }
}

impl foca::Identity for MemberId {
    type Addr = u128;

    fn renew(&self) -> Option<MemberId> {
        Some(self.with_generation(self.generation.saturating_add(1)))
    }

    fn addr(&self) -> u128 {
        self.name_hash
    }

    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        self.supersedes(other)
    }
}
