//! Translates the start times of backend processes to this process's own clock. Read
//! [`StartTimes::translate`] first.
//!
//! Discovery lists start times in Unix time of a wall clock, but wall clocks may be set: this
//! host's, discovery's, or both. If a start time is estimated too early, a cold backend counts as
//! warm and is overloaded. If it is estimated too late, a warm backend only gets less load for a
//! while. An impossible start time therefore counts as now, and of two possible start times the
//! later one counts.

use crate::interface::{BackendId, ListForm};
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

/// The longest time from the start of a backend until discovery lists it.
const DISCOVERY_LAG: TimeSpan = TimeSpan::from_ms(10_000.0);

/// The start time of one backend process on two clocks.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// The start time that discovery lists, in Unix ms.
    listed: Timestamp,
    /// The start time on this process's clock, in Unix ms.
    translated: Timestamp,
}

/// The time of both clocks at one moment, in Unix ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// The time of this process's own clock, which never steps.
    pub own: Timestamp,
    /// The time of the host's wall clock.
    pub wall: Timestamp,
}

/// The start times of the listed backends.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    by_backend: BTreeMap<BackendId, StartTime>,
    /// The time at which the last list of discovery arrived, on this process's clock; `None` before
    /// the first list.
    last_list_at: Option<Timestamp>,
}

impl StartTimes {
    /// Returns the start time of a listed backend on this process's clock; 0 for long ago. The
    /// start time of the same backend process does not change later, whatever the clocks show.
    pub(super) fn translate(
        &mut self,
        backend: BackendId,
        listed: Timestamp,
        clocks: ClockReading,
    ) -> Timestamp {
        if let Some(known) = self.by_backend.get(&backend).filter(|known| known.listed == listed) {
            return known.translated;
        }
        let translated = self.estimate(listed, clocks);
        self.by_backend.insert(backend, StartTime { listed, translated });
        translated
    }

    /// Estimates the start time of a backend process on this process's clock, from a listed start
    /// time that was not listed before.
    ///
    /// Inputs: the listed start, both clocks, and the arrival of the last list, all in Unix ms.
    /// Reason: a cold backend must not count as warm because a wall clock was set.
    /// Source: docs/incidents/2026-12-02-late-final-answers.md.
    fn estimate(&self, listed: Timestamp, clocks: ClockReading) -> Timestamp {
        if listed <= Timestamp::ZERO {
            return listed;
        }
        // This start was not in the last list, so it happened since then, or within discovery's lag
        // before then.
        let earliest = self.last_list_at.map_or(Timestamp::DISTANT_PAST, |at| at - DISCOVERY_LAG);
        let if_wall_clock_stepped = listed - (clocks.wall - clocks.own);
        let younger = listed.max(if_wall_clock_stepped);
        if younger < earliest {
            clocks.own
        } else {
            younger.min(clocks.own)
        }
    }

    /// Completes the translation of a list of this form, and removes the start times of the
    /// backends that do not satisfy `is_kept`.
    pub(super) fn finish_list(
        &mut self,
        form: ListForm,
        clocks: ClockReading,
        is_kept: impl Fn(BackendId) -> bool,
    ) {
        // A cached list may be of any age, so it says nothing about later starts.
        if matches!(form, ListForm::Full | ListForm::Delta) {
            self.last_list_at = Some(clocks.own);
        }
        self.by_backend.retain(|backend, _| is_kept(*backend));
    }
}

#[cfg(test)]
mod tests;
