//! What each process of a fleet has active against what was approved. Read [`DriftDetector`] first:
//! it takes the reports of processes as they arrive, in any order and as often as they like, and
//! says of each process which [`DriftState`] it is in. [`Alarms`] says when drift is to be reported
//! to operators.
//!
//! Nothing here waits, sends or reads a clock: the caller passes the time in, and raises the alarms
//! that are due.

mod alarm;
mod detector;
mod report;
mod timing;

pub use alarm::{Alarm, Alarms};
pub use detector::{ApprovedPolicy, DriftDetector, DriftState, TrackedNode};
pub use report::{DriftMessage, NodeStatus, PartDigests, ProcessKey, Report};
pub use timing::{Timestamp, Timing};
