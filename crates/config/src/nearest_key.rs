//! Finds the valid key that an unknown key probably stands for; read [`nearest_key`].

/// Returns the valid key that is most similar to an unknown key, or an empty text if there are no
/// valid keys.
pub fn nearest_key(unknown: &str, valid: &[&str]) -> String {
    let scored = valid.iter().map(|key| (strsim::jaro_winkler(unknown, key), key));
    let nearest = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    nearest.map_or(String::new(), |(_, key)| (*key).to_owned())
}
