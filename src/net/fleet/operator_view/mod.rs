//! What operators see of a fleet, by the names that are theirs: the terms of the code are mapped to
//! outside names here and nowhere else.
//!
//! | module | maps |
//! | --- | --- |
//! | `report` | fields of the JSON of `GET /control/fleet` |
//! | `counters` | names in `stats`, in their order |
//! | `event_log` | lines of the log |
//!
//! The keys of the settings are mapped in [`pinetrail_config`].

mod counters;
mod event_log;
#[cfg(test)]
mod golden_tests;
mod report;

pub(super) use counters::{
    membership_counters_by_name, quota_counters_by_name, sum_membership_counters, sum_quota_counters,
};
pub(super) use event_log::{membership_log_line, quota_log_line, QUOTA_SETTINGS_MISMATCH_LINE};
pub(super) use report::{report, QuotaStatus};
