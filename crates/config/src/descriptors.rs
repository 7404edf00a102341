//! States how many descriptors the configured services need: [`ADMIN_DESCRIPTORS`] and
//! [`FLEET_DESCRIPTORS`]. The number for the common policy depends on the fleet's size; see
//! `PolicyConfig::descriptors`.

/// The maximum number of connections to the admin server that may be open at once.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// The number of descriptors that the admin server needs in addition to its open connections: one
/// for its listener, and one for a connection that is being accepted.
const ADMIN_LISTENER_DESCRIPTORS: usize = 2;
/// The number of descriptors of the admin server, including its connections.
pub const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + ADMIN_LISTENER_DESCRIPTORS;
/// The number of descriptors of a fleet, which has one socket.
pub const FLEET_DESCRIPTORS: usize = 1;
