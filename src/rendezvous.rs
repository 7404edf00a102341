//! Weighted rendezvous hashing: scores for pairs of a key and a backend. Every proxy computes the
//! same scores, so that all proxies agree on a key's backends without communication. Read [`score`]
//! first.

use crate::interface::{BackendId, Key};

/// Hashes a pair of a key and a backend to a number that is uniformly distributed between 0 and 1,
/// both excluded. The hash function is the mixer of SplitMix64.
pub fn uniform_hash(key: Key, backend: BackendId) -> f64 {
    let mut x = key.0 ^ u64::from(backend.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Returns the score of a backend of this weight for a key; the backend with the lowest score ranks
/// first. A backend of twice the weight ranks first for twice as many keys.
pub fn score(key: Key, backend: BackendId, weight: f64) -> f64 {
    -uniform_hash(key, backend).ln() / weight
}

/// Derives from a key another key that is particular to one proxy. Hashes of the derived key differ
/// between proxies but do not change over time.
pub fn per_proxy_key(key: Key, proxy_number: u32) -> Key {
    Key(key.0.rotate_left(32) ^ (u64::from(proxy_number) + 1).wrapping_mul(0xd6e8_feb8_6659_fd93))
}
