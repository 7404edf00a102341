//! When backends' processes started, on this process's own clock. Read [`StartTimes::translate`].
//!
//! Discovery tells starts as Unix time of some wall clock, and wall clocks are set: this host's,
//! discovery's, or both. A start that is taken for older than it is would make a cold backend pass
//! for a warm one; one that is taken for younger only spares a warm one. What cannot be is
//! therefore taken for a start at this moment, and of two readings the younger one counts.

use crate::interface::{ListForm, ServerId, Time};
use std::collections::BTreeMap;

/// Discovery learns of a start, and tells it, within this time, in ms.
const DISCOVERY_LAG_MS: Time = 10_000.0;

/// What is known of one backend's start.
#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// As discovery tells it.
    told: Time,
    /// On this process's clock.
    translated: Time,
}

/// The two clocks as read at one moment, in Unix ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// This process's own, which never steps.
    pub own: Time,
    /// The host's wall clock.
    pub wall: Time,
}

/// The starts of the backends that are listed.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    by_server: BTreeMap<ServerId, StartTime>,
    /// When the last list of discovery came, on this process's clock; none before the first.
    last_list: Option<Time>,
}

impl StartTimes {
    /// When a listed backend started, on this process's clock; 0 for long ago. The same process
    /// keeps its time, whatever the clocks show later.
    pub(super) fn translate(&mut self, server: ServerId, told: Time, clocks: ClockReading) -> Time {
        if let Some(known) = self.by_server.get(&server).filter(|known| known.told == told) {
            return known.translated;
        }
        let translated = self.estimate(told, clocks);
        self.by_server.insert(server, StartTime { told, translated });
        translated
    }

    /// The time of a start that was not told before.
    fn estimate(&self, told: Time, clocks: ClockReading) -> Time {
        if told <= 0.0 {
            return told;
        }
        // What was not there with the last list has started since.
        let earliest = self.last_list.map_or(f64::MIN, |at| at - DISCOVERY_LAG_MS);
        let has_stepped_since_start = told - (clocks.wall - clocks.own);
        let younger = told.max(has_stepped_since_start);
        if younger < earliest {
            clocks.own
        } else {
            younger.min(clocks.own)
        }
    }

    /// A list of this form has been taken over; backends that are not kept are forgotten.
    pub(super) fn finish_list(
        &mut self,
        form: ListForm,
        clocks: ClockReading,
        is_kept: impl Fn(ServerId) -> bool,
    ) {
        // A cached list is of any age.
        if matches!(form, ListForm::Full | ListForm::Delta) {
            self.last_list = Some(clocks.own);
        }
        self.by_server.retain(|server, _| is_kept(*server));
    }
}

#[cfg(test)]
mod tests;
