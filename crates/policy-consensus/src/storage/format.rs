//! The encoding of a voter's state file.
//!
//! The file begins with a header of 20 bytes: `ptrbook` and the version of the format (8 bytes),
//! the length of the body (8 bytes, big-endian), and the CRC-32C of the body (4 bytes, big-endian).
//! The body is a postcard value with the name of the cluster, the number of the voter, and the
//! state of the voter.

use super::DecodeError;
use crate::{DurableState, VoterId};
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 7] = b"ptrbook";
const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 20;

/// The header of a state file.
struct Header {
    magic: [u8; 7],
    format_version: u8,
    body_length: u64,
    checksum: u32,
}

impl Header {
    fn parse(bytes: &[u8; HEADER_BYTES]) -> Option<Header> {
        let (magic, rest) = bytes.split_first_chunk()?;
        let (format_version, rest) = rest.split_first()?;
        let (body_length, rest) = rest.split_first_chunk()?;
        let (checksum, _) = rest.split_first_chunk()?;
        Some(Header {
            magic: *magic,
            format_version: *format_version,
            body_length: u64::from_be_bytes(*body_length),
            checksum: u32::from_be_bytes(*checksum),
        })
    }
}

#[derive(Serialize, Deserialize)]
struct Body {
    cluster: String,
    voter: VoterId,
    durable: DurableState,
}

/// Encodes a state file.
pub(super) fn encode(durable: &DurableState, cluster: &str, voter: VoterId) -> Vec<u8> {
    let body = Body { cluster: cluster.to_owned(), voter, durable: durable.clone() };
    // Cannot fail: postcard encodes every value of these types.
    let body = postcard::to_allocvec(&body).unwrap_or_default();
    let mut file = Vec::with_capacity(HEADER_BYTES + body.len());
    file.extend_from_slice(MAGIC);
    file.push(FORMAT_VERSION);
    file.extend_from_slice(&(body.len() as u64).to_be_bytes());
    file.extend_from_slice(&crc32c::crc32c(&body).to_be_bytes());
    file.extend_from_slice(&body);
    file
}

/// Decodes a state file, which must belong to this voter of this cluster.
pub(super) fn decode(bytes: &[u8], cluster: &str, voter: VoterId) -> Result<DurableState, DecodeError> {
    let (header, body) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or(DecodeError::Corrupt)?;
    let header = Header::parse(header).ok_or(DecodeError::Corrupt)?;
    if &header.magic != MAGIC {
        return Err(DecodeError::OtherCluster);
    }
    if header.format_version > FORMAT_VERSION {
        return Err(DecodeError::NewerVersion);
    }
    if header.body_length != body.len() as u64 || header.checksum != crc32c::crc32c(body) {
        return Err(DecodeError::Corrupt);
    }
    let body: Body = postcard::from_bytes(body).map_err(|_| DecodeError::Corrupt)?;
    if body.cluster != cluster || body.voter != voter {
        return Err(DecodeError::OtherCluster);
    }
    Ok(body.durable)
}

#[cfg(test)]
mod tests;
