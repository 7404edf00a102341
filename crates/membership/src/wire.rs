//! The format of datagrams: their header, and the messages that are not SWIM's. Read
//! [`DatagramKind`] first. Decoding is strict and bounded, and never panics.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `pt` |
//! | 1 | version of this format |
//! | 1 | kind |
//! | 4 | CRC-32C of the two bytes before and of all that follows, big-endian |
//! | 1 | length of the fleet's name, in bytes |
//! | that many | the fleet's name |
//! | the rest | the body of this kind, by `postcard` |

use crate::identity::MemberId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a datagram, small enough that no usual link fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const MAGIC: [u8; 2] = *b"pt";
const VERSION: u8 = 1;
/// The length of the header before the fleet's name.
const HEADER_BYTES: usize = 9;

/// The kind of a datagram.
///
/// Invariant: the order of the variants must not change, since datagrams contain their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A message of SWIM.
    Swim,
    /// A request for a [`DatagramKind::DiscoverReply`]. The body is the [`MemberId`] of the sender.
    Discover,
    /// The response to [`DatagramKind::Discover`]. The body is the [`MemberId`] of the sender.
    DiscoverReply,
    /// The notice that another process has the receiver's name. The body is the [`MemberId`] of
    /// that process.
    NameConflict,
    /// The notice that the receiver is not admitted. The body is the size of the fleet, as a `u64`.
    FleetFull,
    /// The notice that the sender leaves. The body is the sender's [`MemberId`] in its last
    /// generation.
    Leave,
    /// A quota message.
    Quota,
    /// A message of the peer directory: the address at which a process accepts connections of
    /// peers.
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

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// The datagram is not of this protocol.
    #[error("the datagram is not of this protocol")]
    UnknownProtocol,
    /// The format or the kind of the datagram is newer than this program.
    #[error("the format or the kind of the datagram is newer than this program")]
    UnsupportedVersion,
    /// The datagram is damaged or has invalid content.
    #[error("the datagram is corrupt")]
    Corrupt,
    /// The datagram is of another fleet.
    #[error("the datagram is of another fleet")]
    OtherFleet,
    /// The sender cannot be admitted because the fleet has reached its configured size.
    #[error("the sender is not admitted because the fleet has reached its configured size")]
    FleetFull,
}

/// Returns the maximum length of the body of a datagram of this fleet, in bytes.
pub(crate) fn body_capacity(fleet: &str) -> usize {
    MAX_DATAGRAM_BYTES - HEADER_BYTES - fleet.len()
}

/// Encodes a datagram of this fleet.
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

/// Returns the kind and the body of a datagram of this fleet.
///
/// # Errors
///
/// The [`DropReason`] if the datagram is to be dropped.
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

/// Encodes the body of a datagram that is not SWIM's, or a part of a message of SWIM.
pub(crate) fn encode_body(value: &impl Serialize) -> Vec<u8> {
    // Postcard cannot fail on identities and numbers.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Decodes a body that consists of exactly one value.
///
/// # Errors
///
/// [`DropReason::Corrupt`] if the body is not one value of this type.
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
