//! [`Timing`]: the timeouts of drift detection and of alarms.

use std::time::Duration;

/// The timeouts of drift detection and of alarms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time without a report after which a process is silent. Default: 1.6 s.
    pub silence_timeout: Duration,
    /// The time after an approval within which every process must have the version active. Until
    /// then another version is a change under way and no drift. Default: 1 s.
    pub settling_time: Duration,
    /// The time for which drift must last to raise an alarm. Default: 500 ms.
    pub alarm_delay: Duration,
    /// The time for which a process must be without drift after an alarm before another alarm about
    /// it can be raised. Default: 5 s.
    pub recovery_time: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            silence_timeout: Duration::from_millis(1600),
            settling_time: Duration::from_millis(1000),
            alarm_delay: Duration::from_millis(500),
            recovery_time: Duration::from_millis(5000),
        }
    }
}
