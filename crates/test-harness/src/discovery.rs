//! Stand-ins for discovery.

use crate::recorder::Recorder;
use crate::stub_server::request;
use crate::WAIT;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Discovery: each watch asked for comes out of `asked`, to be told lines through its sender. A watch
/// ends with its sender.
pub struct Discovery {
    pub address: SocketAddr,
    asked: Receiver<(String, Sender<String>)>,
}

impl Default for Discovery {
    fn default() -> Self {
        Self::new()
    }
}

impl Discovery {
    /// Discovery that nobody has asked yet.
    pub fn new() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let place = listener.local_addr().unwrap();
        let (ask, asked) = channel();
        let witness = Recorder::own();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, ask, witness) = (stream.unwrap(), ask.clone(), witness.clone());
                thread::spawn(move || {
                    let head = request(&mut BufReader::new(stream.try_clone().unwrap()), true).unwrap();
                    let (tell, told) = channel::<String>();
                    ask.send((head.lines().next().unwrap().to_owned(), tell)).unwrap_or(());
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap_or(());
                    for line in told {
                        witness.record_endpoint_list(&line);
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        stream.write_all(chunk.as_bytes()).unwrap_or(());
                    }
                });
            }
        });
        Discovery { address: place, asked }
    }

    /// The next watch: its request line, and where to tell it lines.
    pub fn watch(&self) -> (String, Sender<String>) {
        self.asked.recv_timeout(WAIT).expect("the proxy asks for a watch")
    }
}

/// A list in discovery's form.
pub fn catalog(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

/// Discovery that tells every watch the whole list at once, and again when it changes.
pub struct StaticDiscovery {
    /// Where it is.
    pub address: SocketAddr,
    state: Arc<(Mutex<Told>, Condvar)>,
}

struct Told {
    list: String,
    version: u64,
    down: bool,
}

/// A watch hears something so often, if only an empty line.
const BEAT: Duration = Duration::from_millis(500);

impl StaticDiscovery {
    /// Discovery with this list.
    pub fn new(list: String) -> StaticDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let place = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(Told { list, version: 1, down: false }), Condvar::new()));
        let serving = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, state) = (stream.unwrap(), Arc::clone(&serving));
                thread::spawn(move || drop(StaticDiscovery::watch(stream, &state)));
            }
        });
        StaticDiscovery { address: place, state }
    }

    /// Another list.
    pub fn publish(&self, list: String) {
        self.change(|told| told.list = list);
    }

    /// Answers nobody any more, and ends the watches; or is back.
    pub fn set_down(&self, down: bool) {
        self.change(|told| told.down = down);
    }

    fn change(&self, change: impl FnOnce(&mut Told)) {
        let mut told = self.state.0.lock().unwrap();
        change(&mut told);
        told.version += 1;
        self.state.1.notify_all();
    }

    fn watch(mut stream: TcpStream, state: &(Mutex<Told>, Condvar)) -> std::io::Result<()> {
        request(&mut BufReader::new(stream.try_clone()?), true).ok_or(ErrorKind::UnexpectedEof)?;
        let mut version = 0;
        loop {
            let mut told = state.0.lock().unwrap();
            if told.version == version {
                told = state.1.wait_timeout(told, BEAT).unwrap().0;
            }
            if told.down {
                return Ok(());
            }
            let (head, line) = match told.version {
                now if now == version => ("", String::new()),
                now => {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    let head = if version == 0 { head } else { "" };
                    version = now;
                    (head, told.list.clone())
                }
            };
            drop(told);
            stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
        }
    }
}
