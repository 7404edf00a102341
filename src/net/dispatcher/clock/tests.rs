use super::*;
use std::time::Duration;

#[test]
fn a_moment_is_shown_as_it_was_however_late_it_is_looked_up() {
    let clock = Clock::start();
    let shown = |moment| (clock.at(moment) - clock.unix_ms).round();
    assert_eq!(shown(clock.anchor + Duration::from_millis(250)), 250.0);
    let before = clock.anchor.checked_sub(Duration::from_millis(40));
    assert!(before.is_none_or(|before| shown(before) == -40.0));
}
