//! Tests the timers of the coroutine library on a busy worker. The test is a program of its own
//! because the number of workers is fixed when the first coroutine starts.

use pinetrail::net::timer::{self, TimerSet};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Time for which the only worker stays busy after the timers are started.
const BUSY_TIME: Duration = Duration::from_millis(150);
/// Delay of the timers.
const TIMER_DELAY: Duration = Duration::from_millis(200);
/// Maximum lateness of a timer on a loaded machine.
const MAX_LATE: Duration = Duration::from_millis(100);
/// Longest time that the test waits for a timer.
const WAIT: Duration = Duration::from_secs(5);

/// Guards against a timer whose delay starts only when the worker gets to it: requests of a burst
/// were answered late by as long as the burst kept the worker busy.
#[test]
fn timers_that_start_behind_other_work_are_not_late() {
    may::config().set_workers(1);
    let (sender, fired) = channel();
    let started = Instant::now();
    may::go!(move || {
        let mut timers = TimerSet::default();
        let due = started + TIMER_DELAY;
        let of_set = sender.clone();
        // The receiver waits for both.
        timers.run_at(due, move || of_set.send(started.elapsed()).unwrap());
        timer::run_at(due, move || sender.send(started.elapsed()).unwrap());
        std::thread::sleep(BUSY_TIME);
        timer::sleep(WAIT);
        drop(timers);
    });

    for _ in 0..2 {
        let after = fired.recv_timeout(WAIT).expect("the timer runs");
        assert!(after >= TIMER_DELAY, "early, after {after:?}");
        assert!(after < TIMER_DELAY + MAX_LATE, "late, after {after:?}");
    }
}
