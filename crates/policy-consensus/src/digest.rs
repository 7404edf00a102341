//! Digests of policies. See [`Digest`].

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A 64-bit XXH3 hash of a policy's text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of a text.
    #[must_use]
    pub fn of(text: &str) -> Digest {
        Digest(xxh3_64(text.as_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
