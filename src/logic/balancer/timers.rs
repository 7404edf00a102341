//! Timers: handles those that fire, and sets the timer that dispatches queued requests. Read
//! [`Balancer::on_timer`] first.

use super::Balancer;
use crate::interface::{Action, GiveUpReason};
use crate::logic::concurrency_limit::Timeliness;
use crate::logic::queue;
use crate::state::{PendingRequest, Stage, Tier, TimerKind};
use crate::time::Timestamp;

impl Balancer {
    /// Handles a timer that has fired. Unknown tokens are ignored.
    pub(super) fn on_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(timer) = TimerKind::decode(token) else { return };
        match timer.kind {
            TimerKind::Resubscribe => out.push(Action::Subscribe),
            TimerKind::DispatchQueued => self.is_dispatch_timer_set = false,
            TimerKind::Deadline => {
                if self.requests.get(&timer.request).is_some_and(has_deadline) {
                    self.give_up(timer.request, GiveUpReason::DeadlineReached, out);
                }
            }
            TimerKind::ShedQueued => {
                let Some(pending) = self.requests.get(&timer.request) else { return };
                if pending.stage != Stage::InFlight {
                    self.give_up(timer.request, GiveUpReason::QueuedTooLong, out);
                } else if pending.last_backend() != self.origin() {
                    // A node that has not answered by this time counts as slow before its attempt
                    // ends.
                    self.adjust_admission(Tier::CacheNodes, Timeliness::Slow);
                }
            }
        }
    }

    /// Sets the timer that dispatches queued requests, unless the queue is empty or the timer is
    /// already set.
    pub(super) fn set_dispatch_timer(&mut self, out: &mut Vec<Action>) {
        if self.queue.is_empty() || self.is_dispatch_timer_set {
            return;
        }
        self.is_dispatch_timer_set = true;
        let delay = queue::dispatch_interval(self.settings.tick);
        out.push(Action::SetTimer { delay, token: TimerKind::DispatchQueued.token_without_request() });
    }
}

/// Returns whether a request still has a deadline, that is, its response has not begun to stream.
fn has_deadline(pending: &PendingRequest) -> bool {
    pending.deadline < Timestamp::NEVER
}
