//! The text from which the digests of the active settings are computed, written out field by field.
//!
//! Invariant: processes of different program versions compare these digests, so the text is a
//! format of its own: format version 1, recorded in `golden_tests.rs`. Its names are fixed and
//! independent of those in [`crate::settings`]. A change of one byte would be reported as drift of
//! every process that runs another program version.

use crate::settings::{
    BackendKinds, Class, Costs, DeduplicationScope, Idempotency, Limits, SafetyLimits, Settings,
};
use std::time::Duration;

/// A part of the settings and the text from which its digest is computed.
pub(super) struct PartText {
    /// The name of the part in the settings.
    pub(super) part: &'static str,
    /// The text from which the part's digest is computed.
    pub(super) text: String,
}

/// Returns the text of each part of the settings that all processes have in common.
pub(super) fn part_texts(settings: &Settings, connect_timeout: Duration) -> Vec<PartText> {
    vec![
        PartText { part: "Grades", text: classes_text(&settings.classes) },
        PartText {
            part: "Permissions",
            text: format!("{} {connect_timeout:?}", limits_text(&settings.limits)),
        },
        PartText { part: "Safety", text: safety_limits_text(&settings.safety_limits) },
        PartText { part: "Prices", text: costs_text(&settings.costs) },
        PartText { part: "FamilyInfo", text: backend_kinds_text(&settings.backend_kinds) },
        PartText { part: "Discovery", text: settings.discovery.clone() },
        PartText { part: "Tick", text: settings.tick.as_ms().to_string() },
        PartText { part: "GroupSize", text: settings.group_size.to_string() },
    ]
}

/// Returns the text of the request classes, in their order.
pub(super) fn classes_text(classes: &[Class]) -> String {
    let texts: Vec<String> = classes.iter().map(class_text).collect();
    format!("[{}]", texts.join(", "))
}

fn class_text(class: &Class) -> String {
    format!(
        "Class {{ aim: {:?}, give_up: {:?}, effect: {}, scope: {}, repeat_window: {:?}, worth: {:?} }}",
        class.latency_objective.as_ms(),
        class.client_timeout.as_ms(),
        idempotency_text(class.idempotency),
        deduplication_scope_text(class.deduplication_scope),
        class.deduplication_window.as_ms(),
        class.priority_weight,
    )
}

fn idempotency_text(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "Safe",
        Idempotency::IdempotencyKey => "Keyed",
        Idempotency::NotIdempotent => "Unsafe",
    }
}

fn deduplication_scope_text(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::All => "All",
        DeduplicationScope::Zone => "Zone",
        DeduplicationScope::Cell => "Cell",
    }
}

/// Returns the text of the deployment's limits.
pub(super) fn limits_text(limits: &Limits) -> String {
    format!(
        "Limits {{ max_attempts: {:?}, conn_idle: {:?}, max_retry_after: {:?} }}",
        limits.max_attempts,
        limits.idle_connection_timeout.as_ms(),
        limits.max_retry_after.as_ms(),
    )
}

/// Returns the text of the limits for starting backends and for polling.
pub(super) fn safety_limits_text(limits: &SafetyLimits) -> String {
    format!(
        "Safety {{ start_capacity: {:?}, cold: {:?}, fall_multiple: {:?}, tip_after: {:?}, \
         must_ask_in: {:?} }}",
        limits.start_capacity,
        limits.warm_up_time.as_ms(),
        limits.overload_multiple,
        limits.overload_time.as_ms(),
        limits.max_poll_interval.as_ms(),
    )
}

/// Returns the text of the costs.
pub(super) fn costs_text(costs: &Costs) -> String {
    format!("Prices {{ cross_zone: {:?} }}", costs.zone_crossing)
}

/// Returns the text of the kinds of backend.
pub(super) fn backend_kinds_text(kinds: &BackendKinds) -> String {
    format!("Family {{ origin_kind: {:?} }}", kinds.origin_kind)
}
