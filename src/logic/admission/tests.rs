use super::*;

fn arrival(priority_weight: f64, sample: f64) -> ArrivalInputs {
    ArrivalInputs { priority_weight, average_priority_weight: 1.0, sample }
}

/// Returns an admission control after `count` slow responses of the cache nodes.
fn after_slow_responses(count: usize) -> AdmissionControl {
    let mut admission = AdmissionControl::default();
    for _ in 0..count {
        admission.record(Tier::CacheNodes, Timeliness::Slow);
    }
    admission
}

#[test]
fn all_requests_are_admitted_at_first() {
    let admission = AdmissionControl::default();
    assert_eq!(admission.decide_arrival(arrival(1.0, 0.999)), AdmissionDecision::Admit);
    assert_eq!(admission.decide_fetch(0.999), AdmissionDecision::Admit);
}

#[test]
fn slow_responses_shed_requests_down_to_a_minimum_and_responses_in_time_admit_them_again() {
    let shed = AdmissionDecision::Shed(GiveUpReason::FleetOverloaded);
    let mut admission = after_slow_responses(1);
    assert_eq!(admission.decide_arrival(arrival(1.0, 0.79)), AdmissionDecision::Admit);
    assert_eq!(admission.decide_arrival(arrival(1.0, 0.81)), shed);
    admission.record(Tier::CacheNodes, Timeliness::InTime);
    assert_eq!(admission.decide_arrival(arrival(1.0, 0.89)), AdmissionDecision::Admit);
    let lowest = after_slow_responses(100);
    assert_eq!(lowest.decide_arrival(arrival(1.0, 0.019)), AdmissionDecision::Admit);
    assert_eq!(lowest.decide_arrival(arrival(1.0, 0.021)), shed);
}

#[test]
fn a_request_of_higher_priority_weight_is_shed_less_often() {
    let admission = after_slow_responses(3);
    let sample = 0.6;
    assert_eq!(admission.decide_arrival(arrival(2.0, sample)), AdmissionDecision::Admit);
    assert_eq!(
        admission.decide_arrival(arrival(0.5, sample)),
        AdmissionDecision::Shed(GiveUpReason::FleetOverloaded)
    );
}

#[test]
fn the_probability_follows_slow_responses_only_where_the_limit_is_the_lowest() {
    assert!(should_adjust(Outcome::Ok, Timeliness::InTime, false));
    assert!(!should_adjust(Outcome::Ok, Timeliness::Slow, false));
    assert!(should_adjust(Outcome::Timeout, Timeliness::Slow, true));
    assert!(!should_adjust(Outcome::ConnectFailed, Timeliness::InTime, true));
}

#[test]
fn the_origin_and_the_cache_nodes_have_probabilities_of_their_own() {
    let mut admission = AdmissionControl::default();
    admission.record(Tier::Origin, Timeliness::Slow);
    assert_eq!(admission.decide_fetch(0.9), AdmissionDecision::Shed(GiveUpReason::OriginOverloaded));
    assert_eq!(admission.decide_arrival(arrival(1.0, 0.9)), AdmissionDecision::Admit);
}
