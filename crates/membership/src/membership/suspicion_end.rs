//! The end of each suspicion that this member holds, whoever began it: see
//! [`Membership::track_suspicions`].

use super::{Membership, Output, TimerKind};
use crate::suspicions::Suspicion;
use std::time::Duration;

/// A suspected member is told of a suspicion that has lasted for this many suspicion timeouts, and
/// again after each further one.
const NOTIFY_AFTER_TIMEOUTS: u32 = 1;
/// A member that has been suspected for this many suspicion timeouts has failed.
const END_AFTER_TIMEOUTS: u32 = 3;

impl Membership {
    /// Sets the timers of suspicions that are new.
    ///
    /// Decides: when a suspicion ends that no other member ends.
    /// Inputs: the suspicion timeout of a fleet of this size; local health.
    /// Reason: the member that began it may have failed or rejoined, and gossip may have ended
    /// before it reached the suspected member.
    /// Source: SWIM (Das, Gupta and Motivala, 2002), section 4.2: each member that learns of a
    /// suspicion ends it by its own timer; Lifeguard (Dadgar, Phillips, Currey, 2018) for telling
    /// the suspected member.
    pub(super) fn track_suspicions(&mut self) {
        let new = self.suspicions.update(self.swim.members());
        let timeout = self.swim.suspicion_timeout();
        for suspicion in new {
            self.set_notify_timer(timeout, suspicion.clone());
            let ends_after = self.health.scale(timeout * END_AFTER_TIMEOUTS);
            self.timers.set(self.now + ends_after, TimerKind::EndSuspicion(suspicion));
        }
    }

    fn set_notify_timer(&mut self, timeout: Duration, suspicion: Suspicion) {
        let notify_at = self.now + timeout * NOTIFY_AFTER_TIMEOUTS;
        self.timers.set(notify_at, TimerKind::NotifySuspect(suspicion));
    }

    /// Tells a member that it is suspected, so that it can refute the suspicion.
    pub(super) fn notify_suspect(&mut self, suspicion: Suspicion, out: &mut Vec<Output>) {
        self.refresh_roster(out);
        if !self.suspicions.holds(&suspicion) {
            return;
        }
        self.swim.notify_suspect(&suspicion);
        self.apply_swim_output(out);
        self.set_notify_timer(self.swim.suspicion_timeout(), suspicion);
    }

    /// Declares a member failed that has not refuted a suspicion.
    pub(super) fn end_suspicion(&mut self, suspicion: Suspicion, out: &mut Vec<Output>) {
        self.refresh_roster(out);
        if !self.suspicions.holds(&suspicion) {
            return;
        }
        self.swim.apply(foca::Member::new(suspicion.id, suspicion.incarnation, foca::State::Down));
        self.apply_swim_output(out);
    }
}
