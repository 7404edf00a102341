//! Timer tokens: the highest bits hold the [`TimerKind`], the others the request.

use crate::interface::{Action, RequestId};
use crate::time::TimeSpan;

/// The number of bits below the kind in a token.
const KIND_SHIFT: u32 = 60;
const REQUEST_MASK: u64 = (1 << KIND_SHIFT) - 1;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub(crate) enum TimerKind {
    /// The deadline of a request passes.
    Deadline = 1,
    /// A request is shed if it is still queued.
    ShedQueued = 2,
    /// The endpoint list is requested again. The timer belongs to no request.
    Resubscribe = 3,
    /// Queued requests are dispatched if capacity has become available. The timer belongs to no
    /// request.
    DispatchQueued = 4,
}

/// A timer that has fired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FiredTimer {
    /// The purpose of the timer.
    pub(crate) kind: TimerKind,
    /// The request of the timer; 0 if the timer belongs to no request.
    pub(crate) request: RequestId,
}

impl TimerKind {
    /// Returns the token of a timer of this kind that belongs to a request.
    pub(crate) const fn token(self, request: RequestId) -> u64 {
        (self as u64) << KIND_SHIFT | request.0
    }

    /// Returns the token of a timer of this kind that belongs to no request.
    pub(crate) const fn token_without_request(self) -> u64 {
        self.token(RequestId(0))
    }

    /// Returns the action that sets a timer of this kind for a request, which fires after `delay`.
    pub(crate) fn set(self, request: RequestId, delay: TimeSpan) -> Action {
        Action::SetRequestTimer { request, delay, token: self.token(request) }
    }

    /// Decodes a token. Returns `None` if the token does not hold a known kind.
    pub(crate) fn decode(token: u64) -> Option<FiredTimer> {
        let kind = match token >> KIND_SHIFT {
            1 => TimerKind::Deadline,
            2 => TimerKind::ShedQueued,
            3 => TimerKind::Resubscribe,
            4 => TimerKind::DispatchQueued,
            _ => return None,
        };
        Some(FiredTimer { kind, request: RequestId(token & REQUEST_MASK) })
    }
}
