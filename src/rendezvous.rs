//! Rendezvous hashing: numbers that stand for pairs of a key and a backend. They are the same at
//! every proxy, so that all agree without communication, and evenly spread. [`score`] is the one to
//! read first.

use crate::interface::{BackendId, Key};

/// The number of a pair, evenly spread between 0 and 1 without these, by SplitMix64's mixer.
pub fn uniform_hash(key: Key, backend: BackendId) -> f64 {
    let mut x = key.0 ^ u64::from(backend.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The score of a backend of this weight for a key; the lowest wins. A backend of twice the weight
/// wins for twice as many keys (weighted rendezvous hashing).
pub fn score(key: Key, backend: BackendId, weight: f64) -> f64 {
    -uniform_hash(key, backend).ln() / weight
}

/// A key of one proxy's own: what is drawn by it differs between proxies, but not in time.
pub fn per_proxy_key(key: Key, proxy_number: u32) -> Key {
    Key(key.0.rotate_left(32) ^ (u64::from(proxy_number) + 1).wrapping_mul(0xd6e8_feb8_6659_fd93))
}
