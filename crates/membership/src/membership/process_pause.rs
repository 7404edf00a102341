//! Detection of pauses, in which this process did not run. Read [`Membership::advance_clock`]
//! first.

use super::{Membership, Output, TimerKind};
use crate::events::MembershipEvent;
use pinetrail_clock::Timestamp;
use std::time::Duration;

/// The maximum delay with which a timer is handled while this process runs. A longer delay shows
/// that the process did not run when the timer was due.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);
/// The time without running from which on the process has paused: local health worsens, and the
/// pause is reported.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// The maximum extra penalty of a pause: a pause worsens local health by one, and by one more for
/// each second up to this number.
const MAX_EXTRA_HEALTH_PENALTY: u64 = 2;
/// The divisor of the suspicion timeout that gives the minimum time that a suspected member has to
/// refute after a pause of this process.
const REFUTATION_TIME_DIVISOR: u32 = 2;

impl Membership {
    /// Sets the clock, and decides when timers that were due during a pause of this process fire:
    /// all timers are postponed by the time in which the process did not run.
    ///
    /// Inputs: the time now and when the first timer was due (own clock); the suspicion timeout.
    /// Reason: otherwise this process would suspect others whose responses it has not read yet, and
    /// suspicions would expire before they could be refuted.
    /// Source: Lifeguard (Dadgar, Phillips, Currey, 2018) for the effect on local health.
    pub(super) fn advance_clock(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(due) = self.timers.next().filter(|due| *due + MAX_TIMER_DELAY < now) else { return };
        let pause = now.saturating_duration_since(due);
        self.timers.postpone_all(pause);
        let refutation_deadline = now + self.settings.timing.suspicion_timeout / REFUTATION_TIME_DIVISOR;
        self.timers.postpone_until(refutation_deadline, is_suspicion);
        if pause < MIN_PAUSE {
            return;
        }
        let extra_penalty = pause.as_secs().min(MAX_EXTRA_HEALTH_PENALTY);
        self.health.degrade(1 + extra_penalty as u32);
        self.counters.pauses += 1;
        out.push(Output::MembershipEvent(MembershipEvent::Paused(pause)));
    }
}

fn is_suspicion(timer: &TimerKind) -> bool {
    matches!(timer, TimerKind::Swim(foca::Timer::ChangeSuspectToDown { .. }) | TimerKind::EndSuspicion(_))
}
