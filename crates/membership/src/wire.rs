//! The format of datagrams: the header around messages of SWIM, and the messages that are not
//! SWIM's. Read [`DatagramKind`] first. Decoding is strict and bounded, and never panics.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `pt` |
//! | 1 | version of this format |
//! | 1 | kind |
//! | 4 | CRC-32C of the two bytes before and of all that follows, big-endian |
//! | 1, then as many | the fleet's name |
//! | the rest | the body of this kind, by `postcard` |

use crate::identity::MemberId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest datagram, in bytes: it passes every usual link in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const MAGIC: [u8; 2] = *b"pt";
const VERSION: u8 = 1;
/// Bytes before the fleet's name.
const HEADER_BYTES: usize = 9;

/// The kind of a datagram.
///
/// Invariant: the order of the variants is the format and must not change, since their numbers are
/// sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A message of SWIM.
    Swim,
    /// Asks for a [`DatagramKind::DiscoverReply`]: the [`MemberId`] of the sender.
    Discover,
    /// The reply to [`DatagramKind::Discover`]: the [`MemberId`] of the sender.
    DiscoverReply,
    /// Another process has the receiver's name: the [`MemberId`] of that process.
    NameConflict,
    /// The receiver is not admitted: the size of the fleet, as a `u64`.
    FleetFull,
    /// The sender leaves: its [`MemberId`] in the last generation.
    Leave,
    /// A message about quota.
    Quota,
    /// A message of the peer directory: where a process accepts connections of its peers.
    Directory,
}

const KINDS: [DatagramKind; 8] = [
    DatagramKind::Swim,
    DatagramKind::Discover,
    DatagramKind::DiscoverReply,
    DatagramKind::NameConflict,
    DatagramKind::FleetFull,
    DatagramKind::Leave,
    DatagramKind::Quota,
    DatagramKind::Directory,
];

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// It is not of this protocol.
    #[error("not a datagram of a fleet")]
    UnknownProtocol,
    /// Its format is newer than this program.
    #[error("of a newer version of the format")]
    UnsupportedVersion,
    /// It is damaged, or its content cannot be true.
    #[error("corrupt")]
    Corrupt,
    /// It is of another fleet.
    #[error("of another fleet")]
    OtherFleet,
    /// Its sender cannot be admitted: the fleet has its full size.
    #[error("of a member that the fleet has no capacity for")]
    FleetFull,
}

/// The bytes of a datagram of this fleet that the body may have.
pub(crate) fn body_capacity(fleet: &str) -> usize {
    MAX_DATAGRAM_BYTES - HEADER_BYTES - fleet.len()
}

/// A datagram of this fleet.
pub(crate) fn encode_datagram(kind: DatagramKind, fleet: &str, body: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(HEADER_BYTES + fleet.len() + body.len());
    datagram.extend_from_slice(&MAGIC);
    datagram.extend_from_slice(&[VERSION, kind as u8, 0, 0, 0, 0, fleet.len() as u8]);
    datagram.extend_from_slice(fleet.as_bytes());
    datagram.extend_from_slice(body);
    let sum = checksum(&datagram);
    datagram[4..8].copy_from_slice(&sum.to_be_bytes());
    datagram
}

fn checksum(datagram: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&datagram[2..4]), &datagram[8..])
}

/// The kind and the body of a datagram of this fleet.
///
/// # Errors
///
/// Why the datagram is to be dropped.
pub fn decode_datagram<'a>(fleet: &str, datagram: &'a [u8]) -> Result<(DatagramKind, &'a [u8]), DropReason> {
    if datagram.len() < HEADER_BYTES || datagram[..2] != MAGIC {
        return Err(DropReason::UnknownProtocol);
    }
    if datagram[2] > VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    let sum = u32::from_be_bytes([datagram[4], datagram[5], datagram[6], datagram[7]]);
    if datagram.len() > MAX_DATAGRAM_BYTES || checksum(datagram) != sum {
        return Err(DropReason::Corrupt);
    }
    let body_start = HEADER_BYTES + usize::from(datagram[8]);
    let name = datagram.get(HEADER_BYTES..body_start).ok_or(DropReason::Corrupt)?;
    if name != fleet.as_bytes() {
        return Err(DropReason::OtherFleet);
    }
    let kind = KINDS.get(usize::from(datagram[3])).copied();
    let kind = kind.ok_or(DropReason::UnsupportedVersion)?;
    Ok((kind, &datagram[body_start..]))
}

/// Encodes the body of a kind that is not SWIM's, or a part of a message of SWIM.
pub(crate) fn encode_body(value: &impl Serialize) -> Vec<u8> {
    // Postcard encodes identities and numbers without failure.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Decodes a body, which must end with the value.
///
/// # Errors
///
/// [`DropReason::Corrupt`] if the body is not such a value.
pub(crate) fn decode_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, DropReason> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(DropReason::Corrupt),
    }
}

/// Decodes a body that is the identity of a member.
///
/// # Errors
///
/// [`DropReason::Corrupt`] if the body is not an identity that a process could have.
pub(crate) fn decode_member_id(body: &[u8]) -> Result<MemberId, DropReason> {
    let id: MemberId = decode_body(body)?;
    if id.is_valid() {
        Ok(id)
    } else {
        Err(DropReason::Corrupt)
    }
}

#[cfg(test)]
mod tests;
