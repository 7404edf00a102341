//! A server that the test drives step by step: accepting a connection, reading from it, writing to
//! it. [`AcceptBarrier`] accepts connections; [`AcceptedConnection`] is one of them.

use crate::stub_server::read_request;
use crate::WAIT_TIMEOUT;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A connect that takes longer finds the queue full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(100);

/// How often a pending connection is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A listening socket that lets connections in one at a time.
pub struct AcceptBarrier {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of its own that fill the queue while it is closed.
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
    /// An open barrier, with a queue for a single connection.
    pub fn new() -> AcceptBarrier {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        AcceptBarrier { address: listener.local_addr().unwrap(), listener, fillers: Vec::new() }
    }

    /// From now on no connection is established, since the queue is full. The kernel of the client
    /// retries about every second.
    pub fn close(&mut self) {
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, QUEUE_FULL_TIMEOUT) {
            self.fillers.push(filler);
        }
    }

    /// Lets connections be established again.
    pub fn open(&mut self) {
        let fillers = std::mem::take(&mut self.fillers);
        for _ in &fillers {
            drop(self.accept().expect("the fillers are first in the queue"));
        }
    }

    /// The next connection that comes in, if one does in time.
    pub fn accept(&self) -> Option<AcceptedConnection> {
        self.accept_within(WAIT_TIMEOUT)
    }

    /// The next connection that comes in within this time.
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
                Err(error) => panic!("{error}"),
            }
        }
        None
    }

    /// Its entry in discovery's list; `started` is in Unix milliseconds.
    pub fn entry(&self, name: &str, kind: &str, lifecycle: &str, started: u64) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started}}}"#,
            self.address
        )
    }
}

impl AcceptedConnection {
    /// The next command, or head and body where `http`; none at the end.
    pub fn read_request(&mut self, http: bool) -> Option<String> {
        read_request(&mut self.reader, http)
    }

    /// Writes something; false if the other end has closed the connection.
    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// All bytes that come within this time, and whether the connection ended.
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
