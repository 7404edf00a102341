//! [`MemberId`]: the identity of a member. A name and a start together identify a process.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest name of a member or a fleet, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The generation that a member takes to announce that it leaves. No other process announces it for
/// that member, and no generation supersedes it.
pub(crate) const LEAVE_GENERATION: u32 = u32::MAX;

/// One process of the fleet.
///
/// Invariant: the order of the fields is the format of datagrams and must not change; their names
/// are not part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RawMemberId")]
pub struct MemberId {
    /// A hash of the name. SWIM looks for a member by comparing all of them, and compares these.
    #[serde(skip)]
    name_hash: u128,
    /// Its name, which a later process may have again.
    pub name: Arc<str>,
    /// When it started, in Unix microseconds. Of two processes with one name the later start counts.
    pub start: u64,
    /// How often it has rejoined after others took it for failed. SWIM's incarnation is another
    /// number: it counts refuted suspicions and restarts with each generation.
    pub generation: u32,
    /// Its address.
    pub address: SocketAddr,
}

/// The fields of a [`MemberId`] that are in a datagram.
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
    /// A process that has not had to rejoin yet. `start` is in Unix microseconds.
    pub fn new(name: Arc<str>, start: u64, address: SocketAddr) -> MemberId {
        let name_hash = xxhash_rust::xxh3::xxh3_128(name.as_bytes());
        MemberId { name_hash, name, start, generation: 0, address }
    }

    /// The hash of its name, by which members are compared.
    pub(crate) fn name_hash(&self) -> u128 {
        self.name_hash
    }

    /// The same process in another generation.
    pub(crate) fn with_generation(&self, generation: u32) -> MemberId {
        MemberId { generation, ..self.clone() }
    }

    /// A process of the same name and address with another start, in its first generation.
    pub(crate) fn with_start(&self, start: u64) -> MemberId {
        MemberId { start, generation: 0, ..self.clone() }
    }

    /// Whether this is a later process of that name, or a later generation of the same process.
    ///
    /// Decides: which of two identities with one name counts.
    /// Inputs: the starts of the processes, in Unix microseconds; their generations.
    /// Reason: a restarted process must replace its predecessor, and one that rejoins the generation
    /// that was taken for failed.
    /// Source: SWIM leaves it open; the clock of the host orders the starts.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        (self.start, self.generation) > (other.start, other.generation)
    }

    /// Whether a process could have this identity.
    pub(crate) fn is_valid(&self) -> bool {
        !self.name.is_empty()
            && self.name.len() <= MAX_NAME_BYTES
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
