use super::quota::ProxyQuota;
use super::*;
use crate::interface::{Outcome, Quota, RequestId};
use crate::state::AttemptId;

fn at(ms: f64) -> Timestamp {
    Timestamp::from_ms(ms)
}

fn backend(limit: f64, in_flight: u64) -> Backend {
    let mut backend = Backend::with_limit(limit);
    for id in 0..in_flight {
        backend.in_flight.insert(AttemptId { request: RequestId(id), number: 0 });
    }
    backend
}

/// Returns a successful attempt in time at a cache node with 20 attempts in flight.
fn attempt() -> TimedAttempt {
    TimedAttempt {
        outcome: Outcome::Ok,
        latency: TimeSpan::from_ms(10.0),
        timeliness: Timeliness::InTime,
        tier: Tier::CacheNodes,
        in_flight: 20.0,
        now: at(1_000.0),
    }
}

fn limit_after(attempt: TimedAttempt) -> f64 {
    let mut limit = ConcurrencyLimit { max_in_flight: 20.0, ..ConcurrencyLimit::default() };
    record(&mut limit, attempt);
    limit.max_in_flight
}

#[test]
fn a_limit_in_use_grows_by_one_for_as_many_attempts_as_it_allows() {
    assert_eq!(limit_after(attempt()), 20.0 + 1.0 / 20.0);
    assert_eq!(limit_after(TimedAttempt { in_flight: 10.0, ..attempt() }), 20.0, "half of it is in flight");
    assert_eq!(limit_after(TimedAttempt { outcome: Outcome::Error, ..attempt() }), 20.0);
}

#[test]
fn a_slow_attempt_decreases_a_limit_once() {
    let slow = TimedAttempt { timeliness: Timeliness::Slow, ..attempt() };
    let mut limit = ConcurrencyLimit { max_in_flight: 20.0, ..ConcurrencyLimit::default() };
    record(&mut limit, slow);
    assert_eq!(limit.max_in_flight, 14.0);
    record(&mut limit, TimedAttempt { now: at(1_009.0), ..slow });
    assert_eq!(limit.max_in_flight, 14.0, "the attempt was sent before the decrease");
    record(&mut limit, TimedAttempt { now: at(1_010.0), ..slow });
    assert!(limit.max_in_flight < 14.0);
}

#[test]
fn a_rejection_decreases_the_limit_of_a_node_only_if_the_limit_is_in_use() {
    let rejected = TimedAttempt { timeliness: Timeliness::Slow, outcome: Outcome::Full, ..attempt() };
    assert_eq!(limit_after(rejected), 14.0);
    assert_eq!(limit_after(TimedAttempt { in_flight: 9.0, ..rejected }), 20.0);
}

#[test]
fn the_origin_is_crowded_once_a_quarter_of_its_attempts_is_slow() {
    let slow = TimedAttempt { timeliness: Timeliness::Slow, tier: Tier::Origin, ..attempt() };
    let mut limit = ConcurrencyLimit { max_in_flight: 20.0, ..ConcurrencyLimit::default() };
    let unchanged = (0..10).take_while(|_| {
        record(&mut limit, slow);
        limit.max_in_flight == 20.0
    });
    assert_eq!(unchanged.count(), 2);
}

#[test]
fn a_backend_at_a_limit_of_one_rests_after_a_decrease() {
    let quota = ProxyQuota::equal_share(1);
    let decide = |backend: &Backend, now| decide_capacity(backend, Tier::CacheNodes, &quota, at(now));
    assert_eq!(decide(&backend(2.0, 1), 200.0), CapacityDecision::Available);
    assert_eq!(decide(&backend(2.0, 2), 200.0), CapacityDecision::Full);
    let mut lowest = backend(1.0, 0);
    lowest.limit.last_decrease = at(1_000.0);
    assert_eq!(decide(&lowest, 1_100.0), CapacityDecision::CoolingDown);
    assert_eq!(decide(&lowest, 1_100.1), CapacityDecision::Available);
}

#[test]
fn a_quota_counts_until_it_expires_and_the_guaranteed_minimum_from_then_on() {
    let mut quota = ProxyQuota::equal_share(4);
    assert_eq!(quota.divisor(at(0.0)), 4.0);
    let factor = quota.replace(
        Quota {
            fraction: 0.5,
            expires_at: at(100.0),
            guaranteed: 0.125,
            fleet_limits: FleetLimits { per_node: 16.0, origin: 8.0 },
        },
        at(0.0),
    );
    assert_eq!(factor, 2.0);
    assert_eq!(quota.allowed_attempts(20.0, Tier::CacheNodes, at(99.0)), 8.0);
    assert_eq!(quota.allowed_attempts(20.0, Tier::CacheNodes, at(100.0)), 2.0);
    assert_eq!(quota.allowed_attempts(20.0, Tier::Origin, at(100.0)), 1.0);
}

#[test]
fn an_attempt_is_slow_beyond_its_expected_work_and_a_part_of_the_objective() {
    let inputs = SlowThresholdInputs {
        tier: Tier::CacheNodes,
        latency_objective: TimeSpan::from_ms(400.0),
        shortest_objective: TimeSpan::from_ms(100.0),
        expected_work: TimeSpan::from_ms(10.0),
    };
    assert_eq!(inputs.slow_threshold().as_ms(), 110.0);
    assert_eq!(SlowThresholdInputs { tier: Tier::Origin, ..inputs }.slow_threshold().as_ms(), 60.0);
    let timeliness = |outcome, ms| Timeliness::of(outcome, TimeSpan::from_ms(ms), TimeSpan::from_ms(110.0));
    assert_eq!(timeliness(Outcome::Ok, 110.0), Timeliness::InTime);
    assert_eq!(timeliness(Outcome::Ok, 111.0), Timeliness::Slow);
    assert_eq!(timeliness(Outcome::Full, 1.0), Timeliness::Slow);
}
