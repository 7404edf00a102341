//! Tests the order and the cancellation of timers, and how many coroutines they need.

use super::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;

const WAIT: Duration = Duration::from_secs(5);
/// The tests count the timers of the process, so that they exclude each other.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Guards against stacks that grow with the number of timers, also if each timer is due before the
/// one that was added last.
#[test]
fn many_timers_need_few_coroutines() {
    let _exclusive = EXCLUSIVE.lock().unwrap();
    let mut timers = TimerSet::default();
    for number in 0..10_000 {
        timers.run_at(after(60_000) - Duration::from_micros(5_900 * number), || {});
    }
    let (pending, coroutines) = queue::counts();
    assert!(pending >= 9_000, "{pending} timers");
    assert!(coroutines <= 101, "{coroutines} coroutines");
    drop(timers);
    assert!(queue::counts().0 < 1_000, "cancelled timers are kept");
}

/// Guards against a timer that is lost or early because another one, which is due later, was added
/// before it or cancelled.
#[test]
fn timers_run_in_their_order_and_cancelled_ones_do_not() {
    let _exclusive = EXCLUSIVE.lock().unwrap();
    let (sender, fired) = channel();
    let mut kept = TimerSet::default();
    let mut cancelled = TimerSet::default();
    let began = Instant::now();
    for ms in [250, 30, 140, 90] {
        let (sender, due) = (sender.clone(), began + Duration::from_millis(ms));
        kept.run_at(due, move || sender.send((ms, due.elapsed())).unwrap());
        cancelled.run_at(due, || panic!("a cancelled timer ran"));
    }
    drop(cancelled);
    for expected in [30, 90, 140, 250] {
        let (ms, late) = fired.recv_timeout(WAIT).unwrap();
        assert_eq!(ms, expected);
        assert!(late < Duration::from_millis(100), "{ms} ms: late by {late:?}");
    }
}

/// Guards against timers that never run again after the action of one has panicked.
#[test]
fn a_timer_runs_after_another_has_panicked() {
    let _exclusive = EXCLUSIVE.lock().unwrap();
    let (sender, fired) = channel();
    run_at(after(10), || panic!("expected by the test"));
    run_at(after(20), move || sender.send(()).unwrap());
    fired.recv_timeout(WAIT).unwrap();
}
