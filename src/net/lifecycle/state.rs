//! The phases of the program, as named states of one object. It decides which holds; it does nothing.

use crate::net::hot_restart::PeerProcess;
use crate::net::log::log;

/// Where the program stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads its configuration, knows the cached list, does not listen yet.
    Starting,
    /// Accepts and serves, and so does the older process for what it holds.
    TakingOver,
    /// Accepts and serves.
    Serving,
    /// Accepts and serves, but sends clients away: operators asked for it.
    OutOfService,
    /// Another process accepts; this one serves what it holds until it is asked to stop.
    HandingOver,
    /// Asked to read its configuration again, and goes on serving meanwhile.
    Reloading,
    /// Asked to stop: finishes what it has taken.
    Draining,
    /// All is answered.
    Stopped,
}

/// The phase, and what it follows from while the program serves.
#[derive(Debug)]
pub(super) struct Stand {
    phase: Phase,
    /// Whether clients are sent away.
    pub away: bool,
    /// Whether the configuration is being read again.
    pub reloading: bool,
    /// Where the other process of this proxy stands.
    pub partner: PeerProcess,
    /// Whether the other process was there first.
    pub is_newcomer: bool,
}

impl Default for Stand {
    fn default() -> Stand {
        Stand {
            phase: Phase::Starting,
            away: false,
            reloading: false,
            partner: PeerProcess::None,
            is_newcomer: false,
        }
    }
}

impl Stand {
    /// Whether clients are served, be it to send them on.
    pub(super) fn serves(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Draining | Phase::Stopped)
    }

    /// Whether accepting is left to the other process. Danger: with nobody to accept, clients would wait in
    /// the queue. Whoever is alone accepts.
    pub(super) fn leaves_accepting(&self) -> bool {
        !self.is_newcomer && self.partner == PeerProcess::Serving
    }

    /// Moves on to a phase.
    pub(super) fn enter(&mut self, phase: Phase) {
        if phase != self.phase {
            log(&format!("{:?} -> {phase:?}", self.phase));
            self.phase = phase;
        }
    }

    /// Moves on to the phase that follows from what has changed.
    pub(super) fn settle(&mut self) {
        if self.serves() {
            self.enter(match self.partner {
                _ if self.reloading => Phase::Reloading,
                _ if self.leaves_accepting() => Phase::HandingOver,
                PeerProcess::Serving | PeerProcess::Leaving if self.is_newcomer => Phase::TakingOver,
                _ if self.away => Phase::OutOfService,
                _ => Phase::Serving,
            });
        }
    }
}

#[cfg(test)]
mod tests;
