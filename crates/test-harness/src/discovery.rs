//! Stub servers for discovery. [`Discovery`] sends the lines that the test gives for each watch;
//! [`StaticDiscovery`] sends the same complete list to every watch.

use crate::recorder::Recorder;
use crate::stub_server::read_request;
use crate::WAIT_TIMEOUT;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Stub of discovery that sends the lines which the test puts into the sender of a watch (see
/// [`Discovery::next_watch`]). A watch ends when its sender is dropped.
pub struct Discovery {
    /// The address at which the stub listens.
    pub address: SocketAddr,
    /// The request line of each watch, and the sender of the lines to send on that watch.
    watches: Receiver<(String, Sender<String>)>,
}

impl Default for Discovery {
    fn default() -> Self {
        Self::new()
    }
}

impl Discovery {
    /// Starts the stub, without a watch.
    pub fn new() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (watch_sender, watches) = channel();
        let recorder = Recorder::current();
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let (watch_sender, recorder) = (watch_sender.clone(), recorder.clone());
                // An error is ignored: a proxy that is killed may break its connection at any time.
                thread::spawn(move || drop(Discovery::serve_watch(stream, &watch_sender, &recorder)));
            }
        });
        Discovery { address, watches }
    }

    /// Serves one watch.
    fn serve_watch(
        mut stream: TcpStream,
        watch_sender: &Sender<(String, Sender<String>)>,
        recorder: &Recorder,
    ) -> std::io::Result<()> {
        let head = read_request(&mut BufReader::new(stream.try_clone()?), true);
        let head = head.ok_or(ErrorKind::UnexpectedEof)?;
        let request_line = head.lines().next().unwrap_or_default().to_owned();
        let (line_sender, lines) = channel::<String>();
        // Fails only if the test has ended.
        let _ = watch_sender.send((request_line, line_sender));
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap_or(());
        for line in lines {
            recorder.record_endpoint_list(&line);
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            stream.write_all(chunk.as_bytes()).unwrap_or(());
        }
        Ok(())
    }

    /// Waits for the next watch that the proxy opens. Returns its request line and a sender for the
    /// lines of the response.
    ///
    /// # Panics
    /// If the proxy opens no watch within [`WAIT_TIMEOUT`].
    pub fn next_watch(&self) -> (String, Sender<String>) {
        self.watches.recv_timeout(WAIT_TIMEOUT).expect("the proxy opens a watch in time")
    }
}

/// Returns an endpoint list as the JSON that discovery sends: the complete list if `reset`, else
/// the changed entries.
pub fn endpoint_list_json(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

/// Stub of discovery that sends the complete list to every watch at once, and again after each
/// change of the list.
pub struct StaticDiscovery {
    /// The address at which the stub listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<PublishedList>, Condvar)>,
}

/// The list that is sent to watches.
struct PublishedList {
    list: String,
    /// The version of the list, which grows with each change of `list` or `down`.
    version: u64,
    /// Whether discovery is down, so that every watch ends.
    down: bool,
}

/// Longest time between two lines of a watch; an empty line is sent if there is no change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

impl StaticDiscovery {
    /// Starts the stub with this list.
    pub fn new(list: String) -> StaticDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(PublishedList { list, version: 1, down: false }), Condvar::new()));
        let serving = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let state = Arc::clone(&serving);
                thread::spawn(move || drop(StaticDiscovery::serve_watch(stream, &state)));
            }
        });
        StaticDiscovery { address, state }
    }

    /// Replaces the list, and sends the new one to every watch.
    pub fn publish(&self, list: String) {
        self.change(|published| published.list = list);
    }

    /// Takes discovery down, which ends all watches, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.change(|published| published.down = down);
    }

    fn change(&self, change: impl FnOnce(&mut PublishedList)) {
        let mut published = self.state.0.lock().unwrap();
        change(&mut published);
        published.version += 1;
        self.state.1.notify_all();
    }

    fn serve_watch(mut stream: TcpStream, state: &(Mutex<PublishedList>, Condvar)) -> std::io::Result<()> {
        read_request(&mut BufReader::new(stream.try_clone()?), true).ok_or(ErrorKind::UnexpectedEof)?;
        let mut version = 0;
        loop {
            let mut published = state.0.lock().unwrap();
            if published.version == version {
                published = state.1.wait_timeout(published, HEARTBEAT_INTERVAL).unwrap().0;
            }
            if published.down {
                return Ok(());
            }
            let (head, line) = match published.version {
                now if now == version => ("", String::new()),
                now => {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    let head = if version == 0 { head } else { "" };
                    version = now;
                    (head, published.list.clone())
                }
            };
            drop(published);
            stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
        }
    }
}
