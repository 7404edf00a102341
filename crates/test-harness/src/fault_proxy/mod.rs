//! Fault-injecting proxies, which run inside the test's process. [`DatagramFaultProxies`] stand on every
//! directed path between the members of a fleet and decide the faults of a path ([`PathFaults`]);
//! the [`PeerFaultProxies`] apply the same faults to the members' TCP connections. A
//! [`StreamFaultProxy`] stands between one member and one server that it calls.

mod datagram;
mod path;
mod peer;
mod stream;

pub use datagram::DatagramFaultProxies;
pub use path::{PathCounts, PathFaults};
pub use peer::PeerFaultProxies;
pub use stream::StreamFaultProxy;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// How much a proxy copies at a time from a connection.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// Reads what a connection has, up to the length of the buffer; 0 at its end or if it is broken.
fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> usize {
    stream.read(buffer).unwrap_or(0)
}

/// Forwards bytes; no bytes, or a broken connection, end this direction of both connections.
/// Returns whether the direction is still open.
fn forward(bytes: &[u8], from: &TcpStream, to: &mut TcpStream) -> bool {
    if !bytes.is_empty() && to.write_all(bytes).is_ok() {
        return true;
    }
    close_direction(from, to);
    false
}

/// Ends one direction of two connections.
fn close_direction(from: &TcpStream, to: &TcpStream) {
    // Either may have ended by itself.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
