//! When what happens after SIGTERM, and while clients are sent away. The platform kills no sooner than the longest time that a client waits
//! plus 0.7 s later, and counts waits of over 3 s as 3 s.

use std::time::Duration;

/// New connections still come for up to 0.4 s, and are served.
const STILL_OPEN: Duration = Duration::from_millis(500);
/// How much later than the longest wait the kill comes at the earliest.
const GRACE: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_millis(3000);
/// Before the kill, so long for what was taken last: most calls end within it.
const LAST_CALLS: Duration = Duration::from_millis(400);
/// And so long for answers to go out.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// The times of a drain, each since SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Until then connections are accepted.
    pub accepts: Duration,
    /// Until then invocations are taken in on those that are held. Clients use what they have for as long as it
    /// is open, and where one proxy serves alone nobody else would answer them.
    pub serves: Duration,
    /// Then all that is not answered is. Danger: what the kill finds unanswered is lost.
    pub ends: Duration,
}

impl Drain {
    /// A drain where clients wait for so long at the most, if that is known.
    pub fn for_wait(longest: Option<Duration>) -> Drain {
        let kill = longest.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT) + GRACE;
        let serves = match longest {
            Some(_) => kill.saturating_sub(LAST_CALLS).max(STILL_OPEN),
            None => STILL_OPEN,
        };
        Drain { accepts: STILL_OPEN, serves, ends: kill.saturating_sub(LAST_WORDS).max(STILL_OPEN) }
    }
}

/// How connections are let go of while clients are sent away: each right after an answer, when its client has
/// nothing under way; what stands idle spread over a time, lest all connect elsewhere at once. In ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendAway {
    /// Until then idle connections stay.
    pub idle_from: u64,
    /// By then none is left.
    pub idle_until: u64,
    /// From then on half a command keeps no connection.
    pub half_until: u64,
}

/// One that comes while clients are sent away is closed no sooner if it says nothing, in ms.
const NEWCOMER: u64 = 500;
/// Steps over which the closes of idle connections are spread.
const STEPS: u64 = 64;

impl SendAway {
    /// A proxy is put out of service. By 4 s none may be idle, nor have a request of the last 2 s open.
    pub const OUT_OF_SERVICE: SendAway = SendAway { idle_from: 400, idle_until: 1800, half_until: 3400 };

    /// Another process accepts clients by now, and this one is to end by then. Idle connections are kept for long:
    /// the longer one has been idle, the less likely is a command that crosses its close.
    pub fn for_drain(drain: &Drain) -> SendAway {
        let until = u64::try_from(drain.serves.as_millis()).unwrap_or(u64::MAX);
        SendAway { idle_from: until / 2, idle_until: until, half_until: until }
    }

    /// When a connection, numbered in the order of arrival, is to close if it stands idle; in ms since the
    /// sending away began, as is its arrival.
    pub fn idle_at(&self, number: u64, arrived: u64) -> u64 {
        let step = self.idle_until.saturating_sub(self.idle_from) * (number % STEPS) / STEPS;
        (self.idle_from + step).max(if arrived > 0 { arrived + NEWCOMER } else { 0 })
    }

    /// Whether nothing more is read on a connection that has commands open.
    pub fn is_late(&self, passed: u64) -> bool {
        passed >= self.idle_until
    }
}

#[cfg(test)]
mod tests;
