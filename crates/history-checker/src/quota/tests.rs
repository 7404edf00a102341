use super::*;
use crate::history::End;

fn share(at: Time, proxy: &str, part: f64) -> (Time, HistoryEvent) {
    (at, HistoryEvent::Share { proxy: proxy.into(), part, calls: 1000.0 })
}

fn reasons(events: Vec<(Time, HistoryEvent)>) -> Vec<Reason> {
    let breaches = check_quota(&History { clock_error: 0.0, events }).unwrap();
    breaches.iter().map(|breach| breach.reason).collect()
}

#[test]
fn shares_over_the_whole_are_refused_also_while_calls_of_before_run() {
    let whole = vec![share(0.0, "a", 0.5), share(1.0, "b", 0.5), share(500.0, "a", 0.25)];
    assert_eq!(reasons(whole.clone()), []);
    // What "a" gave up at 500 was last seen in use at 0.
    let early = share(900.0, "b", 0.75);
    assert_eq!(reasons([whole.clone(), vec![early]].concat()), [Reason::OverTheWhole]);
    assert_eq!(reasons([whole, vec![share(1001.0, "b", 0.75)]].concat()), []);
    assert_eq!(check_quota(&History::default()), Err(CheckError::Empty));
}

#[test]
fn more_calls_at_once_than_all_may_have_are_refused() {
    let received = |call: u64| {
        let (proxy, request, place) = ("p".into(), format!("O{call}"), "n".into());
        (call as f64, HistoryEvent::Received { proxy, request, call, place, first: call as f64, work: 1.0 })
    };
    let bound = (0.0, HistoryEvent::Bound { place: "n".into(), calls: 2 });
    let closed = (2.5, HistoryEvent::Closed { call: 1, end: End::Missed });
    assert_eq!(reasons(vec![bound.clone(), received(1), received(2), closed, received(3)]), []);
    assert_eq!(reasons(vec![bound, received(1), received(2), received(3)]), [Reason::TooManyAtOnce]);
}
