//! Fault-injecting proxies for the TCP connections between the members of a fleet, with one
//! listener in front of each member. Read [`PeerFaultProxies`] first.
//!
//! A connection's path is found from the source address of the member that dials. The connection
//! has the same faults as the datagrams of its path.

use super::datagram::PathView;
use super::path::Path;
use super::{close_direction, forward, read_some, COPY_BUFFER_BYTES};
use std::io::ErrorKind;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between checks for a new connection or for the end of a partition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of bytes that are read at once on a path with a rate limit.
const THROTTLED_READ_BYTES: usize = 256;

/// A stream of an open connection, either to the member that dialed or to the member that was
/// dialed.
struct OpenStream {
    path: Path,
    stream: TcpStream,
}

/// The connection proxies of one fleet. Their threads stop when the datagram proxies do.
pub struct PeerFaultProxies {
    /// Guards both streams of every connection that has been opened and not reset.
    open: Arc<Mutex<Vec<OpenStream>>>,
}

impl PeerFaultProxies {
    /// Starts proxies at the advertised addresses, which forward to the members' own addresses.
    pub(crate) fn new(
        advertised: &[SocketAddr],
        members: &[SocketAddr],
        paths: &PathView,
    ) -> PeerFaultProxies {
        let open: Arc<Mutex<Vec<OpenStream>>> = Arc::default();
        let sources: Vec<IpAddr> = members.iter().map(SocketAddr::ip).collect();
        for (to, address) in advertised.iter().enumerate() {
            let listener = TcpListener::bind(address).expect("the fault proxy can bind its address");
            listener.set_nonblocking(true).unwrap();
            let acceptor = Acceptor {
                to,
                target: members[to],
                sources: sources.clone(),
                paths: paths.clone(),
                open: Arc::clone(&open),
            };
            thread::spawn(move || acceptor.run(&listener));
        }
        PeerFaultProxies { open }
    }

    /// Breaks all open connections between two members.
    ///
    /// # Panics
    /// If a thread of the proxies has panicked.
    pub fn reset(&self, a: usize, b: usize) {
        let path = Path { from: a, to: b };
        self.open.lock().unwrap().retain(|open| {
            let is_between = open.path == path || open.path == path.reversed();
            if is_between {
                // An error is ignored: the connection may have ended on its own.
                let _ = open.stream.shutdown(Shutdown::Both);
            }
            !is_between
        });
    }
}

/// Accepts the connections to one member.
struct Acceptor {
    to: usize,
    /// The address at which the member listens.
    target: SocketAddr,
    /// The source address of each member.
    sources: Vec<IpAddr>,
    paths: PathView,
    open: Arc<Mutex<Vec<OpenStream>>>,
}

impl Acceptor {
    /// Accepts connections until the proxies stop.
    fn run(&self, listener: &TcpListener) {
        while !self.paths.is_stopped() {
            match listener.accept() {
                Ok((client, source)) => self.accept(client, source.ip()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(POLL_INTERVAL),
                Err(_) => return,
            }
        }
    }

    fn accept(&self, client: TcpStream, source: IpAddr) {
        let Some(from) = self.sources.iter().position(|member| *member == source) else { return };
        let connection = Connection {
            path: Path { from, to: self.to },
            target: self.target,
            paths: self.paths.clone(),
            open: Arc::clone(&self.open),
        };
        // The thread ends with the connection.
        thread::spawn(move || connection.run(client));
    }
}

/// A connection between two members.
struct Connection {
    path: Path,
    target: SocketAddr,
    paths: PathView,
    open: Arc<Mutex<Vec<OpenStream>>>,
}

impl Connection {
    fn run(self, client: TcpStream) {
        client.set_nonblocking(false).unwrap();
        // While the path is partitioned the other member is not dialed, so the dialing member times
        // out.
        wait_while_partitioned(&self.paths, self.path);
        let Ok(server) = TcpStream::connect(self.target) else { return };
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
            let Ok(stream) = stream.try_clone() else { continue };
            self.open.lock().unwrap().push(OpenStream { path: self.path, stream });
        }
        let (Ok(client_input), Ok(server_output)) = (client.try_clone(), server.try_clone()) else { return };
        let paths = self.paths.clone();
        let path = self.path;
        // The thread ends with the connection.
        thread::spawn(move || copy(client_input, server_output, path, &paths));
        copy(server, client, path.reversed(), &self.paths);
    }
}

/// Waits until a path is not partitioned or the proxies stop.
fn wait_while_partitioned(paths: &PathView, path: Path) {
    while paths.faults(path).partitioned && !paths.is_stopped() {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Copies one direction of a connection until it ends or the proxies stop.
fn copy(mut from: TcpStream, mut to: TcpStream, path: Path, paths: &PathView) {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        let is_throttled = paths.faults(path).max_bytes_per_s.is_some();
        let most = if is_throttled { THROTTLED_READ_BYTES } else { buffer.len() };
        let length = read_some(&mut from, &mut buffer[..most]);
        wait_while_partitioned(paths, path);
        let wait = transfer_time(paths, path, length);
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        if paths.is_stopped() {
            close_direction(&from, &to);
            return;
        }
        if !forward(&buffer[..length], &from, &mut to) {
            return;
        }
    }
}

/// Returns how long the bytes of one read take on a path, by its delay and its rate limit.
fn transfer_time(paths: &PathView, path: Path, bytes: usize) -> Duration {
    let faults = paths.faults(path);
    let throttled_ms = faults.max_bytes_per_s.map_or(0, |limit| bytes as u64 * 1000 / limit.max(1));
    faults.max_delay + Duration::from_millis(throttled_ms)
}
