//! Golden tests of the endpoint snapshot, the JSON that a hot restart passes to the newer process.
//! The older process may run an earlier release, so a changed key would break hot restarts or lose
//! the nodes in maintenance. All texts were recorded before the fields were renamed.

use super::maintenance::{MaintenanceError, MaintenanceSet};
use super::snapshot::{EndpointSnapshot, PeerAddress};
use crate::interface::ListForm;
use crate::time::Timestamp;
use pinetrail_config::Instance;

const INSTANCE: &str = concat!(
    r#"{"instanceId":"a","hostPort":"127.0.0.1:7001","zone":"east","machineType":"small","#,
    r#""cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1000.0}"#,
);
const OTHER: &str = concat!(
    r#"{"instanceId":"b","hostPort":"127.0.0.1:7002","zone":"west","machineType":"large","#,
    r#""cell":4,"lifecycle":"draining","weight":2.0,"startedAtMs":0.0}"#,
);
const PEER: &str = r#"{"name":"p1","start":1700000000000001,"place":"127.0.0.1:8001"}"#;

fn instance() -> Instance {
    Instance {
        instance_id: "a".into(),
        host_port: "127.0.0.1:7001".into(),
        zone: "east".into(),
        machine_type: "small".into(),
        cell: 3,
        lifecycle: "ready".into(),
        weight: 1.5,
        started_at_ms: 1000.0,
    }
}

fn other() -> Instance {
    Instance {
        instance_id: "b".into(),
        host_port: "127.0.0.1:7002".into(),
        zone: "west".into(),
        machine_type: "large".into(),
        cell: 4,
        lifecycle: "draining".into(),
        weight: 2.0,
        started_at_ms: 0.0,
    }
}

fn peer() -> PeerAddress {
    let address = "127.0.0.1:8001".parse().unwrap();
    PeerAddress { name: "p1".into(), start: 1_700_000_000_000_001, address }
}

/// Returns a set with two listed nodes and one that is no longer listed. Node `a` is in
/// maintenance, and `b` has left maintenance.
fn maintenance_set() -> MaintenanceSet {
    let mut set = MaintenanceSet::default();
    let unlisted = Instance { instance_id: "old".into(), ..instance() };
    set.update(ListForm::Full, vec![unlisted]);
    set.update(ListForm::Full, vec![instance(), other()]);
    set.enter("a", Timestamp::from_ms(10.0)).unwrap();
    set.enter("b", Timestamp::from_ms(5.0)).unwrap();
    set.leave("b", Timestamp::from_ms(6.5)).unwrap();
    set
}

fn recorded_snapshot() -> String {
    let listed = format!(r#""told":[{INSTANCE},{OTHER}]"#);
    let maintenance = r#""gone":["old"],"out":{"a":10.0},"back":{"b":[5.0,6.5]}"#;
    format!(r#"{{{listed},{maintenance},"links":[{PEER}]}}"#)
}

#[test]
fn an_instance_is_the_recorded_text() {
    assert_eq!(serde_json::to_string(&instance()).unwrap(), INSTANCE);
    assert_eq!(serde_json::from_str::<Instance>(INSTANCE).unwrap(), instance());
}

#[test]
fn an_instance_without_optional_keys_has_the_recorded_defaults() {
    let text = r#"{"instanceId":"a","hostPort":"h","lifecycle":"ready"}"#;
    let recorded = concat!(
        r#"{"instanceId":"a","hostPort":"h","zone":"","machineType":"","#,
        r#""cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0.0}"#,
    );
    let instance: Instance = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&instance).unwrap(), recorded);
}

#[test]
fn a_peer_address_is_the_recorded_text() {
    assert_eq!(serde_json::to_string(&peer()).unwrap(), PEER);
    assert_eq!(serde_json::from_str::<PeerAddress>(PEER).unwrap(), peer());
}

#[test]
fn a_snapshot_with_every_field_filled_is_the_recorded_text() {
    let mut snapshot = maintenance_set().snapshot();
    snapshot.peers = vec![peer()];
    assert_eq!(serde_json::to_string(&snapshot).unwrap(), recorded_snapshot());
    assert_eq!(serde_json::from_str::<EndpointSnapshot>(&recorded_snapshot()).unwrap(), snapshot);
}

#[test]
fn an_empty_snapshot_is_the_recorded_text_without_links() {
    let recorded = r#"{"told":[],"gone":[],"out":{},"back":{}}"#;
    assert_eq!(serde_json::to_string(&EndpointSnapshot::default()).unwrap(), recorded);
    assert_eq!(serde_json::from_str::<EndpointSnapshot>(recorded).unwrap(), EndpointSnapshot::default());
}

#[test]
fn a_newer_process_restores_what_the_recorded_text_says() {
    let snapshot: EndpointSnapshot = serde_json::from_str(&recorded_snapshot()).unwrap();
    let mut newer = MaintenanceSet::default();
    newer.update(ListForm::Full, snapshot.listed.clone());
    newer.restore(snapshot);
    assert_eq!(newer.snapshot(), maintenance_set().snapshot());
}

#[test]
fn maintenance_errors_are_the_recorded_texts() {
    let text = |error: MaintenanceError| error.to_string();
    assert_eq!(text(MaintenanceError::NeverListed("a".into())), "a was never listed");
    assert_eq!(text(MaintenanceError::Origin("o".into())), "o is the origin, which is no cache node");
    assert_eq!(text(MaintenanceError::TooMany), "4096 nodes are held out already");
}
