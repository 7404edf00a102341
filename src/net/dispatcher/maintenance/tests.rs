use super::*;

fn node(name: &str, lifecycle: &str, started_at_ms: Time) -> Instance {
    let text = format!(
        r#"{{"instanceId":"{name}","hostPort":"h","lifecycle":"{lifecycle}","startedAtMs":{started_at_ms}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn states(heard: &[Instance]) -> Vec<(&str, Time)> {
    heard.iter().map(|node| (node.lifecycle.as_str(), node.started_at_ms)).collect()
}

#[test]
fn a_node_held_out_stays_out_whatever_discovery_lists() {
    let mut held = MaintenanceSet::default();
    assert_eq!(held.enter("a", 5.0), Err(MaintenanceError::NeverListed("a".into())));
    held.update(ListForm::Full, vec![node("a", "ready", 1.0), node("b", "ready", 1.0)]);
    assert_eq!(states(&held.enter("a", 10.0).unwrap().into_iter().collect::<Vec<_>>()), [("draining", 1.0)]);
    held.enter("a", 11.0).unwrap();
    let full = held.update(ListForm::Full, vec![node("a", "ready", 1.0), node("b", "ready", 1.0)]);
    assert_eq!(states(&full), [("draining", 1.0), ("ready", 1.0)]);
    assert_eq!(states(&held.update(ListForm::Delta, vec![node("a", "gone", 1.0)])), [("gone", 1.0)]);
    assert_eq!(held.leave("b", 12.0).unwrap().unwrap().lifecycle, "ready", "never held out");
    // It returns, restarted, and is still held out; one call back is enough.
    assert_eq!(states(&held.update(ListForm::Delta, vec![node("a", "ready", 20.0)])), [("draining", 20.0)]);
    assert_eq!(states(&held.leave("a", 30.0).unwrap().into_iter().collect::<Vec<_>>()), [("ready", 20.0)]);
    assert_eq!(
        states(&held.update(ListForm::Delta, vec![node("a", "draining", 20.0)])),
        [("draining", 20.0)]
    );
}

#[test]
fn a_node_that_comes_back_counts_as_cold_until_its_start_is_told() {
    let mut held = MaintenanceSet::default();
    held.update(ListForm::Cached, vec![node("a", "ready", 1.0)]);
    held.enter("a", 10.0).unwrap();
    assert_eq!(states(&held.leave("a", 30.0).unwrap().into_iter().collect::<Vec<_>>()), [("ready", 30.0)]);
    assert_eq!(states(&held.update(ListForm::Delta, vec![node("a", "ready", 1.0)])), [("ready", 30.0)]);
    assert_eq!(states(&held.update(ListForm::Delta, vec![node("a", "ready", 15.0)])), [("ready", 15.0)]);
}

#[test]
fn a_node_listed_once_may_be_held_out_before_it_returns_and_memory_is_bounded() {
    let mut held = MaintenanceSet::default();
    held.update(ListForm::Full, vec![node("a", "ready", 1.0)]);
    held.update(ListForm::Full, Vec::new());
    assert_eq!(held.enter("a", 5.0), Ok(None));
    for n in 0..3 * MAX_UNLISTED {
        held.update(ListForm::Full, vec![node(&format!("n{n}"), "ready", 1.0)]);
    }
    assert!(held.unlisted.names.len() <= MAX_UNLISTED && held.unlisted.oldest_first.len() <= MAX_UNLISTED);
    assert_eq!(states(&held.update(ListForm::Full, vec![node("a", "ready", 9.0)])), [("draining", 9.0)]);
    assert_eq!(held.enter("n0", 5.0), Err(MaintenanceError::NeverListed("n0".into())));
}
