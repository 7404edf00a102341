use super::*;
use crate::time::Timestamp;

fn entry(state: EndpointState, started_ms: f64) -> EndpointInfo {
    EndpointInfo { state, started_at: Timestamp::from_ms(started_ms), ..EndpointInfo::default() }
}

#[test]
fn an_entry_names_a_new_process_if_the_known_one_was_removed_or_started_earlier() {
    use EndpointState::{Draining, Gone, Ready};
    for (known, listed, expected) in [
        (entry(Ready, 10.0), entry(Ready, 10.0), ListedProcess::Known),
        (entry(Ready, 10.0), entry(Draining, 10.0), ListedProcess::Known),
        (entry(Ready, 10.0), entry(Ready, 5.0), ListedProcess::Known),
        (entry(Ready, 10.0), entry(Ready, 11.0), ListedProcess::New),
        (entry(Gone, 10.0), entry(Ready, 10.0), ListedProcess::New),
    ] {
        assert_eq!(compare(&known, &listed), expected, "{known:?} {listed:?}");
    }
}

#[test]
fn the_delay_after_failures_doubles_twice() {
    let delays = [0, 1, 2, 3].map(|failures| retry_delay(failures, 1.0).as_ms());
    assert_eq!(delays, [500.0, 1000.0, 2000.0, 2000.0]);
    assert_eq!(retry_delay(0, 1.5).as_ms(), 750.0);
}
