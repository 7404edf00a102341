//! The view that operators have of a fleet. Only this module maps the terms of the code to the
//! names that operators and their tools read.
//!
//! | module | maps to |
//! | --- | --- |
//! | `report` | the fields of the JSON of `GET /control/fleet` |
//! | `counters` | the names in `stats`, in their order |
//! | `event_log` | the lines of the log |
//!
//! [`pinetrail_config`] maps the keys of the settings.

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
