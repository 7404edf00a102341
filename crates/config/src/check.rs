//! Checks the values of a configuration after it has been deserialized. Read [`check_settings`]
//! first.

use super::catalog::{Catalog, Instance};
use super::descriptors::{ADMIN_DESCRIPTORS, FLEET_DESCRIPTORS};
use super::error::ConfigError;
use super::file::Limits;
use super::fleet::FleetConfig;
use super::names::Names;
use super::policy::PolicyConfig;
use pinetrail_settings::settings::{Class, Idempotency, Settings};
use std::net::SocketAddr;

/// The maximum number of classes, since one byte numbers a class.
const MAX_CLASSES: usize = 255;
/// The maximum number of attempts of a request, since one byte numbers an attempt.
const MAX_ATTEMPTS: u32 = 255;
/// The valid values of the key `Discovery`, which states how discovery delivers the endpoint list.
/// The empty one stands for a missing key.
const DISCOVERY_MODES: [&str; 3] = ["", "ask", "push"];
/// The minimum number of sockets of a proxy without admin server and fleet.
const MIN_SOCKETS: usize = 32;
/// The minimum memory, in MB.
const MIN_MEMORY_MB: usize = 16;

/// Checks the object `settings`, and the names of its classes and tenants.
///
/// # Errors
///
/// The error names the first field that is not valid.
pub(super) fn check_settings(
    settings: &Settings,
    classes: &[String],
    tenants: &[String],
) -> Result<(), ConfigError> {
    if settings.classes.is_empty() || settings.classes.len() > MAX_CLASSES {
        return Err(ConfigError::invalid_value(
            "Grades",
            settings.classes.len(),
            "a list of 1 to 255 classes",
        ));
    }
    check_unique("Grades[].Name", classes)?;
    check_unique("Orgs[].Name", tenants)?;
    for (class, name) in settings.classes.iter().zip(classes) {
        check_class(class, name)?;
    }
    let limits = &settings.limits;
    let safety = &settings.safety_limits;
    if !(1..=MAX_ATTEMPTS).contains(&limits.max_attempts) {
        return Err(ConfigError::invalid_value("Permissions.MaxAttempts", limits.max_attempts, "1 to 255"));
    }
    if settings.group_size == 0 {
        return Err(ConfigError::invalid_value("GroupSize", 0, "above 0"));
    }
    if !DISCOVERY_MODES.contains(&settings.discovery.as_str()) {
        return Err(ConfigError::invalid_value("Discovery", &settings.discovery, "ask or push"));
    }
    check_positive("Tick", settings.tick.as_ms())?;
    check_positive("Safety.StartCapacity", safety.start_capacity)?;
    check_positive("Safety.FallMultiple", safety.overload_multiple)?;
    check_positive("Safety.TipAfter", safety.overload_time.as_ms())?;
    check_not_negative("Permissions.ConnIdle", limits.idle_connection_timeout.as_ms())?;
    check_not_negative("Permissions.MaxRetryAfter", limits.max_retry_after.as_ms())?;
    check_not_negative("Safety.Cold", safety.warm_up_time.as_ms())?;
    check_not_negative("Safety.MustAskIn", safety.max_poll_interval.as_ms())
}

fn check_class(class: &Class, name: &str) -> Result<(), ConfigError> {
    let field = |key: &str| format!("Grades[{name}].{key}");
    check_positive(&field("Aim"), class.latency_objective.as_ms())?;
    check_positive(&field("GiveUp"), class.client_timeout.as_ms())?;
    if class.idempotency == Idempotency::IdempotencyKey {
        check_positive(&field("RepeatWindow"), class.deduplication_window.as_ms())?;
    }
    check_not_negative(&field("Worth"), class.priority_weight)
}

/// Checks that the memory limit reaches the minimum.
///
/// # Errors
///
/// The error names the field if its value is too low.
pub(super) fn check_memory(limits: &Limits) -> Result<(), ConfigError> {
    if limits.memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::invalid_value("limits.memory_mb", limits.memory_mb, "at least 16"));
    }
    Ok(())
}

