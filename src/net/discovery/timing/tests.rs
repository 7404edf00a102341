//! Tests of the backoff between calls of discovery, and of their timeouts.

use super::*;
use std::io::ErrorKind;

const SEEDS: std::ops::Range<u64> = 0..100;

fn backoff(seed: u64) -> WatchBackoff {
    WatchBackoff::new(seed, ListDelivery::Watched)
}

fn silent() -> WatchError {
    WatchError::Silent(ErrorKind::TimedOut.into())
}

#[test]
fn a_call_follows_soon_after_a_timeout() {
    for seed in SEEDS {
        let delay = backoff(seed).next_delay(&silent(), ms(2500));
        assert!(DELAY_AFTER_TIMEOUT.contains(&delay), "seed {seed}: {delay:?}");
    }
}

#[test]
fn a_call_that_fails_again_is_followed_by_a_delay_to_the_repeated_failure_interval() {
    for seed in SEEDS {
        let mut backoff = backoff(seed);

        let first = backoff.next_delay(&WatchError::Rejected, ms(1));
        let second = backoff.next_delay(&WatchError::Rejected, ms(1));
        backoff.reset();
        let after_address_change = backoff.next_delay(&WatchError::Rejected, ms(1));

        assert!(DELAY_AFTER_FAILURE.contains(&first), "seed {seed}: {first:?}");
        assert!(second + ms(1) >= REPEATED_FAILURE_INTERVAL.start, "seed {seed}: {second:?}");
        assert!(second < REPEATED_FAILURE_INTERVAL.end, "seed {seed}: {second:?}");
        assert!(DELAY_AFTER_FAILURE.contains(&after_address_change), "seed {seed}: {after_address_change:?}");
    }
}

#[test]
fn a_watch_that_lasted_is_not_counted_as_a_failure() {
    for seed in SEEDS {
        let mut backoff = backoff(seed);

        backoff.next_delay(&WatchError::ConnectionEnded, ms(60_000));
        let delay = backoff.next_delay(&WatchError::ConnectionEnded, ms(1));

        assert!(DELAY_AFTER_FAILURE.contains(&delay), "seed {seed}: {delay:?}");
    }
}

#[test]
fn an_agent_that_pushes_lists_is_called_again_soon() {
    for seed in SEEDS {
        let mut backoff = WatchBackoff::new(seed, ListDelivery::Pushed);
        let delay = backoff.next_delay(&WatchError::ConnectionEnded, ms(1));
        assert!(DELAY_AFTER_PUSH_FAILURE.contains(&delay), "seed {seed}: {delay:?}");
    }
}

#[test]
fn a_call_has_a_longer_timeout_once_changes_count_as_notified() {
    let watch_start = |silent_for| CallTimeouts::after_silence(silent_for).watch_start;

    assert_eq!(watch_start(ms(5999)), SHORT_CALL_TIMEOUT);
    assert_eq!(watch_start(ms(6000)), LONG_CALL_TIMEOUT);
    assert_eq!(watch_start(Duration::MAX), LONG_CALL_TIMEOUT);
}
