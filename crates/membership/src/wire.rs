//! Datagrams: what is round the words of SWIM, and the few words that are not SWIM's. Strict and bounded; nothing that
//! comes in can cause a panic.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `pt` |
//! | 1 | version of this format |
//! | 1 | kind |
//! | 4 | CRC-32C of all that follows and of the two bytes before, big-endian |
//! | 1, then as many | the fleet's name |
//! | the rest | what the kind says, by `postcard` |

use crate::identity::MemberId;
use serde::{Deserialize, Serialize};

/// The longest datagram: it passes every usual link in one piece.
pub const MAX_DATAGRAM: usize = 1200;
const MAGIC: [u8; 2] = *b"pt";
const VERSION: u8 = 1;
const HEAD: usize = 9;

/// What a datagram is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// SWIM.
    Swim,
    /// "Who is there? I am this one": an [`MemberId`].
    Discover,
    /// "It is me": an [`MemberId`], to who said hello.
    DiscoverReply,
    /// "I bear your name": an [`MemberId`].
    NameConflict,
    /// "I have no room for you": how many I have room for.
    FleetFull,
    /// "I go": an [`MemberId`].
    Leave,
    /// What the floor of shares says.
    Quota,
    /// Where a process's links are.
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is none of ours at all.
    UnknownProtocol,
    /// Its format is newer than this program.
    UnsupportedVersion,
    /// It is damaged, or says what cannot be.
    Corrupt,
    /// It is another fleet's.
    OtherFleet,
    /// It is of a member for which there is no room.
    FleetFull,
}

/// How many bytes of a datagram are left for what a kind says.
pub(crate) fn body_capacity(fleet: &str) -> usize {
    MAX_DATAGRAM - HEAD - fleet.len()
}

/// A datagram of a fleet.
pub(crate) fn encode_datagram(kind: DatagramKind, fleet: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + fleet.len() + body.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&[VERSION, kind as u8, 0, 0, 0, 0, fleet.len() as u8]);
    out.extend_from_slice(fleet.as_bytes());
    out.extend_from_slice(body);
    let sum = checksum(&out);
    out[4..8].copy_from_slice(&sum.to_be_bytes());
    out
}

fn checksum(datagram: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&datagram[2..4]), &datagram[8..])
}

/// What a datagram of this fleet is about, and what it says.
pub fn decode_datagram<'a>(fleet: &str, datagram: &'a [u8]) -> Result<(DatagramKind, &'a [u8]), DropReason> {
    if datagram.len() < HEAD || datagram[..2] != MAGIC {
        return Err(DropReason::UnknownProtocol);
    }
    if datagram[2] > VERSION {
        return Err(DropReason::UnsupportedVersion);
    }
    let sum = u32::from_be_bytes([datagram[4], datagram[5], datagram[6], datagram[7]]);
    if datagram.len() > MAX_DATAGRAM || checksum(datagram) != sum {
        return Err(DropReason::Corrupt);
    }
    let length = usize::from(datagram[8]);
    let name = datagram.get(HEAD..HEAD + length).ok_or(DropReason::Corrupt)?;
    if name != fleet.as_bytes() {
        return Err(DropReason::OtherFleet);
    }
    let kind = KINDS.get(usize::from(datagram[3])).copied().ok_or(DropReason::UnsupportedVersion)?;
    Ok((kind, &datagram[HEAD + length..]))
}

/// The words of a kind that is not SWIM's.
pub(crate) fn encode_body(said: &impl Serialize) -> Vec<u8> {
    // Ids and numbers have a form in postcard: nothing here fails.
    postcard::to_allocvec(said).unwrap_or_default()
}

/// Reads them.
pub(crate) fn decode_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, DropReason> {
    match postcard::take_from_bytes(body) {
        Ok((said, [])) => Ok(said),
        _ => Err(DropReason::Corrupt),
    }
}

/// Reads who says it.
pub(crate) fn decode_member_id(body: &[u8]) -> Result<MemberId, DropReason> {
    decode_body(body).and_then(|id: MemberId| if id.is_valid() { Ok(id) } else { Err(DropReason::Corrupt) })
}

#[cfg(test)]
mod tests;