/// Checks that the socket limit suffices for the configured services.
///
/// # Errors
///
/// The error names the field and states the sockets that are needed, if the value is too low.
pub(super) fn check_sockets(
    limits: &Limits,
    admin: Option<&SocketAddr>,
    fleet: Option<&FleetConfig>,
) -> Result<(), ConfigError> {
    let (mut least, mut expected) = match (admin, fleet) {
        (None, None) => (MIN_SOCKETS, "at least 32"),
        (Some(_), None) => (MIN_SOCKETS + ADMIN_DESCRIPTORS, "at least 50 with a door for operators"),
        (None, Some(_)) => (MIN_SOCKETS + FLEET_DESCRIPTORS, "at least 33 in a fleet"),
        (Some(_), Some(_)) => {
            (MIN_SOCKETS + ADMIN_DESCRIPTORS + FLEET_DESCRIPTORS, "at least 51 with a door and a fleet")
        }
    };
    let policy = fleet.and_then(|fleet| fleet.policy.as_ref());
    let for_peers = policy.map_or(0, PolicyConfig::descriptors);
    if for_peers > 0 {
        least += for_peers;
        expected = "enough beside two for each of fleet.size, for links";
    }
    if limits.sockets < least {
        return Err(ConfigError::invalid_value("limits.sockets", limits.sockets, expected));
    }
    Ok(())
}

/// Checks a list of endpoints. Without this check, an invalid entry would become apparent only by
/// failing requests.
///
/// # Errors
///
/// The error names the first entry and field that are not valid.
pub(super) fn check_cached_endpoints(
    list: &Catalog,
    names: &Names,
    origin_kind: i64,
) -> Result<(), ConfigError> {
    for (index, endpoint) in list.instances.iter().enumerate() {
        check_endpoint(endpoint, index, &list.instances[..index])?;
    }
    let is_origin = |endpoint: &Instance| i64::from(names.kind(&endpoint.machine_type)) == origin_kind;
    if origin_kind >= 0 && !list.instances.is_empty() && !list.instances.iter().any(is_origin) {
        return Err(ConfigError::invalid_value(
            "known.instances",
            list.instances.len(),
            "a list with the origin in it",
        ));
    }
    Ok(())
}

/// Checks the endpoint with this index; `before` has the endpoints that precede it in the list.
fn check_endpoint(endpoint: &Instance, index: usize, before: &[Instance]) -> Result<(), ConfigError> {
    let field = |key: &str| format!("known.instances[{index}].{key}");
    let id = &endpoint.instance_id;
    if id.is_empty() || before.iter().any(|other| other.instance_id == *id) {
        return Err(ConfigError::invalid_value(field("instanceId"), id, "a name given once"));
    }
    if endpoint.host_port.parse::<SocketAddr>().is_err() {
        return Err(ConfigError::invalid_value(
            field("hostPort"),
            &endpoint.host_port,
            "an IP address and port",
        ));
    }
    let lifecycles = [Instance::READY, Instance::DRAINING, Instance::GONE];
    if !lifecycles.contains(&endpoint.lifecycle.as_str()) {
        return Err(ConfigError::invalid_value(
            field("lifecycle"),
            &endpoint.lifecycle,
            "ready, draining or gone",
        ));
    }
    check_not_negative(&field("weight"), f64::from(endpoint.weight))?;
    check_not_negative(&field("startedAtMs"), endpoint.started_at_ms)
}

fn check_not_negative(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(ConfigError::invalid_value(field, value, "0 or above"))
    }
}

fn check_positive(field: &str, value: f64) -> Result<(), ConfigError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(ConfigError::invalid_value(field, value, "given and above 0"))
    }
}

/// Checks that no name is empty or given twice.
fn check_unique(field: &str, names: &[String]) -> Result<(), ConfigError> {
    for (index, name) in names.iter().enumerate() {
        if name.is_empty() || names[..index].contains(name) {
            return Err(ConfigError::invalid_value(field, name, "a name given once"));
        }
    }
    Ok(())
}
