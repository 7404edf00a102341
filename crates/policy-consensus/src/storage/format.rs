//! The file of a founder: 8 bytes `ptrbook` and the version of the format, the length of the rest (8 bytes, big-endian), its CRC-32C (4
//! bytes, big-endian), and a postcard value with the fleet's name, the seat, and what is kept.

use crate::DurableState;
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 7] = b"ptrbook";
const VERSION: u8 = 1;
const HEAD: usize = 20;

#[derive(Serialize, Deserialize)]
struct Body {
    fleet: String,
    seat: u8,
    durable: DurableState,
}

/// The file.
pub(super) fn encode(durable: &DurableState, fleet: &str, seat: u8) -> Vec<u8> {
    let body = Body { fleet: fleet.to_owned(), seat, durable: durable.clone() };
    // The types above are all representable.
    let body = postcard::to_allocvec(&body).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend_from_slice(MAGIC);
    out.push(VERSION);
    out.extend_from_slice(&(body.len() as u64).to_be_bytes());
    out.extend_from_slice(&crc32c::crc32c(&body).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

/// What the file says; or what it is.
pub(super) fn decode(bytes: &[u8], fleet: &str, seat: u8) -> Result<DurableState, &'static str> {
    let Some((head, body)) = bytes.split_first_chunk::<HEAD>() else { return Err("torn") };
    if &head[..7] != MAGIC {
        return Err("foreign");
    }
    if head[7] > VERSION {
        return Err("future");
    }
    let length = u64::from_be_bytes(head[8..16].try_into().map_err(|_| "torn")?);
    let sum = u32::from_be_bytes(head[16..20].try_into().map_err(|_| "torn")?);
    if length != body.len() as u64 || sum != crc32c::crc32c(body) {
        return Err("torn");
    }
    match postcard::from_bytes::<Body>(body) {
        Ok(body) if body.fleet == fleet && body.seat == seat => Ok(body.durable),
        Ok(_) => Err("foreign"),
        Err(_) => Err("torn"),
    }
}

#[cfg(test)]
mod tests;
