use super::*;

fn ms(ms: f64) -> TimeSpan {
    TimeSpan::from_ms(ms)
}

const HOUR: TimeSpan = TimeSpan::from_ms(3_600_000.0);
/// The time of this process's clock at the arrival of the last list.
const LAST_LIST: Timestamp = Timestamp::from_ms(360_000_000.0);
/// The current time of the same clock, ten minutes later.
const NOW: Timestamp = Timestamp::from_ms(360_600_000.0);

/// Returns the start times after a first list with backend 1, which started an hour before.
fn after_a_list() -> StartTimes {
    let mut starts = StartTimes::default();
    let clocks = ClockReading { own: LAST_LIST, wall: LAST_LIST };
    starts.translate(BackendId(1), LAST_LIST - HOUR, clocks);
    starts.finish_list(ListForm::Full, clocks, |_| true);
    starts
}

/// Returns the current time of both clocks after the wall clock was set by `step`.
fn now(step: TimeSpan) -> ClockReading {
    ClockReading { own: NOW, wall: NOW + step }
}

/// Guards against a cold backend that counts as warm because a wall clock was set: this host's and
/// discovery's, or discovery's alone.
#[test]
fn a_restart_is_never_taken_for_older_whatever_wall_clock_was_set() {
    for step in [HOUR * -1.0, ms(-3000.0), TimeSpan::ZERO, ms(3000.0), HOUR] {
        for own_steps in [false, true] {
            let mut starts = after_a_list();
            let clocks = now(if own_steps { step } else { TimeSpan::ZERO });
            let started = starts.translate(BackendId(1), NOW - ms(1000.0) + step, clocks);
            let is_small_step_elsewhere = !own_steps && step == ms(-3000.0);
            // A small step back of discovery's clock alone cannot be told from an earlier start.
            let tolerance = if is_small_step_elsewhere { ms(3000.0) } else { TimeSpan::ZERO };
            assert!(
                started >= NOW - ms(1000.0) - tolerance && started <= NOW,
                "{step:?} {own_steps}: {started:?}"
            );
        }
    }
}

#[test]
fn the_same_process_keeps_its_start_through_a_step() {
    let mut starts = after_a_list();
    for step in [HOUR * -1.0, TimeSpan::ZERO, HOUR] {
        assert_eq!(starts.translate(BackendId(1), LAST_LIST - HOUR, now(step)), LAST_LIST - HOUR);
    }
}

#[test]
fn without_steps_a_start_is_as_listed() {
    let mut starts = after_a_list();
    assert_eq!(starts.translate(BackendId(1), NOW - ms(2000.0), now(TimeSpan::ZERO)), NOW - ms(2000.0));
    assert_eq!(starts.translate(BackendId(2), Timestamp::ZERO, now(TimeSpan::ZERO)), Timestamp::ZERO);
    let mut first = StartTimes::default();
    assert_eq!(
        first.translate(BackendId(1), NOW - HOUR * 2.0, now(TimeSpan::ZERO)),
        NOW - HOUR * 2.0,
        "the start is in the first list"
    );
}

#[test]
fn a_start_in_the_future_counts_as_now() {
    assert_eq!(after_a_list().translate(BackendId(2), NOW + HOUR, now(TimeSpan::ZERO)), NOW);
}
