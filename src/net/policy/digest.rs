//! Digests of the settings that are active, part by part. They are made from the objects that
//! decide, never from a text that was once applied.
//!
//! Danger: processes of different versions compare these digests, and most of them are made from
//! `{:?}` of the settings: a renamed type or field there is reported as drift of every process that
//! runs another version.

use crate::net::config::Names;
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A digest for each part, by its name in the settings. What is a proxy's own is left out.
pub(super) fn part_digests(
    settings: &Settings,
    names: &Names,
    connect_timeout: Duration,
) -> BTreeMap<String, u64> {
    let Settings { classes, limits, safety, prices, family, discovery, tick, group_size, .. } = settings;
    let settings_texts = [
        ("Grades", format!("{classes:?}")),
        ("Permissions", format!("{limits:?} {connect_timeout:?}")),
        ("Safety", format!("{safety:?}")),
        ("Prices", format!("{prices:?}")),
        ("FamilyInfo", format!("{family:?}")),
        ("Discovery", discovery.clone()),
        ("Tick", tick.to_string()),
        ("GroupSize", group_size.to_string()),
    ];
    let mut texts: BTreeMap<&str, String> = BTreeMap::new();
    for (part, text) in settings_texts.into_iter().chain(names.digest_parts()) {
        texts.entry(part).or_default().push_str(&text);
    }
    texts.into_iter().map(|(part, text)| (part.to_owned(), xxh3_64(text.as_bytes()))).collect()
}

/// One digest of all parts.
pub(super) fn combined_digest(part_digests: &BTreeMap<String, u64>) -> u64 {
    xxh3_64(format!("{part_digests:?}").as_bytes())
}
