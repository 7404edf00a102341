//! Maps keys and names of backends to the numbers that the decision module uses. The numbers are
//! the same at every proxy and after a restart. Read [`key_number`] for keys and [`EndpointIds`]
//! for backends.
//!
//! A name that contains a number has that number: a key of sixteen hexadecimal digits, or the name
//! of a backend that ends in a dash and eight hexadecimal digits. The simulator uses the same
//! numbers, so that both place a key on the same backend. Any other name is hashed with 64-bit
//! FNV-1a over its bytes; a backend's number is the exclusive or of the two halves of the hash. The
//! number 0 means that there is no key, so a key whose number would be 0 has the number 1. If two
//! backends would have the same number, the later one has the hash of its name with a 0 byte
//! appended, then with two, and so on. The names of one list are assigned in lexical order.

use crate::interface::{BackendId, Key};
use std::collections::{BTreeMap, BTreeSet};

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// The number of hexadecimal digits of a key that contains its number.
const KEY_DIGITS: usize = 16;
/// The number of hexadecimal digits at the end of a backend's name that contains its number.
const BACKEND_DIGITS: usize = 8;

/// Hashes bytes with 64-bit FNV-1a: <http://www.isthe.com/chongo/tech/comp/fnv/>.
fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

/// Parses a text of exactly `digits` lower-case hexadecimal digits.
fn parse_hex(text: &str, digits: usize) -> Option<u64> {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != digits || !text.bytes().all(is_hex) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Returns the number of a key.
pub(super) fn key_number(key: &str) -> Key {
    let number = parse_hex(key, KEY_DIGITS).unwrap_or_else(|| fnv1a(key.bytes()));
    Key(number.max(1))
}

/// Returns the number in a backend's name, if the name ends in a dash and eight hexadecimal digits.
fn parse_endpoint_number(name: &str) -> Option<BackendId> {
    let (_, digits) = name.rsplit_once('-')?;
    parse_hex(digits, BACKEND_DIGITS).map(|number| BackendId(number as u32))
}

/// Returns the hashed number of a backend's name with `zeros` 0 bytes appended.
fn hashed_endpoint_number(name: &str, zeros: usize) -> BackendId {
    let hash = fnv1a(name.bytes().chain(std::iter::repeat_n(0, zeros)));
    BackendId((hash >> 32) as u32 ^ hash as u32)
}

/// The numbers that are assigned to backends.
#[derive(Debug, Default)]
pub(super) struct EndpointIds {
    by_name: BTreeMap<String, BackendId>,
    taken: BTreeSet<BackendId>,
}

impl EndpointIds {
    /// Assigns numbers to the new names in one list, in lexical order.
    pub(super) fn assign_all<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let mut names: Vec<&str> = names.filter(|name| !self.by_name.contains_key(*name)).collect();
        names.sort_unstable();
        for name in names {
            self.get_or_assign(name);
        }
    }

    /// Keeps only the names whose numbers satisfy `keep`.
    pub(super) fn retain(&mut self, keep: impl Fn(BackendId) -> bool) {
        self.by_name.retain(|_, id| keep(*id));
        self.taken.retain(|id| keep(*id));
    }

    /// Returns the number of a name. A new name is assigned a number first.
    pub(super) fn get_or_assign(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.by_name.get(name) {
            return *id;
        }
        let id = self.first_free_number(name);
        self.taken.insert(id);
        self.by_name.insert(name.to_owned(), id);
        id
    }

    fn first_free_number(&self, name: &str) -> BackendId {
        let first = parse_endpoint_number(name).unwrap_or_else(|| hashed_endpoint_number(name, 0));
        let later = (1..).map(|zeros| hashed_endpoint_number(name, zeros));
        let mut candidates = std::iter::once(first).chain(later);
        candidates.find(|id| !self.taken.contains(id)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
