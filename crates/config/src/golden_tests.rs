//! Tests that every key of the configuration file is still read. The operators' files outlive each
//! version of the program: if a key is renamed, files with the old name are rejected, or the value
//! is silently replaced with its default. The recorded text has every key, each with a value that
//! is not its default.

use super::{Config, Limits};
use pinetrail_policy_consensus::LeaseExpiryMode;
use pinetrail_settings::settings::{DeduplicationScope, Idempotency};
use pinetrail_settings::time::TimeSpan;
use serde_json::Value;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

const COMPLETE: &str = r#"{
    "name": "p1",
    "listen": "127.0.0.1:7001",
    "discovery": "127.0.0.1:7002",
    "admin": "127.0.0.1:7003",
    "seed": "1f",
    "limits": {"sockets": 2048, "memory_mb": 256},
    "known": {
        "generation": 9,
        "reset": true,
        "instances": [
            {"instanceId": "o", "hostPort": "127.0.0.1:7011", "zone": "east",
             "machineType": "origin", "cell": 3, "lifecycle": "ready", "weight": 1.5,
             "startedAtMs": 1000}
        ]
    },
    "fleet": {
        "name": "f1",
        "bind": "127.0.0.1:7101",
        "advertise": "127.0.0.2:7101",
        "peers": ["127.0.0.3:7101", "127.0.0.4:7101"],
        "size": 5,
        "period_ms": 500,
        "answer_ms": 170,
        "suspicion_ms": 1100,
        "gossip_ms": 110,
        "reunion_ms": 1200,
        "rejoin_ms": 1300,
        "forget_ms": 500000,
        "founders": ["127.0.0.2:7101", "127.0.0.3:7101", "127.0.0.4:7101"],
        "node_calls": 100,
        "origin_calls": 50,
        "ask_ms": 310,
        "vote_ms": 1210,
        "lease_ms": 3010,
        "call_ms": 2510,
        "policy": {
            "bind": "127.0.0.1:7201",
            "advertise": "127.0.0.2:7201",
            "state_dir": "state",
            "permit_ms": 2100,
            "renew_ms": 510,
            "ready_ms": 1510,
            "close_ms": 310,
            "change_ms": 60010,
            "answer_ms": 210,
            "hold_ms": 160,
            "catch_up_ms": 10010,
            "when_cut": "serve",
            "local": true,
            "restore_after_ms": 5000
        }
    },
    "settings": {
        "GroupSize": 5,
        "MyNumber": 2,
        "Zone": 1,
        "Discovery": "push",
        "Tick": 2.5,
        "Grades": [
            {"Name": "read", "Aim": 10, "GiveUp": 100, "Semantics": "safe",
             "DedupScope": "all", "RepeatWindow": 1, "Worth": 1.5},
            {"Name": "write", "Aim": 20, "GiveUp": 200.5, "Semantics": "keyed",
             "DedupScope": "zone", "RepeatWindow": 3000, "Worth": 2.5},
            {"Name": "once", "Aim": 30, "GiveUp": 300, "Semantics": "unsafe",
             "DedupScope": "all", "RepeatWindow": 2, "Worth": 0.5}
        ],
        "Orgs": [{"Name": "first"}, {"Name": "second"}],
        "Kinds": ["origin", "small"],
        "Zones": ["east", "west"],
        "Permissions": {"MaxAttempts": 3, "ConnIdle": 60000, "MaxRetryAfter": 5000,
                        "ConnectTimeout": 125},
        "Safety": {"StartCapacity": 0.25, "Cold": 30000, "FallMultiple": 1.75,
                   "TipAfter": 500, "MustAskIn": 2000},
        "Prices": {"CrossZone": 0.125},
        "FamilyInfo": {"OriginKind": 0}
    }
}"#;

fn complete() -> Config {
    Config::from_json(COMPLETE.as_bytes(), None).unwrap()
}

