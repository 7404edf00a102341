//! The encoding of durations in messages: whole milliseconds, as a `u64`.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// Writes a duration; one that is too long is written as `u64::MAX`.
pub(crate) fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).serialize(serializer)
}

/// Reads a duration.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
