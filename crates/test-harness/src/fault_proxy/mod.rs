//! Fault-injecting proxies between the members of a fleet, and between a member and what it calls.

mod datagram;
mod peer;
mod stream;

pub(crate) use datagram::PathView;
pub use datagram::{Carried, FaultProxies, PathFaults};
pub use peer::PeerFaultProxies;
pub use stream::StreamFaultProxy;
