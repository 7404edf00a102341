//! pinetrail is a proxy for fleets of cache nodes, built around a decision module that does no I/O.
//!
//! Read [`logic::Balancer`] first, which makes all decisions: the caller passes in
//! [`interface::Event`]s with the current time and carries out the [`interface::Action`]s that the
//! balancer appends. The balancer reads no clock and shares no state. [`wire`] connects balancers
//! to the simulator, and [`net`] connects a balancer to real sockets.

pub mod interface;
pub mod logic;
pub mod net;
pub mod recent;
pub mod rendezvous;
mod state;
pub mod wire;

pub use pinetrail_settings::{settings, time};
