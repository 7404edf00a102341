//! Models of what a proxy talks to, as state machines in simulated time, without sockets, clocks
//! and threads. Equal seeds give equal runs. For tests and measurements; no proxy depends on this
//! crate.
//!
//! Read [`fleet::Fleet`] first: the members of a fleet over a modelled [`network::Network`], with a
//! method for each kind of fault.

pub mod fleet;
pub mod heartbeats;
pub mod model;
pub mod network;
pub mod origin;
pub mod policy_consensus;
pub mod quota;
pub mod seeds;

/// A point in simulated time or a duration, in whole milliseconds.
pub type Time = u64;
