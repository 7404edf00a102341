//! What is known of a key, and what is worked out about one key on the way to a choice.

use crate::interface::{ServerId, Time};

/// What is known of a key.
#[derive(Debug, Default)]
pub(crate) struct KeyEntry {
    /// Whether its values are among the largest.
    pub(crate) large: bool,
    /// The set of backends that serve it.
    pub(crate) members: Vec<ServerId>,
    /// When the set last changed.
    pub(crate) last_change: Time,
    /// Requests for it since the entry was made.
    pub(crate) count: f64,
}

impl KeyEntry {
    /// Adds a member to the set, or drops one, or both; nothing changes where neither is new.
    pub(crate) fn change_members(&mut self, added: ServerId, dropped: Option<ServerId>, now: Time) {
        if dropped.is_some() || !self.members.contains(&added) {
            self.members.retain(|id| Some(*id) != dropped && *id != added);
            self.members.push(added);
            self.last_change = now;
        }
    }
}

/// Where a key lives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Home {
    /// The backend.
    pub(crate) backend: ServerId,
    /// Among how many backends, the first in the key's order, this proxy drew it.
    pub(crate) candidates: usize,
}

/// What holds for all of the fleet while the eligible backends for one request are found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EligibilityRules {
    /// Whether outliers get nothing but a trial.
    pub(crate) eject_outliers: bool,
    /// Whether who is ejected gets no trial either.
    pub(crate) keep_ejected: bool,
    /// Where the request's key lives, while any node is cold.
    pub(crate) home: Option<ServerId>,
    /// A number between 0 and 1 that this proxy draws by the key.
    pub(crate) draw: f64,
}
