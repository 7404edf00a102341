//! Numbers that stand for pairs of a key and a server, for rendezvous hashing: the same at every proxy, and as good as drawn.

/// The number of a pair, evenly spread between 0 and 1, neither of which it is.
pub fn unit(key: u64, server: u32) -> f64 {
    let mut x = key ^ u64::from(server).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
