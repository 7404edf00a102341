use super::*;
use std::time::Duration;

#[test]
fn a_moment_is_shown_as_it_was_however_late_it_is_looked_up() {
    let clock = Clock::start();
    let shown_at = |moment| (clock.at(moment) - clock.started_unix_ms).round();
    assert_eq!(shown_at(clock.started + Duration::from_millis(250)), 250.0);
    let before = clock.started.checked_sub(Duration::from_millis(40));
    assert!(before.is_none_or(|before| shown_at(before) == -40.0));
}
