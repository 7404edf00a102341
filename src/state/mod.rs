//! What the decision module remembers, as plain containers and numbers. Nothing is chosen here:
//! which backend, whether to retry and what to reject is all in [`crate::logic`]. Read
//! [`Balancer`], [`PendingRequest`] and [`BackendState`] first.

mod average;
mod backend;
mod balancer;
mod fetch;
mod key;
mod queue;
mod request;
#[cfg(test)]
mod tests;
mod timer;

pub(crate) use average::{Averages, MovingAverage};
pub(crate) use backend::{Admission, AttemptId, BackendState, Pace, Tier};
pub use balancer::Balancer;
pub(crate) use fetch::{FetchTable, OriginFetch};
pub(crate) use key::{EligibilityRules, Home, KeyEntry};
pub(crate) use queue::RequestQueue;
pub(crate) use request::{Attempt, PendingRequest, Stage};
pub(crate) use timer::TimerKind;
