//! Ending each suspicion that this member holds, whichever member began it. Read
//! [`Membership::track_suspicions`] first.

use super::{Membership, Output, TimerKind};
use crate::suspicions::Suspicion;
use std::time::Duration;

/// The number of suspicion timeouts after which a suspected member is notified of the suspicion,
/// and between repeated notifications.
const NOTIFY_AFTER_TIMEOUTS: u32 = 1;
/// The number of suspicion timeouts after which a suspected member is declared failed.
const END_AFTER_TIMEOUTS: u32 = 3;

impl Membership {
    /// Sets the timers of new suspicions, which decide when a suspicion ends that no other member
    /// ends.
    ///
    /// Inputs: the suspicion timeout of a fleet of this size; local health.
    /// Reason: the member that began the suspicion may have failed or rejoined, and its gossip may
    /// have ended before it reached the suspected member.
    /// Source: SWIM (Das, Gupta and Motivala, 2002), section 4.2: each member that learns of a
    /// suspicion ends it by its own timer; Lifeguard (Dadgar, Phillips, Currey, 2018) for notifying
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

    /// Notifies a member that it is suspected, so that it can refute the suspicion.
    pub(super) fn notify_suspect(&mut self, suspicion: Suspicion, out: &mut Vec<Output>) {
        self.refresh_member_list(out);
        if !self.suspicions.holds(&suspicion) {
            return;
        }
        self.swim.notify_suspect(&suspicion);
        self.apply_swim_output(out);
        self.set_notify_timer(self.swim.suspicion_timeout(), suspicion);
    }

    /// Declares a member failed if it has not refuted the suspicion.
    pub(super) fn end_suspicion(&mut self, suspicion: Suspicion, out: &mut Vec<Output>) {
        self.refresh_member_list(out);
        if !self.suspicions.holds(&suspicion) {
            return;
        }
        self.swim.apply(foca::Member::new(suspicion.id, suspicion.incarnation, foca::State::Down));
        self.apply_swim_output(out);
    }
}
