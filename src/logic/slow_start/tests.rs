use super::*;
use crate::interface::EndpointInfo;
use crate::logic::fixtures::SAFETY_LIMITS;

const STARTED_MS: f64 = 50_000.0;

fn backend(started_ms: f64) -> Backend {
    let info = EndpointInfo {
        backend: BackendId(1),
        started_at: Timestamp::from_ms(started_ms),
        ..EndpointInfo::default()
    };
    Backend { info, ..Backend::default() }
}

fn decision(home: u32, sample: f64, age_ms: f64) -> SlowStartDecision {
    let request = WarmUpInputs { home: Some(BackendId(home)), sample };
    decide(&backend(STARTED_MS), &SAFETY_LIMITS, request, Timestamp::from_ms(STARTED_MS + age_ms))
}

#[test]
fn a_warming_backend_gets_half_of_what_overloads_it_and_only_keys_whose_home_it_is() {
    // At the start the limit is half of 3 times 0.2 of the capacity.
    assert_eq!(decision(1, 0.29, 0.0), SlowStartDecision::WithinFraction);
    assert_eq!(decision(1, 0.31, 0.0), SlowStartDecision::WarmingUp);
    assert_eq!(decision(2, 0.0, 0.0), SlowStartDecision::WarmingUp);
    // After half of the warm-up time it is half of 3 times 0.6.
    assert_eq!(decision(1, 0.89, 5_000.0), SlowStartDecision::WithinFraction);
    assert_eq!(decision(1, 0.91, 5_000.0), SlowStartDecision::WarmingUp);
}

#[test]
fn a_backend_is_warm_after_its_warm_up_time_or_if_it_started_long_ago() {
    assert_eq!(decision(2, 1.0, 10_000.0), SlowStartDecision::Warm);
    assert!(!is_warming_up(&backend(0.0), &SAFETY_LIMITS, Timestamp::from_ms(1.0)));
    assert!(is_warming_up(&backend(STARTED_MS), &SAFETY_LIMITS, Timestamp::from_ms(STARTED_MS + 1.0)));
}

#[test]
fn a_key_is_hot_from_a_quarter_of_one_nodes_requests_on_where_proxies_are_few() {
    let key = KeyLoad { fraction: 0.1, nodes: 3, has_small_quota: false };
    assert!(is_hot(key));
    assert!(!is_hot(KeyLoad { nodes: 2, ..key }));
    assert!(!is_hot(KeyLoad { has_small_quota: true, ..key }));
}
