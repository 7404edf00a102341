//! Detection of drift: processes of a fleet that do not have the approved policy active. Read
//! [`DriftDetector`] first: it takes the reports of processes, which may be late, duplicated or out
//! of order, and keeps the [`DriftState`] of each process. [`Alarms`] decides when drift raises an
//! alarm.
//!
//! This crate does no I/O and reads no clock: the caller passes the time in and raises the alarms
//! that are due.

mod alarm;
mod detector;
mod report;
mod timing;

pub use alarm::{Alarm, Alarms};
pub use detector::{ApprovedPolicy, DriftDetector, DriftState, TrackedProcess};
pub use pinetrail_clock::Timestamp;
pub use report::{DriftMessage, PartDigests, ProcessKey, ProcessStatus, Report};
pub use timing::Timing;
