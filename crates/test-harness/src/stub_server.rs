//! Stubs of the servers that a proxy calls (cache nodes and the origin), on ephemeral loopback
//! ports.
//!
//! A test gives [`StubServer`] a function that returns a [`StubAction`] for each request. The
//! [`Recorder`] of the test records every request and response.

use crate::recorder::Recorder;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// The action of a stub server on a request.
pub enum StubAction {
    /// Sends this text as the response.
    Reply(String),
    /// Calls a function that writes the response itself, with its own timing.
    ReplyWith(Box<dyn FnOnce(&mut TcpStream)>),
    /// Sends no response, and continues with the next request.
    Ignore,
    /// Closes the connection.
    Disconnect,
}

/// The protocol of a stub server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Protocol {
    /// The memcache meta commands: a request is a line, followed by the value if it is a write.
    Memcache,
    /// HTTP: a request is a head, followed by a body as long as its `Content-Length`.
    Http,
}

/// The counters and received requests of a stub server.
#[derive(Default)]
struct Activity {
    received: Mutex<Vec<String>>,
    connected: AtomicUsize,
    disconnected: AtomicUsize,
    in_flight: AtomicUsize,
    max_in_flight: AtomicUsize,
}

/// A stub of a cache node or of the origin. Its threads end with the test's process.
pub struct StubServer {
    /// The address at which the stub accepts connections.
    pub address: SocketAddr,
    activity: Arc<Activity>,
}

impl StubServer {
    fn start(protocol: Protocol, act: impl Fn(&str) -> StubAction + Send + Sync + 'static) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let activity = Arc::<Activity>::default();
        let handler = Arc::new(Handler {
            protocol,
            address: address.to_string(),
            activity: Arc::clone(&activity),
            recorder: Recorder::current(),
            act,
        });
        thread::spawn(move || {
            // A connection may end before it is accepted.
            for stream in listener.incoming().filter_map(Result::ok) {
                handler.activity.connected.fetch_add(1, Ordering::SeqCst);
                let handler = Arc::clone(&handler);
                thread::spawn(move || handler.serve(stream));
            }
        });
        StubServer { address, activity }
    }

    /// Starts a cache node, which speaks the memcache meta commands.
    pub fn node(act: impl Fn(&str) -> StubAction + Send + Sync + 'static) -> StubServer {
        StubServer::start(Protocol::Memcache, act)
    }

    /// Starts a cache node that has every key, with its own name as the value.
    pub fn hit_node(name: &'static str) -> StubServer {
        StubServer::node(move |line| {
            StubAction::Reply(format!("VA {} {} h1\r\n{name}\r\n", name.len(), opaque(line)))
        })
    }

    /// Starts a cache node that has no key.
    pub fn miss_node() -> StubServer {
        StubServer::node(|line| StubAction::Reply(format!("EN {}\r\n", opaque(line))))
    }

    /// Returns a server with an address at which no process listens.
    pub fn unreachable() -> StubServer {
        StubServer { address: SocketAddr::from(([127, 0, 0, 1], 1)), activity: Arc::default() }
    }

    /// Starts an origin, which speaks HTTP.
    pub fn origin(act: impl Fn(&str) -> StubAction + Send + Sync + 'static) -> StubServer {
        StubServer::start(Protocol::Http, act)
    }

    /// Returns the requests that the stub has read, in the order of reading.
    pub fn received(&self) -> Vec<String> {
        self.activity.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the largest number of requests that the stub was processing at once.
    pub fn max_in_flight(&self) -> usize {
        self.activity.max_in_flight.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that the stub has accepted.
    pub fn connected(&self) -> usize {
        self.activity.connected.load(Ordering::SeqCst)
    }

    /// Returns the number of accepted connections that have ended.
    pub fn disconnected(&self) -> usize {
        self.activity.disconnected.load(Ordering::SeqCst)
    }

    /// Returns the JSON entry of this server for an endpoint list.
    pub fn entry(&self, name: &str, kind: &str, lifecycle: &str) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
            self.address
        )
    }
}

/// The state that the threads of one stub server share.
struct Handler<F> {
    protocol: Protocol,
    address: String,
    activity: Arc<Activity>,
    recorder: Recorder,
    act: F,
}

impl<F: Fn(&str) -> StubAction> Handler<F> {
    /// Serves one connection until either end closes it.
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut last_request = None;
        while let Some(request) = read_request(&mut reader, self.protocol == Protocol::Http) {
            self.activity.received.lock().unwrap_or_else(PoisonError::into_inner).push(request.clone());
            let number = self.recorder.record_backend_request(&self.address, &request);
            last_request = Some(number);
            match self.decide(&request) {
                StubAction::Reply(reply) => {
                    self.recorder.record_backend_response(number, Some(&reply));
                    // The proxy may have closed the connection meanwhile.
                    let _ = stream.write_all(reply.as_bytes());
                }
                StubAction::ReplyWith(write) => write(&mut stream),
                StubAction::Ignore => {}
                StubAction::Disconnect => break,
            }
        }
        // Of an attempt that has been answered, the checker uses the first recorded end.
        if let Some(number) = last_request {
            self.recorder.record_backend_response(number, None);
        }
        self.activity.disconnected.fetch_add(1, Ordering::SeqCst);
    }

    fn decide(&self, request: &str) -> StubAction {
        let in_flight = self.activity.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.activity.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
        let action = (self.act)(request);
        self.activity.in_flight.fetch_sub(1, Ordering::SeqCst);
        action
    }
}

/// Reads the next request of a connection: head and body if `http`, else a line and the value of a
/// write. Returns `None` at the end of the connection or if the request cannot be read.
pub(crate) fn read_request(reader: &mut impl BufRead, http: bool) -> Option<String> {
    let mut text = String::new();
    while reader.read_line(&mut text).ok()? > 0 {
        if http && !text.ends_with("\r\n\r\n") {
            continue;
        }
        let mut body = vec![0; body_length(&text, http)?];
        reader.read_exact(&mut body).ok()?;
        return Some(text + std::str::from_utf8(&body).ok()?);
    }
    None
}

/// Returns the number of bytes that follow the head or line of a request; `None` if a write has no
/// length.
fn body_length(text: &str, http: bool) -> Option<usize> {
    const LINE_END_BYTES: usize = 2;
    if http {
        let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
        return Some(length.unwrap_or(0));
    }
    if text.starts_with("ms ") {
        let length: Option<usize> = text.split(' ').nth(2)?.parse().ok();
        return Some(length.map_or(0, |length| length + LINE_END_BYTES));
    }
    Some(0)
}

/// Returns the opaque token of a line with its `O` prefix; `O?` if the line has none.
pub fn opaque(line: &str) -> &str {
    line.split_whitespace().find(|word| word.starts_with('O')).unwrap_or("O?")
}

/// Returns the action that sends a complete HTTP response with status 200 and this body.
pub fn http_200(body: &str) -> StubAction {
    StubAction::Reply(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}
