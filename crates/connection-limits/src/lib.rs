//! Who may hold one of a server's connection places, for how long, and who goes first when they run short.
//!
//! The core does no I/O and reads no clock: its driver tells it what connections do, with the time, and
//! carries out what it is told. Equal calls give equal answers. Two types to read first: [`ConnectionTable`] holds the
//! connections and names those that are to close; [`DescriptorBudget`] divides a process's descriptors between those
//! who connect to it and those it connects to.
//!
//! How long a connection may hold its place depends on its [`Phase`] and on the pressure: with room, every
//! limit is generous. As the room shrinks, idle connections go at the age from which on hardly any of their
//! kind was seen to come back ([`ReuseEstimator`]), and those that owe the server something share a budget.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection_table;
mod descriptor_budget;
mod growth_estimator;
mod limits;
mod reuse_estimator;

pub use connection_table::{CloseOrder, ConnectionId, ConnectionTable, Counts, Millis, Phase, Reason, Seq};
pub use descriptor_budget::DescriptorBudget;
pub use growth_estimator::GrowthEstimator;
pub use limits::Limits;
pub use reuse_estimator::{ReuseEstimator, EDGES};
