//! The reasons why connections end ([`ConnectionError`]), and their causes.

use crate::config::MAX_FRAME_BYTES;
use crate::process::Process;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// The reasons why a connection ended, or was not established.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConnectionError {
    /// The peer could not be reached.
    #[error("connecting failed")]
    Connect(#[source] io::Error),
    /// The peer did not accept the connection in time.
    #[error("connecting timed out after {limit:?}")]
    ConnectTimeout {
        /// The timeout, [`Timing::handshake_timeout`](crate::Timing::handshake_timeout).
        limit: Duration,
    },
    /// One of the two processes rejected the handshake.
    #[error("handshake failed")]
    Handshake(#[from] HandshakeError),
    /// Reading or writing failed.
    #[error("reading from or writing to the connection failed")]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    ClosedByPeer,
    /// The peer sent nothing within the silence timeout.
    #[error("the peer sent nothing for {limit:?}")]
    Silent {
        /// The timeout, [`Timing::silence_timeout`](crate::Timing::silence_timeout).
        limit: Duration,
    },
    /// A received frame could not be decoded.
    #[error("decoding a frame failed")]
    Decode(#[from] DecodeError),
    /// The peer sent another handshake after its first frame.
    #[error("the peer sent a second handshake")]
    SecondHandshake,
    /// This process closed the connection: a newer connection with the same peer replaced it, this
    /// process announces another voter id, or writing failed or stalled.
    #[error("this process closed the connection")]
    ClosedLocally,
}

/// The reasons why a handshake fails.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum HandshakeError {
    /// The handshake of this process cannot be encoded.
    #[error("encoding the handshake of this process failed")]
    Encode(#[from] EncodeError),
    /// The peer did not send its handshake in time.
    #[error("the peer sent no handshake within {limit:?}")]
    Timeout {
        /// The timeout, [`Timing::handshake_timeout`](crate::Timing::handshake_timeout).
        limit: Duration,
    },
    /// The first frame of the peer is not a handshake.
    #[error("the first frame of the peer is not a handshake")]
    NotAHandshake,
    /// The peer uses another protocol version.
    #[error("the peer uses protocol version {found}, this process version {expected}")]
    VersionMismatch {
        /// The protocol version of this process.
        expected: u16,
        /// The protocol version of the peer.
        found: u16,
    },
    /// The peer belongs to another fleet.
    #[error("the peer belongs to fleet {found:?}, this process to {expected:?}")]
    FleetMismatch {
        /// The name of this process's fleet.
        expected: String,
        /// The name of the peer's fleet.
        found: String,
    },
    /// The process at the other end is this process itself.
    #[error("the connection leads to this process itself, {process}")]
    ConnectedToSelf {
        /// The identity of this process.
        process: Process,
    },
}

/// The reasons why a frame cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum EncodeError {
    /// The frame's value cannot be serialized.
    #[error("serializing the frame failed")]
    Serialize(#[source] postcard::Error),
    /// The frame would be longer than [`MAX_FRAME_BYTES`].
    #[error("the frame has {length} bytes, the limit is {MAX_FRAME_BYTES}")]
    TooLong {
        /// The length of the frame in bytes.
        length: usize,
    },
}

/// The reasons why received bytes cannot be decoded as a frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The frame is shorter than a checksum.
    #[error("the frame has {length} bytes, fewer than a checksum")]
    TooShort {
        /// The length of the frame in bytes.
        length: usize,
    },
    /// The frame was damaged in transit.
    #[error("the frame has checksum {found:#010x}, but its bytes give {computed:#010x}")]
    ChecksumMismatch {
        /// The checksum in the frame.
        found: u32,
        /// The checksum of the received bytes.
        computed: u32,
    },
    /// The bytes after the checksum are not a frame.
    #[error("deserializing the frame failed")]
    Deserialize(#[source] postcard::Error),
    /// Further bytes follow the frame's value.
    #[error("{length} bytes follow the value of the frame")]
    TrailingBytes {
        /// The number of bytes after the value.
        length: usize,
    },
}
