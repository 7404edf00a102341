use super::*;
use std::io::ErrorKind;

const SEEDS: std::ops::Range<u64> = 0..100;

fn delays(seed: u64) -> RetryDelays {
    RetryDelays::new(seed, ListDelivery::Watched)
}

fn silent() -> WatchError {
    WatchError::Silent(ErrorKind::TimedOut.into())
}

#[test]
fn a_call_after_a_timeout_comes_soon() {
    for seed in SEEDS {
        let delay = delays(seed).before_next(&silent(), ms(2500));
        assert!(AFTER_TIMEOUT.contains(&delay), "{seed}: {delay:?}");
    }
}

#[test]
fn the_sooner_a_call_fails_again_the_longer_is_the_delay() {
    for seed in SEEDS {
        let mut delays = delays(seed);

        let first = delays.before_next(&WatchError::Rejected, ms(1));
        let second = delays.before_next(&WatchError::Rejected, ms(1));
        delays.reset();
        let after_move = delays.before_next(&WatchError::Rejected, ms(1));

        assert!(AFTER_FAILURE.contains(&first), "{seed}: {first:?}");
        assert!(second + ms(1) >= AFTER_REPEATED_FAILURE.start, "{seed}: {second:?}");
        assert!(second < AFTER_REPEATED_FAILURE.end, "{seed}: {second:?}");
        assert!(AFTER_FAILURE.contains(&after_move), "{seed}: {after_move:?}");
    }
}

#[test]
fn a_watch_that_has_lasted_counts_as_no_failure() {
    for seed in SEEDS {
        let mut delays = delays(seed);

        delays.before_next(&WatchError::ConnectionEnded, ms(60_000));
        let delay = delays.before_next(&WatchError::ConnectionEnded, ms(1));

        assert!(AFTER_FAILURE.contains(&delay), "{seed}: {delay:?}");
    }
}

#[test]
fn an_agent_that_pushes_is_called_again_soon() {
    for seed in SEEDS {
        let mut delays = RetryDelays::new(seed, ListDelivery::Pushed);
        let delay = delays.before_next(&WatchError::ConnectionEnded, ms(1));
        assert!(AFTER_PUSH_FAILURE.contains(&delay), "{seed}: {delay:?}");
    }
}

#[test]
fn a_call_is_given_more_time_once_changes_count_as_notified() {
    let watching = |silent_for| CallTimeouts::after_silence(silent_for).watching;

    assert_eq!(watching(ms(5999)), SHORT_CALL_TIMEOUT);
    assert_eq!(watching(ms(6000)), LONG_CALL_TIMEOUT);
    assert_eq!(watching(Duration::MAX), LONG_CALL_TIMEOUT);
}
