//! A party whose every step the test takes itself: when a connection comes up, what is read on it, and what is said.

use crate::stub_server::request;
use crate::WAIT;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// One that fills the queue has connected by then, or the queue is full.
const FILLS_WITHIN: Duration = Duration::from_millis(100);

/// A listening socket that lets connections in one at a time.
pub struct AcceptBarrier {
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

/// Who came in.
pub struct AcceptedConnection {
    reader: BufReader<TcpStream>,
}

impl Default for AcceptBarrier {
    fn default() -> Self {
        Self::new()
    }
}

impl AcceptBarrier {
    /// One that is open, with room for a single connection to wait.
    pub fn new() -> AcceptBarrier {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        AcceptBarrier { address: listener.local_addr().unwrap(), listener, fillers: Vec::new() }
    }

    /// From now on no connection comes up: the queue is full. Who tries meanwhile tries again about every second.
    pub fn close(&mut self) {
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, FILLS_WITHIN) {
            self.fillers.push(filler);
        }
    }

    /// Lets connections come up again.
    pub fn open(&mut self) {
        let fillers = std::mem::take(&mut self.fillers);
        for _ in &fillers {
            drop(self.accept().expect("those that fill the queue are first"));
        }
    }

    /// The next that comes in, if one does in time.
    pub fn accept(&self) -> Option<AcceptedConnection> {
        self.accept_within(WAIT)
    }

    /// The same within a time.
    pub fn accept_within(&self, time: Duration) -> Option<AcceptedConnection> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(WAIT)).unwrap();
                    return Some(AcceptedConnection { reader: BufReader::new(stream) });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(Duration::from_millis(2));
                }
                Err(error) => panic!("{error}"),
            }
        }
        None
    }

    /// Its entry in a list.
    pub fn entry(&self, name: &str, kind: &str, lifecycle: &str, started: u64) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started}}}"#,
            self.address
        )
    }
}

impl AcceptedConnection {
    /// The next command, or head and body where `http`; none at the end.
    pub fn request(&mut self, http: bool) -> Option<String> {
        request(&mut self.reader, http)
    }

    /// Says something; false if nobody hears it any more.
    pub fn send(&mut self, words: &str) -> bool {
        self.reader.get_mut().write_all(words.as_bytes()).is_ok()
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// All that comes within a time: bytes, and whether it ended.
    pub fn read_all_within(&mut self, time: Duration) -> (Vec<u8>, bool) {
        let (until, mut all, mut part) = (Instant::now() + time, Vec::new(), [0; 64 * 1024]);
        loop {
            let left = until.saturating_duration_since(Instant::now());
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
