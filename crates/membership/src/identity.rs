//! [`MemberId`]: the identity of a member. The name and the start time together identify a process.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The maximum length of the name of a member or a fleet, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The generation with which a member announces that it leaves. No generation of the same process
/// supersedes it, and no other process announces it on behalf of that member.
pub(crate) const LEAVE_GENERATION: u32 = u32::MAX;

/// The identity of one process of the fleet.
///
/// Invariant: the order of the fields is the format in datagrams and must not change. The names of
/// the fields are not part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RawMemberId")]
pub struct MemberId {
    /// The hash of the name. The library `foca` looks a member up by comparing this hash with that
    /// of every member.
    #[serde(skip)]
    name_hash: u128,
    /// The name, which a later process may have again.
    pub name: Arc<str>,
    /// The start of the process, in Unix microseconds. Of two processes with one name, the one that
    /// started later counts.
    pub start: u64,
    /// The number of times that the process has rejoined after others had declared it failed.
    /// SWIM's incarnation is another number: it counts refuted suspicions and restarts at 0 with
    /// each generation.
    pub generation: u32,
    /// The address at which the process receives datagrams.
    pub address: SocketAddr,
}

/// The fields of a [`MemberId`] that a datagram contains.
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
    /// Creates the identity of a process that has not rejoined yet. `start` is in Unix
    /// microseconds.
    pub fn new(name: Arc<str>, start: u64, address: SocketAddr) -> MemberId {
        let name_hash = xxhash_rust::xxh3::xxh3_128(name.as_bytes());
        MemberId { name_hash, name, start, generation: 0, address }
    }

    /// Returns the hash of the name, by which members are looked up.
    pub(crate) fn name_hash(&self) -> u128 {
        self.name_hash
    }

    /// Returns the identity of the same process in this generation.
    pub(crate) fn with_generation(&self, generation: u32) -> MemberId {
        MemberId { generation, ..self.clone() }
    }

    /// Returns the identity with the same name and address, this start and generation 0. `start` is
    /// in Unix microseconds.
    pub(crate) fn with_start(&self, start: u64) -> MemberId {
        MemberId { start, generation: 0, ..self.clone() }
    }

    /// Decides whether this identity counts instead of another one with the same name: it is of a
    /// later process, or of a later generation of the same process.
    ///
    /// Inputs: the starts of the processes, in Unix microseconds; their generations.
    /// Reason: a restarted process must replace its predecessor, and a process that rejoins must
    /// replace its generation that was declared failed.
    /// Source: SWIM does not define this order. The starts are read from the clock of the host.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        (self.start, self.generation) > (other.start, other.generation)
    }

    /// Returns whether a process could have this identity: the name is not empty and not too long,
    /// and others can send to the address.
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
