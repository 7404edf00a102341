//! The alarms about processes whose active settings differ from the approved ones.

use super::{DriftMonitor, State, DRIFT_CHANNEL};
use crate::net::log::log;
use pinetrail_drift::{Alarm, DriftMessage};
use std::sync::atomic::Ordering;

impl DriftMonitor {
    /// Decides which alarms are due, and raises them if this process is the quota leader.
    ///
    /// Inputs: the reports of all processes, the alarms already raised, and the time; whether this
    /// process is the quota leader.
    /// Reason: operators get one alarm for each drifting process, from one process of the fleet.
    ///
    /// Invariant: leadership is checked immediately before the alarms are raised, since its lease
    /// may have expired.
    pub(super) fn raise_due_alarms(&self) {
        let now = self.now();
        let due = {
            let mut state = self.state();
            let State { detector, alarms, .. } = &mut *state;
            alarms.due(now, detector)
        };
        if due.is_empty() || !self.fleet.is_quota_leader() {
            return;
        }
        for alarm in due {
            self.raise(&alarm);
        }
    }

    /// Logs and counts an alarm, and broadcasts it so that a later leader does not raise it again.
    fn raise(&self, alarm: &Alarm) {
        self.alarms_raised.fetch_add(1, Ordering::Relaxed);
        self.state().alarms.mark_raised(alarm.process.clone());
        let message = DriftMessage::AlarmRaised(alarm.process.clone());
        self.node.broadcast(DRIFT_CHANNEL, &message.encode());
        let parts = if alarm.differing_parts.is_empty() {
            String::new()
        } else {
            format!(" in {}", alarm.differing_parts.join(", "))
        };
        log(&format!(
            "ALARM: policy: {} {}{parts}: its active settings are not the approved ones",
            alarm.process.name,
            alarm.state.as_str()
        ));
    }
}
