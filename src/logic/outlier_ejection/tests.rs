use super::*;
use crate::interface::RequestId;
use crate::state::AttemptId;

const MAX_EJECTION: TimeSpan = TimeSpan::from_ms(60_000.0);
const BOTH_EXCLUDED: ExclusionScope = ExclusionScope { excludes_outliers: true, excludes_ejected: true };

fn at(ms: f64) -> Timestamp {
    Timestamp::from_ms(ms)
}

/// Returns a backend after attempts that ended at these times, in ms, with these outcomes.
fn after(attempts: &[(f64, Outcome)]) -> Backend {
    let mut backend = Backend::default();
    for (ms, outcome) in attempts {
        let ended = EndedAttempt { outcome: *outcome, now: at(*ms), jitter: 1.0, max_ejection: MAX_EJECTION };
        record(&mut backend.outlier_history, ended);
    }
    backend
}

#[test]
fn a_backend_is_an_outlier_once_more_than_half_of_its_attempts_fail() {
    use Outcome::{Error, Ok, Reset, Timeout};
    let cases = [
        (vec![Error; 3], OutlierDecision::Eligible),
        (vec![Error; 4], OutlierDecision::Outlier),
        (vec![Timeout; 4], OutlierDecision::Outlier),
        (vec![Reset; 2], OutlierDecision::Outlier),
        (vec![Reset, Reset, Ok], OutlierDecision::Eligible),
    ];
    for (outcomes, expected) in cases {
        let attempts: Vec<_> = outcomes.iter().map(|outcome| (100.0, *outcome)).collect();
        assert_eq!(decide(&after(&attempts), BOTH_EXCLUDED, at(200.0)), expected, "{outcomes:?}");
    }
}

#[test]
fn an_outlier_gets_one_trial_at_a_time_after_the_trial_interval() {
    let mut backend = after(&[(100.0, Outcome::Reset); 2]);
    assert_eq!(decide(&backend, BOTH_EXCLUDED, at(1099.0)), OutlierDecision::Outlier);
    assert_eq!(decide(&backend, BOTH_EXCLUDED, at(1100.0)), OutlierDecision::Eligible);
    backend.in_flight.insert(AttemptId { request: RequestId(1), number: 0 });
    assert_eq!(decide(&backend, BOTH_EXCLUDED, at(1100.0)), OutlierDecision::Outlier);
}

#[test]
fn ejections_grow_up_to_the_longest_and_end_with_a_connection() {
    let mut backend = Backend::default();
    let mut now = at(100.0);
    for expected in [4_000.0, 16_000.0, 60_000.0, 60_000.0] {
        let failed =
            EndedAttempt { outcome: Outcome::ConnectFailed, now, jitter: 1.0, max_ejection: MAX_EJECTION };
        record(&mut backend.outlier_history, failed);
        let until = now + TimeSpan::from_ms(expected);
        assert_eq!(backend.outlier_history.ejected_until, until);
        assert_eq!(decide(&backend, BOTH_EXCLUDED, now), OutlierDecision::Ejected);
        record(&mut backend.outlier_history, failed);
        assert_eq!(
            backend.outlier_history.ejected_until, until,
            "a failure during the ejection changes nothing"
        );
        now = until;
    }
    let connected = EndedAttempt { outcome: Outcome::Full, now, jitter: 1.0, max_ejection: MAX_EJECTION };
    record(&mut backend.outlier_history, connected);
    assert_eq!(decide(&backend, BOTH_EXCLUDED, now), OutlierDecision::Eligible);
}

#[test]
fn no_backend_is_excluded_while_most_of_the_fleet_fails() {
    let healthy = Backend::default();
    let outlier = after(&[(100.0, Outcome::Reset); 2]);
    let ejected = after(&[(100.0, Outcome::ConnectFailed)]);
    let now = at(200.0);
    for (fleet, excludes_outliers, excludes_ejected) in [
        ([&healthy, &outlier, &healthy], true, true),
        ([&outlier, &outlier, &healthy], false, true),
        ([&ejected, &ejected, &healthy], true, false),
    ] {
        let scope = ExclusionScope::for_nodes(&fleet, now);
        assert_eq!((scope.excludes_outliers, scope.excludes_ejected), (excludes_outliers, excludes_ejected));
    }
    let scope = ExclusionScope { excludes_outliers: false, excludes_ejected: true };
    assert_eq!(decide(&outlier, scope, now), OutlierDecision::Eligible);
}
