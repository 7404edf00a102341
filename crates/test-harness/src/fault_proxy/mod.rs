//! Fault-injecting proxies that run inside the test's process. [`DatagramFaultProxies`] forward the
//! datagrams on every directed path between the members of a fleet, and hold the faults of each
//! path ([`PathFaults`]). [`PeerFaultProxies`] apply the same faults to the TCP connections between
//! members. A [`StreamFaultProxy`] forwards the connections from one proxy under test to one
//! server.

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

/// Size of the buffer into which a proxy reads from a connection.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// Reads the bytes that are available on a connection into a buffer; returns their number, 0 at the
/// end of the connection or if it is broken.
fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> usize {
    stream.read(buffer).unwrap_or(0)
}

/// Forwards bytes from one connection to another. If there are none or the write fails, closes this
/// direction of both connections. Returns whether the direction is still open.
fn forward(bytes: &[u8], from: &TcpStream, to: &mut TcpStream) -> bool {
    if !bytes.is_empty() && to.write_all(bytes).is_ok() {
        return true;
    }
    close_direction(from, to);
    false
}

/// Closes the direction from one connection to another, in both connections.
fn close_direction(from: &TcpStream, to: &TcpStream) {
    // Errors are ignored: either connection may have ended on its own.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
