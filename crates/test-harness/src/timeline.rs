//! Collects the events of a test with their times, for people to read: [`Timeline`].

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An event of a process or of the harness.
#[derive(Clone)]
struct Entry {
    /// Time since the start of the timeline, in ms.
    at_ms: u128,
    /// The name of the process or of the part of the harness.
    source: String,
    text: String,
}

/// A list of events with their times. Clones write to the same timeline.
#[derive(Clone)]
pub struct Timeline {
    start: Instant,
    /// Guards the events, in the order in which they were added.
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Timeline {
    /// Creates an empty timeline whose times are measured from now.
    pub fn new() -> Timeline {
        Timeline { start: Instant::now(), entries: Arc::default() }
    }

    /// Adds an event of the process or part of the harness that is named `source`.
    ///
    /// # Panics
    /// If a thread panicked while it added an event.
    pub fn record(&self, source: &str, text: &str) {
        let entry = Entry { at_ms: self.elapsed_ms(), source: source.to_owned(), text: text.to_owned() };
        self.entries.lock().unwrap().push(entry);
    }

    /// Returns the time since the start of the timeline, in ms.
    pub fn elapsed_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    /// Returns the time in ms of the first event of `source` that contains `text` and is not before
    /// `from_ms`.
    ///
    /// # Panics
    /// If a thread panicked while it added an event.
    pub fn first_match(&self, source: &str, text: &str, from_ms: u128) -> Option<u128> {
        self.first_match_of_both(source, text, "", from_ms)
    }

    /// Returns the time in ms of the first event of `source` that contains both texts and is not
    /// before `from_ms`.
    ///
    /// # Panics
    /// If a thread panicked while it added an event.
    pub fn first_match_of_both(&self, source: &str, one: &str, other: &str, from_ms: u128) -> Option<u128> {
        let entries = self.entries.lock().unwrap();
        let mut of_source = entries.iter().filter(|entry| entry.at_ms >= from_ms && entry.source == source);
        of_source
            .find(|entry| entry.text.contains(one) && entry.text.contains(other))
            .map(|entry| entry.at_ms)
    }

    /// Returns the number of events of `source` that contain `text` and are not before `from_ms`.
    ///
    /// # Panics
    /// If a thread panicked while it added an event.
    pub fn count_matches(&self, source: &str, text: &str, from_ms: u128) -> usize {
        let entries = self.entries.lock().unwrap();
        let of_source = entries.iter().filter(|entry| entry.at_ms >= from_ms && entry.source == source);
        of_source.filter(|entry| entry.text.contains(text)).count()
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
        entries.sort_by_key(|entry| entry.at_ms);
        for Entry { at_ms, source, text } in &entries {
            writeln!(f, "{at_ms:>7} ms  {source:<5} {text}")?;
        }
        Ok(())
    }
}