fn at(address: &str) -> SocketAddr {
    address.parse().unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn assert_recorded<T: PartialEq + Debug>(read: T, recorded: T) {
    assert_eq!(read, recorded);
}

#[test]
fn the_outermost_keys_are_read() {
    let config = complete();
    assert_recorded(&*config.name, "p1");
    assert_recorded(config.listen, at("127.0.0.1:7001"));
    assert_recorded(config.discovery, at("127.0.0.1:7002"));
    assert_recorded(config.admin, Some(at("127.0.0.1:7003")));
    assert_recorded(config.seed, 0x1f);
    assert_recorded(config.limits, Limits { sockets: 2048, memory_mb: 256 });
    assert_recorded(config.connect_timeout, ms(125));
}

#[test]
fn the_environment_overrides_the_admin_address_of_the_file() {
    let config = Config::from_json(COMPLETE.as_bytes(), Some("127.0.0.1:7004".into())).unwrap();
    assert_recorded(config.admin, Some(at("127.0.0.1:7004")));
}

#[test]
fn the_keys_of_cached_endpoints_are_read() {
    let list = complete().cached_endpoints;
    assert_recorded((list.generation, list.reset, list.instances.len()), (9, true, 1));
    let node = &list.instances[0];
    assert_recorded((&*node.instance_id, &*node.host_port), ("o", "127.0.0.1:7011"));
    assert_recorded((&*node.zone, &*node.machine_type, node.cell), ("east", "origin", 3));
    assert_recorded((&*node.lifecycle, node.weight, node.started_at_ms), ("ready", 1.5, 1000.0));
}

#[test]
fn the_keys_of_the_fleet_are_read() {
    let fleet = complete().fleet.unwrap();
    assert_recorded((fleet.bind, fleet.advertise), (at("127.0.0.1:7101"), Some(at("127.0.0.2:7101"))));
    let settings = fleet.settings;
    assert_recorded((&*settings.fleet, &*settings.name), ("f1", "p1"));
    assert_recorded(settings.advertise, at("127.0.0.2:7101"));
    assert_recorded(settings.peers, vec![at("127.0.0.3:7101"), at("127.0.0.4:7101")]);
    assert_recorded(settings.size, 5);
    let timing = settings.timing;
    let probing = (timing.probe_period, timing.probe_timeout, timing.suspicion_timeout);
    assert_recorded(probing, (ms(500), ms(170), ms(1100)));
    let intervals = (timing.gossip_interval, timing.reconnect_interval, timing.discovery_interval);
    assert_recorded(intervals, (ms(110), ms(1200), ms(1300)));
    assert_recorded(timing.retention, ms(500_000));
}

#[test]
fn the_keys_of_quota_leases_are_read() {
    let quota = complete().fleet.unwrap().quota.unwrap();
    assert_recorded((quota.limits.per_node, quota.limits.origin), (100.0, 50.0));
    let settings = quota.settings;
    let founders = ["127.0.0.2:7101", "127.0.0.3:7101", "127.0.0.4:7101"];
    assert_recorded(settings.founders, founders.map(at).to_vec());
    assert_recorded(
        (settings.size, settings.heartbeat_period, settings.vote_duration),
        (5, ms(310), ms(1210)),
    );
    assert_recorded((settings.lease_duration, settings.max_attempt_duration), (ms(3010), ms(2510)));
}

#[test]
fn the_keys_of_the_policy_are_read() {
    let config = complete();
    let policy = config.policy().unwrap();
    assert_recorded((policy.bind, policy.advertise), (at("127.0.0.1:7201"), at("127.0.0.2:7201")));
    assert_recorded(policy.state_dir.clone(), Some("state".into()));
    let times = &policy.timing;
    assert_recorded(
        (times.lease_duration, times.renewal_interval, times.readiness_timeout),
        (ms(2100), ms(510), ms(1510)),
    );
    assert_recorded(
        (times.closing_timeout, times.change_timeout, times.request_timeout),
        (ms(310), ms(60_010), ms(210)),
    );
    assert_recorded((policy.change_wait, policy.catch_up_warning), (ms(160), ms(10_010)));
    assert_recorded(
        (policy.lease_expiry_mode, policy.allows_local_reload),
        (LeaseExpiryMode::FailOpen, true),
    );
    assert_recorded(policy.restore_after, Some(ms(5000)));
    assert_recorded((policy.voters.0, policy.voter_id, policy.max_peers), (3, Some(0), 5));
}

#[test]
fn values_that_are_defaults_are_read() {
    let with = |word: &str, other: &str| {
        let text = COMPLETE.replace(word, other);
        Config::from_json(text.as_bytes(), None).unwrap()
    };
    let refuses = with(r#""when_cut": "serve""#, r#""when_cut": "refuse""#);
    assert_recorded(refuses.policy().unwrap().lease_expiry_mode, LeaseExpiryMode::FailClosed);
    let cell = with(r#""DedupScope": "zone""#, r#""DedupScope": "cell""#);
    assert_recorded(cell.settings.classes[1].deduplication_scope, DeduplicationScope::Cell);
}

fn span(ms: f64) -> TimeSpan {
    TimeSpan::from_ms(ms)
}

#[test]
fn the_keys_of_the_classes_are_read() {
    let config = complete();
    let classes = &config.settings.classes;
    assert_recorded(config.names.classes().join(" "), "read write once".into());
    assert_recorded(classes.len(), 3);
    let idempotency: Vec<Idempotency> = classes.iter().map(|class| class.idempotency).collect();
    assert_recorded(
        idempotency,
        vec![Idempotency::Idempotent, Idempotency::IdempotencyKey, Idempotency::NotIdempotent],
    );
    let scopes: Vec<DeduplicationScope> = classes.iter().map(|class| class.deduplication_scope).collect();
    assert_recorded(scopes, vec![DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::All]);
    let write = &classes[1];
    assert_recorded((write.latency_objective, write.client_timeout), (span(20.0), span(200.5)));
    assert_recorded((write.deduplication_window, write.priority_weight), (span(3000.0), 2.5));
}

#[test]
fn the_keys_of_the_settings_are_read() {
    let config = complete();
    let settings = &config.settings;
    assert_recorded((settings.group_size, settings.my_number, settings.zone), (5, 2, 1));
    assert_recorded((&*settings.discovery, settings.tick), ("push", span(2.5)));
    let limits = settings.limits;
    assert_recorded((limits.max_attempts, limits.idle_connection_timeout), (3, span(60_000.0)));
    assert_recorded(limits.max_retry_after, span(5000.0));
    let safety = &settings.safety_limits;
    assert_recorded((safety.start_capacity, safety.warm_up_time), (0.25, span(30_000.0)));
    assert_recorded((safety.overload_multiple, safety.overload_time), (1.75, span(500.0)));
    assert_recorded(safety.max_poll_interval, span(2000.0));
    assert_recorded((settings.costs.zone_crossing, settings.backend_kinds.origin_kind), (0.125, 0));
    let names = &config.names;
    assert_recorded((names.class("once"), names.is_keyed(1)), (Some(2), true));
    assert_recorded((names.tenant("second"), names.kind("small"), names.zone("west")), (Some(1), 1, 1));
}

/// Returns the parsed configuration as text, without the JSON from which it was parsed; `None` if
/// the configuration is rejected.
fn read(given: &Value) -> Option<String> {
    let mut config = Config::from_json(given.to_string().as_bytes(), None).ok()?;
    config.json = Value::Null;
    Some(format!("{config:?}"))
}

/// Collects all keys, each with the JSON pointer of the object that contains it.
fn keys(value: &Value, path: &str, found: &mut Vec<(String, String)>) {
    match value {
        Value::Object(object) => {
            for (key, inner) in object {
                found.push((path.to_owned(), key.clone()));
                keys(inner, &format!("{path}/{key}"), found);
            }
        }
        Value::Array(array) => {
            for (place, inner) in array.iter().enumerate() {
                keys(inner, &format!("{path}/{place}"), found);
            }
        }
        _ => {}
    }
}

#[test]
fn a_configuration_without_any_one_key_is_read_differently() {
    let given: Value = serde_json::from_str(COMPLETE).unwrap();
    let whole = read(&given).unwrap();
    let mut found = Vec::new();
    keys(&given, "", &mut found);
    assert_eq!(found.len(), 103);
    for (path, key) in found {
        let mut without = given.clone();
        let object = without.pointer_mut(&path).unwrap().as_object_mut().unwrap();
        object.remove(&key).unwrap();
        assert_ne!(read(&without).as_ref(), Some(&whole), "{path}/{key} is not read");
    }
}
