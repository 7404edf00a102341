//! What happened when, for a person to read.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with their time; clones write to the same.
#[derive(Clone)]
pub struct Timeline {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u128, String, String)>>>,
}

impl Timeline {
    /// None yet; times count from now.
    pub fn new() -> Timeline {
        Timeline { begun: Instant::now(), lines: Arc::default() }
    }

    /// Somebody did or said something.
    pub fn note(&self, who: &str, what: &str) {
        let at = self.begun.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, who.to_owned(), what.to_owned()));
    }

    /// The ms since its beginning.
    pub fn now(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    /// When somebody first said something with these words in it, from a time on.
    pub fn first_match(&self, who: &str, words: &str, from: u128) -> Option<u128> {
        self.first_match_of_both(who, words, "", from)
    }

    /// The same with two pieces of text in it.
    pub fn first_match_of_both(&self, who: &str, words: &str, more: &str, from: u128) -> Option<u128> {
        let lines = self.lines.lock().unwrap();
        let says = |what: &str| what.contains(words) && what.contains(more);
        lines.iter().find(|(at, by, what)| *at >= from && by == who && says(what)).map(|line| line.0)
    }

    /// How often somebody said something with these words in it, from a time on.
    pub fn times(&self, who: &str, words: &str, from: u128) -> usize {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|(at, by, what)| *at >= from && by == who && what.contains(words)).count()
    }
}

impl Default for Timeline {
    fn default() -> Timeline {
        Timeline::new()
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        lines.iter().try_for_each(|(at, who, what)| writeln!(f, "{at:>7} ms  {who:<5} {what}"))
    }
}
