//! Decides how long each client connection of a server may stay open, and which connections are
//! closed first when descriptors run short.
//!
//! The crate does no I/O and reads no clock: its driver reports what connections do, with the time,
//! and closes the connections that it is ordered to close. The same sequence of calls always gives
//! the same results. Two types to read first: [`ConnectionTable`] tracks the connections and
//! selects those to close; [`DescriptorBudget`] divides a process's descriptors between clients and
//! backends.
//!
//! How long a connection may stay open depends on its [`Phase`] and on the pressure, which is the
//! share of the capacity that is used or soon will be. At low pressure no limit is lowered. As the
//! pressure rises, idle connections are closed at the age from which on few connections of their
//! kind sent another request ([`ReuseEstimator`]), and each phase in which the server waits for the
//! client has a budget.

mod connection_table;
mod descriptor_budget;
mod growth_estimator;
mod limits;
mod reuse_estimator;

pub use connection_table::{
    CloseOrder, CloseOrderReason, ConnectionId, ConnectionTable, Counts, IdleLimits, Phase, PhaseNumber,
};
pub use descriptor_budget::DescriptorBudget;
pub use growth_estimator::GrowthEstimator;
pub use limits::Limits;
pub use pinetrail_clock::Timestamp;
pub use reuse_estimator::{ReuseEstimator, INTERVAL_STARTS};

/// Returns the whole milliseconds of a duration, for rates and decays.
fn millis_f64(duration: std::time::Duration) -> f64 {
    pinetrail_clock::whole_millis(duration) as f64
}
