//! Tests of the entries that the decision module receives for nodes in maintenance and after it.

use super::*;

fn at(ms: f64) -> Timestamp {
    Timestamp::from_ms(ms)
}

fn node(name: &str, lifecycle: &str, started_at_ms: f64) -> Instance {
    let text = format!(
        r#"{{"instanceId":"{name}","hostPort":"h","lifecycle":"{lifecycle}","startedAtMs":{started_at_ms}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn states(nodes: &[Instance]) -> Vec<(&str, f64)> {
    nodes.iter().map(|node| (node.lifecycle.as_str(), node.started_at_ms)).collect()
}

#[test]
fn a_node_in_maintenance_drains_whatever_discovery_lists() {
    let mut set = MaintenanceSet::default();
    assert_eq!(set.enter("a", at(5.0)), Err(MaintenanceError::NeverListed("a".into())));
    set.update(ListForm::Full, vec![node("a", "ready", 1.0), node("b", "ready", 1.0)]);
    assert_eq!(
        states(&set.enter("a", at(10.0)).unwrap().into_iter().collect::<Vec<_>>()),
        [("draining", 1.0)]
    );
    set.enter("a", at(11.0)).unwrap();
    let full = set.update(ListForm::Full, vec![node("a", "ready", 1.0), node("b", "ready", 1.0)]);
    assert_eq!(states(&full), [("draining", 1.0), ("ready", 1.0)]);
    assert_eq!(states(&set.update(ListForm::Delta, vec![node("a", "gone", 1.0)])), [("gone", 1.0)]);
    assert_eq!(set.leave("b", at(12.0)).unwrap().unwrap().lifecycle, "ready", "b was never in maintenance");
    // Node a is listed again after a restart, still in maintenance. One call ends its maintenance,
    // although it was started twice.
    assert_eq!(states(&set.update(ListForm::Delta, vec![node("a", "ready", 20.0)])), [("draining", 20.0)]);
    assert_eq!(states(&set.leave("a", at(30.0)).unwrap().into_iter().collect::<Vec<_>>()), [("ready", 20.0)]);
    assert_eq!(states(&set.update(ListForm::Delta, vec![node("a", "draining", 20.0)])), [("draining", 20.0)]);
}

#[test]
fn a_node_counts_as_started_at_the_end_of_its_maintenance_until_its_start_is_listed() {
    let mut set = MaintenanceSet::default();
    set.update(ListForm::Cached, vec![node("a", "ready", 1.0)]);
    set.enter("a", at(10.0)).unwrap();
    assert_eq!(states(&set.leave("a", at(30.0)).unwrap().into_iter().collect::<Vec<_>>()), [("ready", 30.0)]);
    assert_eq!(states(&set.update(ListForm::Delta, vec![node("a", "ready", 1.0)])), [("ready", 30.0)]);
    assert_eq!(states(&set.update(ListForm::Delta, vec![node("a", "ready", 15.0)])), [("ready", 15.0)]);
}

#[test]
fn a_node_listed_once_may_enter_maintenance_and_stored_names_are_bounded() {
    let mut set = MaintenanceSet::default();
    set.update(ListForm::Full, vec![node("a", "ready", 1.0)]);
    set.update(ListForm::Full, Vec::new());
    assert_eq!(set.enter("a", at(5.0)), Ok(None));
    for n in 0..3 * MAX_UNLISTED_NAMES {
        set.update(ListForm::Full, vec![node(&format!("n{n}"), "ready", 1.0)]);
    }
    assert!(
        set.unlisted.names.len() <= MAX_UNLISTED_NAMES
            && set.unlisted.oldest_first.len() <= MAX_UNLISTED_NAMES
    );
    assert_eq!(states(&set.update(ListForm::Full, vec![node("a", "ready", 9.0)])), [("draining", 9.0)]);
    assert_eq!(set.enter("n0", at(5.0)), Err(MaintenanceError::NeverListed("n0".into())));
}
