//! The frames that peers exchange, and their encoding: [`Frame`]. The first frame of each end is a
//! [`Handshake`].
//!
//! On the wire a frame is a length prefix (4 bytes, big-endian, by tokio-util), the CRC-32C of the
//! value (4 bytes, big-endian), and the value, encoded by postcard. Decoding is strict and bounded,
//! and no received bytes cause a panic.

use crate::config::MAX_FRAME_BYTES;
use crate::error::{DecodeError, EncodeError};
use crate::process::Process;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The version of the frames. A peer with another version is rejected in the handshake.
pub(crate) const PROTOCOL_VERSION: u16 = 1;
/// The length of the checksum in bytes.
const CHECKSUM_BYTES: usize = 4;

/// The handshake, which is the first frame of each end of a connection.
///
/// The order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The protocol version of the sender.
    pub version: u16,
    /// The name of the sender's fleet.
    pub fleet: String,
    /// The process that sends the handshake.
    pub sender: Process,
    /// The sender's voter id, if it holds one.
    pub voter_id: Option<u8>,
}

/// The id of a request, by which a response names its request. Each end of a connection numbers the
/// requests that it sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RequestId(pub(crate) u64);

impl RequestId {
    /// Returns the id of the next request.
    pub(crate) fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// A unit of communication between two peers.
///
/// The order of the variants, and of the fields in them, is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The handshake of the sender. It is the first frame of each end, and no later one.
    Handshake(Handshake),
    /// A heartbeat, which keeps a connection without other frames alive.
    Heartbeat,
    /// A notice that the sender has dropped frames, since its queue for the receiver was full.
    Resync,
    /// A message without a response.
    OneWay(Vec<u8>),
    /// A message that needs a response.
    Request(RequestId, Vec<u8>),
    /// The response to a request.
    Response(RequestId, Vec<u8>),
    /// A notice that the receiver of a request has no response.
    NoResponse(RequestId),
}

/// Returns the codec that adds and removes the length prefix.
pub(crate) fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Encodes a frame with its checksum, but without the length prefix.
pub(crate) fn encode(frame: &Frame) -> Result<Bytes, EncodeError> {
    let body = postcard::to_allocvec(frame).map_err(EncodeError::Serialize)?;
    let length = CHECKSUM_BYTES + body.len();
    if length > MAX_FRAME_BYTES {
        return Err(EncodeError::TooLong { length });
    }
    let mut encoded = BytesMut::with_capacity(length);
    encoded.put_u32(crc32c::crc32c(&body));
    encoded.extend_from_slice(&body);
    Ok(encoded.freeze())
}

/// Decodes a frame that was encoded by [`encode`], and checks its checksum.
pub(crate) fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    let Some((checksum, body)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
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
