//! Golden tests of the names and the order of counters in `stats` and in the log, which the
//! dashboards and alarms of operators read by name. The list was recorded before the fields were
//! renamed.

use super::Counters;
use crate::interface::Outcome;

/// The recorded names of the counters, in their order.
const NAMES: [&str; 48] = [
    "consumers_accepted",
    "consumers_evicted",
    "consumers_hopeless",
    "consumers_over_budget",
    "consumers_late",
    "taken_reads",
    "taken_writes",
    "taken_malformed",
    "rejected_for_memory",
    "answered_served",
    "answered_rejected",
    "answered_failed",
    "consumers_gone",
    "overdue",
    "calls_ordered",
    "calls_ok",
    "calls_miss",
    "calls_error",
    "calls_full",
    "calls_timeout",
    "calls_connect_failed",
    "calls_reset",
    "calls_cancelled",
    "calls_moot",
    "answers_spoilt",
    "values_flowed",
    "values_broken",
    "provider_connections",
    "watches",
    "watches_failed",
    "lists",
    "reloads",
    "reloads_failed",
    "panics",
    "answered_at_stop",
    "answered_late",
    "held_up",
    "bytes_discarded",
    "given_up_unknown_class",
    "given_up_overloaded",
    "given_up_origin_overloaded",
    "given_up_queued_too_long",
    "given_up_deadline",
    "given_up_attempts_used_up",
    "given_up_repeat_unsafe",
    "given_up_retry_budget",
    "given_up_backend_unknown",
    "given_up_panicked",
];

#[test]
fn names_of_counters_are_the_recorded_list_in_its_order() {
    let list = Counters::default().list();
    assert_eq!(list.iter().map(|(name, _)| *name).collect::<Vec<_>>(), NAMES);
    assert!(list.iter().all(|(_, value)| *value == 0));
}

#[test]
fn external_counters_follow_the_own_ones() {
    let counters = Counters::default();
    counters.external.set_source(|| vec![("fleet_probes", 1), ("policy_version", 2)]);
    let list = counters.list();
    assert_eq!(list.len(), NAMES.len() + 2);
    assert_eq!(list[NAMES.len()..], [("fleet_probes", 1), ("policy_version", 2)]);
}

#[test]
fn the_line_of_the_log_is_the_recorded_text() {
    let counters = Counters::default();
    counters.panics.increment();
    let zeros = |names: &[&str]| names.iter().map(|name| format!(" {name}=0")).collect::<String>();
    let expected = format!("counters{} panics=1{}", zeros(&NAMES[..33]), zeros(&NAMES[34..]));
    assert_eq!(counters.line(), expected);
}

#[test]
fn each_outcome_is_counted_under_its_recorded_name() {
    let recorded = [
        (Outcome::Ok, "calls_ok"),
        (Outcome::Miss, "calls_miss"),
        (Outcome::Error, "calls_error"),
        (Outcome::Full, "calls_full"),
        (Outcome::Timeout, "calls_timeout"),
        (Outcome::ConnectFailed, "calls_connect_failed"),
        (Outcome::Reset, "calls_reset"),
        (Outcome::Cancelled, "calls_cancelled"),
        (Outcome::Moot, "calls_moot"),
    ];
    for (outcome, recorded) in recorded {
        let counters = Counters::default();
        counters.outcome(outcome).increment();
        let counted: Vec<_> = counters.list().into_iter().filter(|(_, count)| *count > 0).collect();
        assert_eq!(counted, [(recorded, 1)]);
    }
}
