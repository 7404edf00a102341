//! Digests of what decides, part by part: read from the objects that are used, never from what was once said.

use crate::net::config::Names;
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A digest for each part, by its name in the settings; what is a proxy's own is left out.
pub(super) fn parts(settings: &Settings, names: &Names, connect_timeout: Duration) -> BTreeMap<String, u64> {
    let Settings { classes, limits, safety, prices, family, discovery, tick, group_size, .. } = settings;
    let decides = [
        ("Grades", format!("{classes:?}")),
        ("Permissions", format!("{limits:?} {connect_timeout:?}")),
        ("Safety", format!("{safety:?}")),
        ("Prices", format!("{prices:?}")),
        ("FamilyInfo", format!("{family:?}")),
        ("Discovery", discovery.clone()),
        ("Tick", tick.to_string()),
        ("GroupSize", group_size.to_string()),
    ];
    let mut words: BTreeMap<&str, String> = BTreeMap::new();
    for (part, text) in decides.into_iter().chain(names.digest_parts()) {
        words.entry(part).or_default().push_str(&text);
    }
    words.into_iter().map(|(part, text)| (part.to_owned(), xxh3_64(text.as_bytes()))).collect()
}

/// One digest of all parts.
pub(super) fn whole(parts: &BTreeMap<String, u64>) -> u64 {
    xxh3_64(format!("{parts:?}").as_bytes())
}
