//! Time in which this process did not run. See [`Membership::advance_clock`].

use super::{Membership, Output, TimerKind};
use crate::events::MembershipEvent;
use crate::Time;

/// A timer that is handled more than this after it was due, in ms, says that this process has not
/// been running.
const LATE_AFTER: Time = 20;
/// From this on, in ms, that counts as a pause.
const PAUSED_AFTER: Time = 200;

impl Membership {
    /// Sets the clock. Danger: what was due while this process was paused would be taken for the
    /// silence of others, whose answers lie unread. The time of a pause is added to every timer.
    pub(super) fn advance_clock(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(due) = self.timers.next().filter(|due| due + LATE_AFTER < now) else { return };
        let pause = now - due;
        self.timers.postpone_all(pause);
        // Danger: a suspicion from before the pause would end before anybody could learn of it and
        // refute it.
        let time_to_refute = now + self.settings.times.suspicion / 2;
        self.timers.postpone_until(time_to_refute, is_suspicion);
        if pause < PAUSED_AFTER {
            return;
        }
        self.health.worsen(1 + (pause / 1000).min(2));
        self.counters.stops += 1;
        out.push(Output::MembershipEvent(MembershipEvent::Paused(pause)));
    }
}

fn is_suspicion(timer: &TimerKind) -> bool {
    matches!(timer, TimerKind::Swim(foca::Timer::ChangeSuspectToDown { .. }))
}
