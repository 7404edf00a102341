//! What each process of a fleet has in force against what was approved. The type to read first is [`Table`]: it takes the reports
//! of processes as they come, in any order and as often as they like, and says of each how it stands. Nothing here waits or reads
//! a clock; the alarm is raised by whoever holds the office for it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod alarm;
mod report;
mod detector;

pub use alarm::{Alarm, Alarms};
pub use report::{Report, Stands, Word};
pub use detector::{Approved, Node, State, Table, Times};

/// Milliseconds of a clock that only goes forward.
pub type Time = u64;
