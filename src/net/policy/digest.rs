//! Digests of the active settings, one for each part. The digests are computed from the objects
//! that make the decisions, never from a policy text that was once applied, so that they reflect
//! the settings that are really active. [`digest_input`] defines the hashed text.

use super::digest_input;
use crate::settings::Settings;
use pinetrail_config::Names;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the digest of each part, by the part's name in the settings. A proxy's own number and
/// zone have no digest, since they are local to it.
pub(super) fn part_digests(
    settings: &Settings,
    names: &Names,
    connect_timeout: Duration,
) -> BTreeMap<String, u64> {
    let mut texts: BTreeMap<&str, String> = BTreeMap::new();
    for part in digest_input::part_texts(settings, connect_timeout) {
        texts.entry(part.part).or_default().push_str(&part.text);
    }
    for (part, text) in names.digest_parts() {
        texts.entry(part).or_default().push_str(&text);
    }
    texts.into_iter().map(|(part, text)| (part.to_owned(), xxh3_64(text.as_bytes()))).collect()
}

/// Returns one digest of all parts.
pub(super) fn combined_digest(part_digests: &BTreeMap<String, u64>) -> u64 {
    xxh3_64(format!("{part_digests:?}").as_bytes())
}
