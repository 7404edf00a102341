//! What a proxy calls: stand-ins for cache nodes and the origin, on ephemeral loopback ports.

use crate::recorder::Recorder;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a party does with a request it was sent: answer, say nothing, or break the connection.
pub enum StubAction {
    Reply(String),
    /// Writes in its own time.
    ReplyWith(Box<dyn FnOnce(&mut TcpStream)>),
    Ignore,
    Disconnect,
}

/// A cache node or the origin: where it is, what it was sent, and how often it was connected to.
pub struct StubServer {
    pub address: SocketAddr,
    pub heard: Arc<Mutex<Vec<String>>>,
    pub connected: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
    pub busy: Arc<AtomicUsize>,
    pub most: Arc<AtomicUsize>,
}

impl StubServer {
    /// `http` tells whether a request is a head, else it is a line; a write's value is read along.
    fn new(http: bool, act: impl Fn(&str) -> StubAction + Send + Sync + 'static) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let party = StubServer {
            address: listener.local_addr().unwrap(),
            heard: Arc::default(),
            connected: Arc::default(),
            ended: Arc::default(),
            busy: Arc::default(),
            most: Arc::default(),
        };
        let (heard, connected) = (Arc::clone(&party.heard), Arc::clone(&party.connected));
        let (ended, act) = (Arc::clone(&party.ended), Arc::new(act));
        let (busy, most) = (Arc::clone(&party.busy), Arc::clone(&party.most));
        let (witness, place) = (Recorder::own(), party.address.to_string());
        thread::spawn(move || {
            for stream in listener.incoming() {
                connected.fetch_add(1, Ordering::SeqCst);
                let (heard, ended, act) = (Arc::clone(&heard), Arc::clone(&ended), Arc::clone(&act));
                let (witness, place) = (witness.clone(), place.clone());
                let (busy, most) = (Arc::clone(&busy), Arc::clone(&most));
                thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut call = None;
                    while let Some(request) = request(&mut reader, http) {
                        heard.lock().unwrap().push(request.clone());
                        let number = *call.insert(witness.record_backend_request(&place, &request));
                        most.fetch_max(busy.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                        let does = act(&request);
                        busy.fetch_sub(1, Ordering::SeqCst);
                        match does {
                            StubAction::Reply(words) => {
                                witness.record_backend_response(number, Some(&words));
                                stream.write_all(words.as_bytes()).unwrap_or(());
                            }
                            StubAction::ReplyWith(write) => write(&mut stream),
                            StubAction::Ignore => {}
                            StubAction::Disconnect => break,
                        }
                    }
                    // Of those that were answered the first end counts.
                    if let Some(call) = call {
                        witness.record_backend_response(call, None);
                    }
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        party
    }

    pub fn node(act: impl Fn(&str) -> StubAction + Send + Sync + 'static) -> StubServer {
        StubServer::new(false, act)
    }

    /// A cache node that holds every key; its value names it.
    pub fn full_node(name: &'static str) -> StubServer {
        StubServer::node(move |line| {
            StubAction::Reply(format!("VA {} {} h1\r\n{name}\r\n", name.len(), opaque(line)))
        })
    }

    /// A cache node that holds nothing.
    pub fn empty_node() -> StubServer {
        StubServer::node(|line| StubAction::Reply(format!("EN {}\r\n", opaque(line))))
    }

    pub fn origin(act: impl Fn(&str) -> StubAction + Send + Sync + 'static) -> StubServer {
        StubServer::new(true, act)
    }

    pub fn received(&self) -> Vec<String> {
        self.heard.lock().unwrap().clone()
    }

    /// The most requests that it had before it at once.
    pub fn most_at_once(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }

    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::SeqCst)
    }

    pub fn entry(&self, name: &str, kind: &str, lifecycle: &str) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
            self.address
        )
    }
}

pub(crate) fn request(reader: &mut impl BufRead, http: bool) -> Option<String> {
    let mut text = String::new();
    while reader.read_line(&mut text).ok()? > 0 {
        let length = match http {
            true if !text.ends_with("\r\n\r\n") => continue,
            true => text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()),
            false if text.starts_with("ms ") => text.split(' ').nth(2)?.parse().ok().map(|n: usize| n + 2),
            false => None,
        };
        let mut value = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut value).ok()?;
        return Some(text + std::str::from_utf8(&value).ok()?);
    }
    None
}

/// The `O` flag of a line, as it came.
pub fn opaque(line: &str) -> &str {
    line.split_whitespace().find(|word| word.starts_with('O')).unwrap_or("O?")
}

pub fn http_200(body: &str) -> StubAction {
    StubAction::Reply(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}
