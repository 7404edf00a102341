//! The format of what peers exchange: [`Frame`], of which [`Handshake`] is the first.
//!
//! A frame is its length (4 bytes, big-endian, by tokio-util), the CRC-32C of the rest (4 bytes,
//! big-endian), and a postcard value. Reading is strict and bounded; nothing that comes in can
//! cause a panic.

use crate::config::MAX_FRAME_LENGTH;
use crate::error::{DecodeError, EncodeError};
use crate::process::Process;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The version of the format. A peer with another version is refused in the handshake.
pub(crate) const VERSION: u16 = 1;
/// Bytes of the checksum.
const CHECKSUM_LENGTH: usize = 4;

/// What both ends of a connection send first.
///
/// The order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The version of the frames.
    pub version: u16,
    /// The name of the fleet that the sender belongs to.
    pub fleet: String,
    /// The process that sends this.
    pub sender: Process,
    /// The sender's voter id, if it holds one.
    pub voter_id: Option<u8>,
}

/// Relates a response to its request. It counts the requests that one end of one connection sent.
pub(crate) type RequestId = u64;

/// One frame.
///
/// The order of the variants, and of the fields in them, is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The first frame of either end, and of no other place.
    Handshake(Handshake),
    /// Nothing else was to be sent for a while.
    Heartbeat,
    /// The sender dropped something that did not fit into its queue.
    Resync,
    /// A message that has no response.
    OneWay(Vec<u8>),
    /// A message that wants a response.
    Request(RequestId, Vec<u8>),
    /// The response to a request.
    Response(RequestId, Vec<u8>),
    /// There is no response to a request.
    NoResponse(RequestId),
}

/// The codec that puts the length before a frame.
pub(crate) fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_LENGTH).new_codec()
}

/// A frame as it is written, with its checksum and without its length.
pub(crate) fn encode(frame: &Frame) -> Result<Bytes, EncodeError> {
    let body = postcard::to_allocvec(frame).map_err(EncodeError::Serialize)?;
    let length = CHECKSUM_LENGTH + body.len();
    if length > MAX_FRAME_LENGTH {
        return Err(EncodeError::TooLong { length });
    }
    let mut encoded = BytesMut::with_capacity(length);
    encoded.put_u32(crc32c::crc32c(&body));
    encoded.extend_from_slice(&body);
    Ok(encoded.freeze())
}

/// The frame that [`encode`] wrote.
pub(crate) fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    let Some((checksum, body)) = bytes.split_first_chunk::<CHECKSUM_LENGTH>() else {
        return Err(DecodeError::TooShort { length: bytes.len() });
    };
    let found = u32::from_be_bytes(*checksum);
    let computed = crc32c::crc32c(body);
    if found != computed {
        return Err(DecodeError::ChecksumMismatch { found, computed });
    }
    let (frame, rest) = postcard::take_from_bytes(body).map_err(DecodeError::Deserialize)?;
    if !rest.is_empty() {
        return Err(DecodeError::TrailingBytes { length: rest.len() });
    }
    Ok(frame)
}

#[cfg(test)]
mod tests;
