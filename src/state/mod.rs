//! The state of the decision module: plain containers and numbers. All decisions are made in
//! [`crate::logic`]. Read [`PendingRequest`] and [`Backend`] first.

mod average;
mod backend;
mod fetch;
mod key;
mod request;
#[cfg(test)]
mod tests;
mod timer;

pub(crate) use average::{Averages, MovingAverage};
pub(crate) use backend::{AttemptId, Backend, BackendTable, ConcurrencyLimit, OutlierHistory, Tier};
pub(crate) use fetch::{FetchTable, OriginFetch};
pub(crate) use key::{KeyEntry, KeyTable};
pub(crate) use request::{Attempt, PendingRequest, Stage};
pub(crate) use timer::TimerKind;
