//! The times of watches. A change of the endpoint list counts as notified a fixed time after
//! discovery had it, whatever call failed before; every timeout and every delay of a watch is taken
//! from that one budget. The constant assertions below prove that they fit. Read [`RetryDelays`]
//! first.

use super::error::WatchError;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = ms(6000);
/// A line, if only an empty one, comes every 2 s: a watch that is silent for longer is dead.
pub(super) const SILENCE_TIMEOUT: Duration = ms(2500);
/// The timeout of a call until its watch has begun, while the changes since the last line are not
/// counted as notified yet: another call can still come in time.
const SHORT_CALL_TIMEOUT: Duration = ms(1400);
/// The same after that. Discovery takes calls in turn, and many may wait before this one.
const LONG_CALL_TIMEOUT: Duration = ms(2600);
/// A connection that is not established by then never will be.
const CONNECT_TIMEOUT: Duration = ms(750);
/// The delay before the next call after one that timed out.
const AFTER_TIMEOUT: Range<Duration> = ms(100)..ms(300);
/// From the beginning of a call that has failed again to the next call. Danger: a discovery that
/// fails is called again by hundreds of proxies: the sooner it fails, the longer each waits, and no
/// two equally long.
const AFTER_REPEATED_FAILURE: Range<Duration> = ms(2000)..ms(2700);
/// The delay after the first failure, and the least after any: a discovery that stops ends all its
/// watches in one moment.
const AFTER_FAILURE: Range<Duration> = ms(300)..ms(1200);
/// Where an agent pushes lists, what it has counts as notified at once. No other proxy calls that
/// agent.
const AFTER_PUSH_FAILURE: Range<Duration> = ms(200)..ms(400);
/// After a move of discovery its changes count as notified sooner.
const NOTIFIED_AFTER_MOVE_WITHIN: Duration = ms(4000);

// A watch falls silent in the moment of a change, and the next call hangs.
const _: () = assert_in_time(&[
    SILENCE_TIMEOUT,
    AFTER_TIMEOUT.end,
    SHORT_CALL_TIMEOUT,
    AFTER_TIMEOUT.end,
    SHORT_CALL_TIMEOUT,
]);
// The next call is rejected at once, and so is the one after that.
const _: () = assert_in_time(&[SILENCE_TIMEOUT, AFTER_TIMEOUT.end, AFTER_FAILURE.end]);
// A move finds a connection to the old address being established, and the first call at the new
// one hangs or is rejected.
const _: () = assert!(
    total_ms(&[CONNECT_TIMEOUT, SHORT_CALL_TIMEOUT, AFTER_TIMEOUT.end, SHORT_CALL_TIMEOUT])
        <= NOTIFIED_AFTER_MOVE_WITHIN.as_millis()
);
const _: () = assert!(
    total_ms(&[CONNECT_TIMEOUT, AFTER_FAILURE.end, SHORT_CALL_TIMEOUT])
        <= NOTIFIED_AFTER_MOVE_WITHIN.as_millis()
);
// A call begins in the moment in which discovery is back, and hangs all the same; or is rejected.
const _: () = assert_in_time(&[LONG_CALL_TIMEOUT, AFTER_TIMEOUT.end, LONG_CALL_TIMEOUT]);
const _: () = assert_in_time(&[AFTER_REPEATED_FAILURE.end, LONG_CALL_TIMEOUT]);

const fn assert_in_time(waits: &[Duration]) {
    assert!(total_ms(waits) <= NOTIFIED_WITHIN.as_millis());
}

const fn total_ms(waits: &[Duration]) -> u128 {
    let mut sum = 0;
    let mut index = 0;
    while index < waits.len() {
        sum += waits[index].as_millis();
        index += 1;
    }
    sum
}

/// The timeouts of a call, both from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTimeouts {
    /// Until its watch has begun.
    pub(super) watching: Duration,
    /// Until its connection is established.
    pub(super) connect: Duration,
}

impl CallTimeouts {
    /// The timeouts of a call when nothing was received for this long.
    pub(super) fn after_silence(silent_for: Duration) -> CallTimeouts {
        let watching = if silent_for < NOTIFIED_WITHIN { SHORT_CALL_TIMEOUT } else { LONG_CALL_TIMEOUT };
        CallTimeouts { watching, connect: CONNECT_TIMEOUT }
    }
}

/// How endpoint lists reach the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Discovery answers the watches that the decision module asks for.
    Watched,
    /// An agent of this proxy alone sends them, from the start.
    Pushed,
}

/// Draws the delays between the calls of one proxy.
#[derive(Debug)]
pub(super) struct RetryDelays {
    rng: SmallRng,
    delivery: ListDelivery,
    /// Whether the last call failed before it had lasted.
    failed_before: bool,
}

impl RetryDelays {
    /// The delays of a proxy with this seed, which no other proxy has.
    pub(super) fn new(seed: u64, delivery: ListDelivery) -> RetryDelays {
        RetryDelays { rng: SmallRng::seed_from_u64(seed), delivery, failed_before: false }
    }

    /// Forgets failures: discovery is at another address from now on.
    pub(super) fn reset(&mut self) {
        self.failed_before = false;
    }

    /// The delay from the end of a call, or of its watch, to the next one. `lasted` is the time
    /// from the beginning of the call to its end.
    pub(super) fn before_next(&mut self, error: &WatchError, lasted: Duration) -> Duration {
        let failed_soon = lasted < AFTER_REPEATED_FAILURE.end;
        let failed_again = self.failed_before && failed_soon;
        self.failed_before = failed_soon;
        // Danger: always drawn, so that one seed gives one sequence of delays.
        let after_failure = self.rng.gen_range(AFTER_FAILURE);
        let after_repeated_failure = self.rng.gen_range(AFTER_REPEATED_FAILURE);
        if error.is_timeout() {
            self.rng.gen_range(AFTER_TIMEOUT)
        } else if self.delivery == ListDelivery::Pushed {
            self.rng.gen_range(AFTER_PUSH_FAILURE)
        } else if failed_again {
            after_failure.max(after_repeated_failure.saturating_sub(lasted))
        } else {
            after_failure
        }
    }
}

#[cfg(test)]
mod tests;
