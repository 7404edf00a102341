use super::*;
use crate::history::AttemptEnd;

fn quota_stated(at: Time, proxy: &str, fraction: f64) -> (Time, HistoryEvent) {
    (at, HistoryEvent::QuotaStated { proxy: proxy.into(), fraction, longest_attempt: 1000.0 })
}

fn reasons(events: Vec<(Time, HistoryEvent)>) -> Vec<Reason> {
    let violations = check_quota(&History { clock_error: 0.0, events }).unwrap();
    violations.iter().map(|violation| violation.reason).collect()
}

#[test]
fn quotas_over_the_whole_are_a_violation_also_while_earlier_attempts_run() {
    let whole =
        vec![quota_stated(0.0, "a", 0.5), quota_stated(1.0, "b", 0.5), quota_stated(500.0, "a", 0.25)];
    assert_eq!(reasons(whole.clone()), []);
    // The quota that "a" gave up at 500 was stated at 0, and counts for 1000 ms from then.
    let early = quota_stated(900.0, "b", 0.75);
    assert_eq!(reasons([whole.clone(), vec![early]].concat()), [Reason::QuotaSumExceeded]);
    let in_time = quota_stated(1001.0, "b", 0.75);
    assert_eq!(reasons([whole, vec![in_time]].concat()), []);
    assert_eq!(check_quota(&History::default()), Err(CheckError::Empty));
}

#[test]
fn more_attempts_at_once_than_all_proxies_may_make_are_a_violation() {
    let received = |attempt: u64| {
        let at = attempt as f64;
        let received = HistoryEvent::AttemptReceived {
            proxy: "p".into(),
            request: format!("O{attempt}"),
            attempt,
            address: "n".into(),
            first_byte_at: at,
            work: 1.0,
        };
        (at, received)
    };
    let bound = (0.0, HistoryEvent::AttemptLimitSet { address: "n".into(), limit: 2 });
    let closed = (2.5, HistoryEvent::AttemptEnded { attempt: 1, end: AttemptEnd::Missed });
    assert_eq!(reasons(vec![bound.clone(), received(1), received(2), closed, received(3)]), []);
    assert_eq!(reasons(vec![bound, received(1), received(2), received(3)]), [Reason::AttemptLimitExceeded]);
}
