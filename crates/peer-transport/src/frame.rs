//! Frames: a length (4 bytes, big-endian, by tokio-util), CRC-32C of the rest (4 bytes, big-endian), and a postcard value. Strict
//! and bounded; nothing that comes in can cause a panic.

use crate::process::Process;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The longest frame, without its length.
pub const MAX_FRAME_LENGTH: usize = 1 << 20;
/// Frames of other versions are not understood.
pub(crate) const VERSION: u16 = 1;
const SUM: usize = 4;

/// What either end says first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The version of the frames.
    pub version: u16,
    /// The fleet.
    pub fleet: String,
    /// Who says this.
    pub from: Process,
    /// Which founder's seat it holds, if any.
    pub seat: Option<u8>,
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    Handshake(Handshake),
    /// Nothing else was to be said for a while.
    Beat,
    /// Something was dropped since it did not fit.
    Behind,
    Tell(Vec<u8>),
    Ask(u64, Vec<u8>),
    Answer(u64, Vec<u8>),
    /// What was asked has no answer.
    NoAnswer(u64),
}

/// The codec of lengths.
pub(crate) fn lengths() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_LENGTH).new_codec()
}

/// A frame as it is written, without its length; none if it is too long.
pub(crate) fn seal(frame: &Frame) -> Option<Bytes> {
    let body = postcard::to_allocvec(frame).ok()?;
    if body.len() + SUM > MAX_FRAME_LENGTH {
        return None;
    }
    let mut out = BytesMut::with_capacity(SUM + body.len());
    out.put_u32(crc32c::crc32c(&body));
    out.extend_from_slice(&body);
    Some(out.freeze())
}

/// What was written; none if it is spoilt.
pub(crate) fn open(bytes: &[u8]) -> Option<Frame> {
    let (sum, body) = bytes.split_first_chunk::<SUM>()?;
    if crc32c::crc32c(body) != u32::from_be_bytes(*sum) {
        return None;
    }
    match postcard::take_from_bytes(body) {
        Ok((frame, [])) => Some(frame),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
