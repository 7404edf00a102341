//! The timeouts of watches and the backoff between them. Read [`WatchBackoff`] first.
//!
//! Invariant: a change of the endpoint list counts as notified a fixed time after discovery had it,
//! whichever calls failed before. All timeouts and delays of a sequence of calls fit into that
//! time; the constant assertions below prove it.

use super::error::WatchError;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The time after which a change counts as notified, from the moment when discovery has the change
/// and can be reached.
const NOTIFICATION_TIME: Duration = ms(6000);
/// The time without input after which a watch has failed. Discovery sends at least an empty line
/// every 2 s.
pub(super) const SILENCE_TIMEOUT: Duration = ms(2500);
/// The timeout of a call until its watch has begun, as long as changes since the last input do not
/// count as notified. After such a timeout, another call is still in time.
const SHORT_CALL_TIMEOUT: Duration = ms(1400);
/// The timeout of a call until its watch has begun, once changes since the last input count as
/// notified. The timeout is longer, because discovery accepts calls in turn and many may precede
/// the proxy's call.
const LONG_CALL_TIMEOUT: Duration = ms(2600);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = ms(750);
/// The delay after a call that timed out.
const DELAY_AFTER_TIMEOUT: Range<Duration> = ms(100)..ms(300);
/// The interval from the beginning of a call that failed again to the next call. The interval is
/// random and counts from the beginning, because hundreds of proxies may call a failing discovery
/// at once.
const REPEATED_FAILURE_INTERVAL: Range<Duration> = ms(2000)..ms(2700);
/// The delay after the first failure, and the minimum delay after any other. The delay is random,
/// because a discovery that stops ends the watches of all proxies at the same moment.
const DELAY_AFTER_FAILURE: Range<Duration> = ms(300)..ms(1200);
/// The delay after a failure if an agent pushes lists. The delay is short, because changes count as
/// notified as soon as the agent has them, and no other proxy calls the agent.
const DELAY_AFTER_PUSH_FAILURE: Range<Duration> = ms(200)..ms(400);
/// The equivalent of [`NOTIFICATION_TIME`] after a change of the address of discovery.
const ADDRESS_CHANGE_NOTIFICATION_TIME: Duration = ms(4000);

// A watch becomes silent at the moment of a change, and the next call times out.
const _: () = assert_in_time(&[
    SILENCE_TIMEOUT,
    DELAY_AFTER_TIMEOUT.end,
    SHORT_CALL_TIMEOUT,
    DELAY_AFTER_TIMEOUT.end,
    SHORT_CALL_TIMEOUT,
]);
// The next call is rejected at once, and so is the call after that.
const _: () = assert_in_time(&[SILENCE_TIMEOUT, DELAY_AFTER_TIMEOUT.end, DELAY_AFTER_FAILURE.end]);
// The address changes while a connection to the old one is being established, and the first call at
// the new one times out or is rejected.
const _: () = assert!(
    total_ms(&[CONNECT_TIMEOUT, SHORT_CALL_TIMEOUT, DELAY_AFTER_TIMEOUT.end, SHORT_CALL_TIMEOUT])
        <= ADDRESS_CHANGE_NOTIFICATION_TIME.as_millis()
);
const _: () = assert!(
    total_ms(&[CONNECT_TIMEOUT, DELAY_AFTER_FAILURE.end, SHORT_CALL_TIMEOUT])
        <= ADDRESS_CHANGE_NOTIFICATION_TIME.as_millis()
);
// A call begins at the moment at which discovery is back, and still times out, or is rejected.
const _: () = assert_in_time(&[LONG_CALL_TIMEOUT, DELAY_AFTER_TIMEOUT.end, LONG_CALL_TIMEOUT]);
const _: () = assert_in_time(&[REPEATED_FAILURE_INTERVAL.end, LONG_CALL_TIMEOUT]);

const fn assert_in_time(waits: &[Duration]) {
    assert!(total_ms(waits) <= NOTIFICATION_TIME.as_millis());
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

/// The timeouts of a call, both counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTimeouts {
    /// The timeout until the watch has begun.
    pub(super) watch_start: Duration,
    /// The timeout until the connection is established.
    pub(super) connect: Duration,
}

impl CallTimeouts {
    /// Decides how long discovery may take to begin a watch: returns the timeouts of a call if
    /// nothing was received for `silent_for`.
    ///
    /// Inputs: the time since bytes were last received.
    /// Reason: until changes count as notified a second call must be possible; after that, a longer
    /// wait in discovery's queue is better than a new place at its end.
    pub(super) fn after_silence(silent_for: Duration) -> CallTimeouts {
        let watch_start = if silent_for < NOTIFICATION_TIME { SHORT_CALL_TIMEOUT } else { LONG_CALL_TIMEOUT };
        CallTimeouts { watch_start, connect: CONNECT_TIMEOUT }
    }
}

/// The way in which endpoint lists reach the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Discovery responds to the watches that the decision module subscribes to.
    Watched,
    /// An agent that serves only this proxy sends lists from the start.
    Pushed,
}

/// The backoff between the calls of one proxy.
#[derive(Debug)]
pub(super) struct WatchBackoff {
    rng: SmallRng,
    delivery: ListDelivery,
    /// Whether the last call failed soon after its beginning.
    failed_before: bool,
}

impl WatchBackoff {
    /// Creates the backoff of a proxy. The seed must differ between proxies.
    pub(super) fn new(seed: u64, delivery: ListDelivery) -> WatchBackoff {
        WatchBackoff { rng: SmallRng::seed_from_u64(seed), delivery, failed_before: false }
    }

    /// Forgets earlier failures, after the address of discovery has changed.
    pub(super) fn reset(&mut self) {
        self.failed_before = false;
    }

    /// Decides the delay from the end of a call, or of its watch, to the next call.
    ///
    /// Inputs: the error, the duration of the call with its watch, and whether the call before
    /// failed soon.
    /// Reason: the proxy must be notified in time, and hundreds of proxies must not call a failing
    /// discovery at once.
    pub(super) fn next_delay(&mut self, error: &WatchError, lasted: Duration) -> Duration {
        let failed_soon = lasted < REPEATED_FAILURE_INTERVAL.end;
        let failed_again = self.failed_before && failed_soon;
        self.failed_before = failed_soon;
        // Both are drawn each time, so that a seed always gives the same sequence of delays.
        let delay = self.rng.gen_range(DELAY_AFTER_FAILURE);
        let repeated_interval = self.rng.gen_range(REPEATED_FAILURE_INTERVAL);
        if error.is_timeout() {
            self.rng.gen_range(DELAY_AFTER_TIMEOUT)
        } else if self.delivery == ListDelivery::Pushed {
            self.rng.gen_range(DELAY_AFTER_PUSH_FAILURE)
        } else if failed_again {
            delay.max(repeated_interval.saturating_sub(lasted))
        } else {
            delay
        }
    }
}

#[cfg(test)]
mod tests;
