//! Names on the sockets to numbers of the module, the same at every proxy and after a restart.
//!
//! A name that states a number has that number, which is the one the simulator knows it by, so that a day
//! played there puts keys where they are here: a key of sixteen hexadecimal digits, a provider whose name
//! ends in a dash and eight of them. Any other name is hashed by 64-bit FNV-1a over its bytes, and a
//! provider's number is the hash's two halves combined by exclusive or. A key never has 0, which means no
//! key, but 1. Where two providers would share a number, the one learned later takes the hash of its name
//! with a 0 byte behind it, and so on; the names of one list are learned in their order as text.

use crate::interface::{Key, ServerId};
use std::collections::{BTreeMap, BTreeSet};

fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// The number that a text of so many hexadecimal digits states.
fn stated(text: &str, digits: usize) -> Option<u64> {
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    (text.len() == digits && text.bytes().all(hex)).then(|| u64::from_str_radix(text, 16).ok())?
}

/// The number of a key.
pub(super) fn key_number(key: &str) -> Key {
    stated(key, 16).unwrap_or_else(|| fnv1a(key.bytes())).max(1)
}

fn provider_number(name: &str, extra: usize) -> ServerId {
    let told = name.rsplit_once('-').filter(|_| extra == 0).and_then(|(_, end)| stated(end, 8));
    let hash = || fnv1a(name.bytes().chain(std::iter::repeat_n(0, extra)));
    told.map_or_else(|| (hash() >> 32) as ServerId ^ hash() as ServerId, |number| number as ServerId)
}

/// The numbers of providers.
#[derive(Debug, Default)]
pub(super) struct EndpointIds {
    by_name: BTreeMap<String, ServerId>,
    taken: BTreeSet<ServerId>,
}

impl EndpointIds {
    /// The numbers of the names of one list; new names are learned in their order as text.
    pub(super) fn learn<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let mut names: Vec<&str> = names.filter(|name| !self.by_name.contains_key(*name)).collect();
        names.sort_unstable();
        for name in names {
            self.number(name);
        }
    }

    /// Forgets the names whose numbers are of no more use.
    pub(super) fn retain(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.by_name.retain(|_, id| keep(*id));
        self.taken.retain(|id| keep(*id));
    }

    /// The number of a name.
    pub(super) fn number(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.by_name.get(name) {
            return *id;
        }
        let mut numbers = (0..).map(|extra| provider_number(name, extra));
        let id = numbers.find(|id| !self.taken.contains(id)).unwrap_or_default();
        self.taken.insert(id);
        self.by_name.insert(name.to_owned(), id);
        id
    }
}
