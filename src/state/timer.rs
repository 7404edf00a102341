//! Timer tokens: the kind in bits 60 and up, the request below.

use crate::interface::{Action, RequestId, Time};

const KIND_SHIFT: u32 = 60;
const REQUEST_MASK: u64 = (1 << KIND_SHIFT) - 1;

/// What a timer of the balancer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum TimerKind {
    /// A request's time is over.
    Deadline = 1,
    /// Half of a request's latency objective has passed.
    HalfObjective = 2,
    /// The list of backends is to be asked for again; of no request.
    Resubscribe = 3,
    /// Queued requests are to be looked at again; of no request.
    DispatchQueued = 4,
}

impl TimerKind {
    /// The token of a timer; 0 where it is of no request.
    pub(crate) const fn token(self, request: RequestId) -> u64 {
        (self as u64) << KIND_SHIFT | request
    }

    /// Sets such a timer for a request, this long from now.
    pub(crate) fn set(self, request: RequestId, delay: Time) -> Action {
        Action::SetRequestTimer { request, delay, token: self.token(request) }
    }

    /// What a token says, if the balancer has made it.
    pub(crate) fn decode(token: u64) -> Option<(TimerKind, RequestId)> {
        let kind = match token >> KIND_SHIFT {
            1 => TimerKind::Deadline,
            2 => TimerKind::HalfObjective,
            3 => TimerKind::Resubscribe,
            4 => TimerKind::DispatchQueued,
            _ => return None,
        };
        Some((kind, token & REQUEST_MASK))
    }
}
