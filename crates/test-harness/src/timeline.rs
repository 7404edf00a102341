//! What happened when, for a person to read: [`Timeline`].

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Something that somebody did or logged.
#[derive(Clone)]
struct Entry {
    /// In ms since the beginning.
    at: u128,
    who: String,
    text: String,
}

/// Entries with their time; clones write to the same.
#[derive(Clone)]
pub struct Timeline {
    start: Instant,
    /// Guards the entries, in the order in which they were noted.
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Timeline {
    /// An empty timeline; times count from now.
    pub fn new() -> Timeline {
        Timeline { start: Instant::now(), entries: Arc::default() }
    }

    /// Notes that somebody did or logged something.
    ///
    /// # Panics
    /// If a thread panicked while it noted something.
    pub fn note(&self, who: &str, text: &str) {
        let entry = Entry { at: self.now(), who: who.to_owned(), text: text.to_owned() };
        self.entries.lock().unwrap().push(entry);
    }

    /// The ms since its beginning.
    pub fn now(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    /// When somebody first noted something that contains this text, from a time on, both in ms.
    ///
    /// # Panics
    /// If a thread panicked while it noted something.
    pub fn first_match(&self, who: &str, text: &str, from: u128) -> Option<u128> {
        self.first_match_of_both(who, text, "", from)
    }

    /// The same for an entry that contains both texts.
    ///
    /// # Panics
    /// If a thread panicked while it noted something.
    pub fn first_match_of_both(&self, who: &str, one: &str, other: &str, from: u128) -> Option<u128> {
        let entries = self.entries.lock().unwrap();
        let mut of_them = entries.iter().filter(|entry| entry.at >= from && entry.who == who);
        of_them.find(|entry| entry.text.contains(one) && entry.text.contains(other)).map(|entry| entry.at)
    }

    /// How often somebody noted something that contains this text, from a time in ms on.
    ///
    /// # Panics
    /// If a thread panicked while it noted something.
    pub fn count_matches(&self, who: &str, text: &str, from: u128) -> usize {
        let entries = self.entries.lock().unwrap();
        let of_them = entries.iter().filter(|entry| entry.at >= from && entry.who == who);
        of_them.filter(|entry| entry.text.contains(text)).count()
    }
}

impl Default for Timeline {
    fn default() -> Timeline {
        Timeline::new()
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut entries = self.entries.lock().unwrap().clone();
        entries.sort_by_key(|entry| entry.at);
        for Entry { at, who, text } in &entries {
            writeln!(f, "{at:>7} ms  {who:<5} {text}")?;
        }
        Ok(())
    }
}
