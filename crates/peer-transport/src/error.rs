//! The reasons why connections end ([`ConnectionError`]), and their causes.

use crate::config::MAX_FRAME_BYTES;
use crate::process::Process;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why a connection ended, or was not established.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConnectionError {
    /// The peer could not be reached.
    #[error("connecting failed")]
    Connect(#[source] io::Error),
    /// The peer did not accept the connection in time.
    #[error("connecting took longer than {limit:?}")]
    ConnectTimeout {
        /// [`Timing::handshake_timeout`](crate::Timing::handshake_timeout).
        limit: Duration,
    },
    /// One of the two processes rejected the handshake.
    #[error("the handshake failed")]
    Handshake(#[from] HandshakeError),
    /// Reading or writing failed.
    #[error("input or output failed")]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    ClosedByPeer,
    /// Nothing arrived within the silence timeout.
    #[error("nothing arrived for {limit:?}")]
    Silent {
        /// [`Timing::silence_timeout`](crate::Timing::silence_timeout).
        limit: Duration,
    },
    /// A frame could not be read.
    #[error("a frame could not be decoded")]
    Decode(#[from] DecodeError),
    /// The peer sent a handshake after the first one.
    #[error("the peer sent a second handshake")]
    SecondHandshake,
    /// This process closed it: a newer connection with the same peer replaced it, this process
    /// announces another voter id, or writing failed or stalled.
    #[error("this process closed the connection")]
    ClosedLocally,
}

/// Why a handshake is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum HandshakeError {
    /// This process's own handshake cannot be sent.
    #[error("this process's handshake cannot be encoded")]
    Encode(#[from] EncodeError),
    /// The peer did not send its handshake in time.
    #[error("the peer sent no handshake within {limit:?}")]
    Timeout {
        /// [`Timing::handshake_timeout`](crate::Timing::handshake_timeout).
        limit: Duration,
    },
    /// The first frame of the peer is no handshake.
    #[error("the peer's first frame is not a handshake")]
    NotAHandshake,
    /// The peer's frames have another version.
    #[error("the peer's frames have version {found}, this process has {expected}")]
    VersionMismatch {
        /// The version of this process.
        expected: u16,
        /// The version of the peer.
        found: u16,
    },
    /// The peer belongs to another fleet.
    #[error("the peer belongs to fleet {found:?}, this process to {expected:?}")]
    FleetMismatch {
        /// The fleet of this process.
        expected: String,
        /// The fleet of the peer.
        found: String,
    },
    /// The peer is this process itself.
    #[error("the peer is this process itself, {process}")]
    ConnectedToSelf {
        /// This process.
        process: Process,
    },
}

/// Why a frame cannot be written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum EncodeError {
    /// The value has no encoding.
    #[error("the frame cannot be serialized")]
    Serialize(#[source] postcard::Error),
    /// The frame would be longer than [`MAX_FRAME_BYTES`].
    #[error("the frame has {length} bytes, more than {MAX_FRAME_BYTES}")]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
}

/// Why a frame cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// It is shorter than its checksum.
    #[error("the frame has {length} bytes, fewer than its checksum")]
    TooShort {
        /// Its length in bytes.
        length: usize,
    },
    /// Its bytes were changed in transit.
    #[error("the frame's checksum is {found:#010x}, its bytes have {computed:#010x}")]
    ChecksumMismatch {
        /// The checksum in the frame.
        found: u32,
        /// The checksum of the received bytes.
        computed: u32,
    },
    /// Its bytes are not a frame.
    #[error("the frame cannot be deserialized")]
    Deserialize(#[source] postcard::Error),
    /// Bytes follow the value.
    #[error("{length} bytes follow the frame's value")]
    TrailingBytes {
        /// The number of these bytes.
        length: usize,
    },
}
