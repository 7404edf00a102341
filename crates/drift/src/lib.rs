//! What each process of a fleet has in force against what was approved. The type to read first is [`DriftDetector`]: it takes the reports
//! of processes as they come, in any order and as often as they like, and says of each how it stands. Nothing here waits or reads
//! a clock; the alarm is raised by whoever holds the office for it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod alarm;
mod detector;
mod report;

pub use alarm::{Alarm, Alarms};
pub use detector::{Approved, DriftDetector, DriftState, Timing, TrackedNode};
pub use report::{DriftMessage, NodeStatus, Report};

/// Milliseconds of a clock that only goes forward.
pub type Time = u64;
