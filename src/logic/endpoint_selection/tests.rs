use super::endpoint_set::{choose, ChoiceInputs, SetChoice};
use super::*;
use crate::interface::EndpointInfo;
use crate::settings::Settings;
use crate::state::{Backend, BackendTable, KeyTable};
use crate::time::{TimeSpan, Timestamp};

const HOME: BackendId = BackendId(1);
const IDLE: BackendId = BackendId(2);

fn least(backend: BackendId, load: f64) -> LeastLoaded {
    LeastLoaded { backend, candidates: 1, load }
}

/// Returns the inputs for a key whose set is one backend with this load, while the least loaded
/// node has none.
fn inputs(load: f64) -> ChoiceInputs<'static> {
    ChoiceInputs {
        set: &[HOME],
        is_large: false,
        least_in_set: Some(least(HOME, load)),
        least_of_all: least(IDLE, 0.0),
        is_origin_full: false,
    }
}

#[test]
fn a_set_grows_on_a_load_gap_of_four_requests() {
    assert_eq!(choose(&inputs(3.9)), SetChoice::Keep(HOME));
    assert_eq!(choose(&inputs(4.0)), SetChoice::Grow(IDLE));
}

#[test]
fn a_large_key_keeps_its_backend_and_no_set_grows_while_the_origin_is_full() {
    assert_eq!(choose(&ChoiceInputs { is_large: true, ..inputs(9.0) }), SetChoice::Keep(HOME));
    assert_eq!(choose(&ChoiceInputs { is_origin_full: true, ..inputs(9.0) }), SetChoice::Keep(HOME));
}

#[test]
fn a_set_grows_to_as_many_backends_as_the_keys_frequency_asks_for() {
    let frequent = LeastLoaded { candidates: 2, ..least(IDLE, 0.0) };
    assert_eq!(choose(&ChoiceInputs { least_of_all: frequent, ..inputs(0.0) }), SetChoice::Grow(IDLE));
}

#[test]
fn a_new_key_begins_a_set_and_a_set_without_eligible_backend_overflows() {
    let unavailable = ChoiceInputs { least_in_set: None, ..inputs(0.0) };
    assert_eq!(choose(&unavailable), SetChoice::Overflow(IDLE));
    assert_eq!(choose(&ChoiceInputs { set: &[], ..unavailable }), SetChoice::Grow(IDLE));
}

fn settings() -> Settings {
    let json = br#"{"GroupSize": 1, "Grades": [], "Zone": 0, "Prices": {"CrossZone": 0.125},
        "Permissions": {"MaxAttempts": 1},
        "Safety": {"StartCapacity": 1, "Cold": 1, "FallMultiple": 1, "TipAfter": 1}}"#;
    Settings::from_json(json).unwrap()
}

/// Returns backends 1 and 2 in zone 0, with weights 1 and 4, and backend 3 in zone 1.
fn backends() -> BackendTable {
    let backend = |id, zone, weight| {
        let info = EndpointInfo { backend: BackendId(id), zone, weight, ..EndpointInfo::default() };
        (BackendId(id), Backend { info, ..Backend::default() })
    };
    BackendTable::from([backend(1, 0, 1.0), backend(2, 0, 4.0), backend(3, 1, 1.0)])
}

#[test]
fn a_backend_in_another_zone_counts_as_loaded_by_the_cost_of_crossing() {
    let (backends, settings) = (backends(), settings());
    let loads = LoadView { backends: &backends, settings: &settings, mean_node_weight: 2.0 };
    assert_eq!([1, 2, 3, 9].map(|id| loads.load(BackendId(id))), [0.0, 0.0, 2.0, f64::MAX]);
}

#[test]
fn the_first_of_a_keys_order_is_its_home_and_a_larger_backend_is_home_to_more_keys() {
    let (backends, keys) = (backends(), KeyTable::new());
    let order = |proxy_number| RendezvousOrder {
        backends: &backends,
        keys: &keys,
        proxy_number,
        has_small_quota: false,
    };
    let home = |proxy, key| order(proxy).home(Key(key), [HOME, IDLE].into_iter(), 1).unwrap().backend;
    assert!((1..100).all(|key| home(1, key) == home(2, key)), "proxies disagree on a home");
    let at_larger = (1..1_000).filter(|key| home(1, *key) == IDLE).count();
    assert!((760..840).contains(&at_larger), "{at_larger} of 999 keys, expected four in five");
}

#[test]
fn a_set_drops_its_most_loaded_other_backend_a_minute_after_its_last_change() {
    let (backends, settings) = (backends(), settings());
    let loads = LoadView { backends: &backends, settings: &settings, mean_node_weight: 2.0 };
    let mut entry = KeyEntry::default();
    let changed = Timestamp::from_ms(1_000.0);
    entry.change_set(BackendId(1), None, changed);
    entry.change_set(BackendId(3), None, changed);
    let after = |ms| changed + TimeSpan::from_ms(ms);
    assert_eq!(dropped_backend(Some(&entry), HOME, loads, after(60_000.0)), None);
    assert_eq!(dropped_backend(Some(&entry), HOME, loads, after(60_001.0)), Some(BackendId(3)));
    assert_eq!(dropped_backend(Some(&entry), BackendId(3), loads, after(60_001.0)), Some(HOME));
}
