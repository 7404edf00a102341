//! A server that accepts, reads and writes only when the test calls it. [`AcceptBarrier`] accepts
//! connections; each is an [`AcceptedConnection`], which reads requests and writes responses.

use crate::stub_server::read_request;
use crate::WAIT_TIMEOUT;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Duration after which a connection attempt counts as refused by a full accept queue.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between checks for a pending connection.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A listening socket whose connections the test accepts one at a time.
pub struct AcceptBarrier {
    /// The address at which the socket listens.
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test itself that fill the accept queue while the barrier is closed.
    fillers: Vec<TcpStream>,
}

/// An accepted connection.
pub struct AcceptedConnection {
    reader: BufReader<TcpStream>,
}

impl Default for AcceptBarrier {
    fn default() -> Self {
        Self::new()
    }
}

impl AcceptBarrier {
    /// Creates an open barrier with an accept queue for a single connection.
    pub fn new() -> AcceptBarrier {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        AcceptBarrier { address: listener.local_addr().unwrap(), listener, fillers: Vec::new() }
    }

    /// Fills the accept queue, so that no further connection is established. The client's kernel
    /// retries about every second.
    pub fn close(&mut self) {
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, QUEUE_FULL_TIMEOUT) {
            self.fillers.push(filler);
        }
    }

    /// Empties the accept queue, so that connections are established again.
    pub fn open(&mut self) {
        let fillers = std::mem::take(&mut self.fillers);
        for _ in &fillers {
            drop(self.accept().expect("the connections that fill the queue are first in it"));
        }
    }

    /// Accepts the next connection; `None` if none comes in within [`WAIT_TIMEOUT`].
    pub fn accept(&self) -> Option<AcceptedConnection> {
        self.accept_within(WAIT_TIMEOUT)
    }

    /// Accepts the next connection; `None` if none comes in within `time`.
    pub fn accept_within(&self, time: Duration) -> Option<AcceptedConnection> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                    return Some(AcceptedConnection { reader: BufReader::new(stream) });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(POLL_INTERVAL);
                }
                Err(error) => panic!("cannot accept a connection: {error}"),
            }
        }
        None
    }

    /// Returns the JSON entry of this server for an endpoint list; `started` is a Unix time in ms.
    pub fn entry(&self, name: &str, kind: &str, lifecycle: &str, started: u64) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started}}}"#,
            self.address
        )
    }
}

impl AcceptedConnection {
    /// Reads the next request: head and body if `http`, else a command and its value. Returns
    /// `None` at the end of the connection.
    pub fn read_request(&mut self, http: bool) -> Option<String> {
        read_request(&mut self.reader, http)
    }

    /// Writes text; returns false if the peer has closed the connection.
    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Reads all bytes that arrive within `time`; also returns whether the connection has ended.
    pub fn read_all_within(&mut self, time: Duration) -> (Vec<u8>, bool) {
        let deadline = Instant::now() + time;
        let mut all = Vec::new();
        let mut part = [0; 64 * 1024];
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (all, false);
            }
            self.reader.get_ref().set_read_timeout(Some(left)).unwrap();
            match self.reader.read(&mut part) {
                Ok(0) => return (all, true),
                Ok(count) => all.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return (all, false),
                Err(_) => return (all, true),
            }
        }
    }
}
