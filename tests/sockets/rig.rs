//! The proxy as a process, and round it the parts that it talks to: cache nodes, origin and discovery
//! on ephemeral loopback ports. Every wait is bounded.

use crate::witness::Witness;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const WAIT: Duration = Duration::from_secs(10);
static SCENES: AtomicUsize = AtomicUsize::new(0);

/// What a party does with a request it was sent: answer, say nothing, or break the connection.
pub enum Does {
    Says(String),
    /// Writes in its own time.
    Writes(Box<dyn FnOnce(&mut TcpStream)>),
    Nothing,
    Breaks,
}

/// A cache node or the origin: where it is, what it was sent, and how often it was connected to.
pub struct Party {
    pub place: SocketAddr,
    pub heard: Arc<Mutex<Vec<String>>>,
    pub connected: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
}

impl Party {
    /// `http` tells whether a request is a head, else it is a line; a write's value is read along.
    fn new(http: bool, act: impl Fn(&str) -> Does + Send + Sync + 'static) -> Party {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let party = Party {
            place: listener.local_addr().unwrap(),
            heard: Arc::default(),
            connected: Arc::default(),
            ended: Arc::default(),
        };
        let (heard, connected) = (Arc::clone(&party.heard), Arc::clone(&party.connected));
        let (ended, act) = (Arc::clone(&party.ended), Arc::new(act));
        let (witness, place) = (Witness::own(), party.place.to_string());
        thread::spawn(move || {
            for stream in listener.incoming() {
                connected.fetch_add(1, Ordering::SeqCst);
                let (heard, ended, act) = (Arc::clone(&heard), Arc::clone(&ended), Arc::clone(&act));
                let (witness, place) = (witness.clone(), place.clone());
                thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut call = None;
                    while let Some(request) = request(&mut reader, http) {
                        heard.lock().unwrap().push(request.clone());
                        let number = *call.insert(witness.received(&place, &request));
                        match act(&request) {
                            Does::Says(words) => {
                                witness.closed(number, Some(&words));
                                stream.write_all(words.as_bytes()).unwrap_or(());
                            }
                            Does::Writes(write) => write(&mut stream),
                            Does::Nothing => {}
                            Does::Breaks => break,
                        }
                    }
                    // Of those that were answered the first end counts.
                    call.into_iter().for_each(|call| witness.closed(call, None));
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        party
    }

    pub fn node(act: impl Fn(&str) -> Does + Send + Sync + 'static) -> Party {
        Party::new(false, act)
    }

    /// A cache node that holds every key; its value names it.
    pub fn full_node(name: &'static str) -> Party {
        Party::node(move |line| Does::Says(format!("VA {} {} h1\r\n{name}\r\n", name.len(), opaque(line))))
    }

    /// A cache node that holds nothing.
    pub fn empty_node() -> Party {
        Party::node(|line| Does::Says(format!("EN {}\r\n", opaque(line))))
    }

    pub fn origin(act: impl Fn(&str) -> Does + Send + Sync + 'static) -> Party {
        Party::new(true, act)
    }

    pub fn heard(&self) -> Vec<String> {
        self.heard.lock().unwrap().clone()
    }

    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::SeqCst)
    }

    pub fn entry(&self, name: &str, kind: &str, lifecycle: &str) -> String {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
            self.place
        )
    }
}

fn request(reader: &mut impl BufRead, http: bool) -> Option<String> {
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

pub fn http_200(body: &str) -> Does {
    Does::Says(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Discovery: each watch asked for comes out of `asked`, to be told lines through its sender. A watch
/// ends with its sender.
pub struct Discovery {
    pub place: SocketAddr,
    asked: Receiver<(String, Sender<String>)>,
}

impl Discovery {
    pub fn new() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let place = listener.local_addr().unwrap();
        let (ask, asked) = channel();
        let witness = Witness::own();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, ask, witness) = (stream.unwrap(), ask.clone(), witness.clone());
                thread::spawn(move || {
                    let head = request(&mut BufReader::new(stream.try_clone().unwrap()), true).unwrap();
                    let (tell, told) = channel::<String>();
                    ask.send((head.lines().next().unwrap().to_owned(), tell)).unwrap_or(());
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap_or(());
                    for line in told {
                        witness.told(&line);
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        stream.write_all(chunk.as_bytes()).unwrap_or(());
                    }
                });
            }
        });
        Discovery { place, asked }
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

const SETTINGS: &str = r#"{"GroupSize":1,"MyNumber":0,"Discovery":"ask","Zones":["a"],"Zone":0,"Tick":1.0,
    "Kinds":["c6","origin"],"FamilyInfo":{"OriginKind":1},"Orgs":[{"Name":"acme"}],
    "Grades":[{"Name":"read","Aim":400.0,"GiveUp":1000.0,"Semantics":"safe","DedupScope":"all"},
              {"Name":"put","Aim":400.0,"GiveUp":1000.0,"Semantics":"keyed","DedupScope":"all","RepeatWindow":5000.0},
              {"Name":"confirm","Aim":400.0,"GiveUp":1000.0,"Semantics":"unsafe","DedupScope":"all"}],
    "Permissions":{"MaxAttempts":3,"SecondCopies":false,"Cancel":true,"MaxRetryAfter":2000.0,
                   "ConnIdle":1500.0,"ConnectTimeout":250.0},
    "Safety":{"StartCapacity":0.2,"Cold":9000.0,"FallMultiple":3.0,"TipAfter":1500.0,"MustAskIn":10000.0}}"#;

/// A configuration that the proxy accepts.
pub fn config(listen: &str, discovery: &str, sockets: usize, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// Writes a configuration to a file of its own.
fn written(config: &str) -> PathBuf {
    let number = SCENES.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("pinetrail-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    path
}

/// Starts the proxy on a configuration.
pub fn start(config: &str) -> Child {
    start_on(&written(config))
}

fn start_on(path: &Path) -> Child {
    start_in(path, &std::env::temp_dir())
}

fn start_in(path: &Path, tmp: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinetrail"));
    command.env("LB_CONFIG", path).env("TMPDIR", tmp).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the proxy starts")
}

/// Starts the proxy and reads in its log where it listens and where its door is.
fn started(config: &Path, tmp: &Path) -> (Child, SocketAddr, SocketAddr) {
    let mut child = start_in(config, tmp);
    let log = BufReader::new(child.stderr.take().unwrap());
    let (found, places) = channel::<SocketAddr>();
    // Nobody reads the log any further: a proxy must not end for that.
    thread::spawn(move || {
        let lines = log.lines().map_while(Result::ok);
        let named = |line: String| {
            let at = line.split_once(" call ").or_else(|| line.split_once(" listens on "))?;
            at.1.parse().ok()
        };
        lines.filter_map(named).take(2).for_each(|place| found.send(place).unwrap_or(()));
    });
    let next = || places.recv_timeout(WAIT).expect("the proxy says where it listens");
    let (door, place) = (next(), next());
    (child, place, door)
}

pub fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args(["-s", name, &child.id().to_string()]).status().unwrap().success());
}

/// Waits for the program's end.
pub fn end(mut child: Child) -> Output {
    let until = Instant::now() + WAIT;
    while child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < until, "the program does not end");
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}

/// A running proxy and discovery.
pub struct Scene {
    pub discovery: Discovery,
    pub place: SocketAddr,
    /// The operators' door.
    pub door: SocketAddr,
    child: Option<Child>,
    config: PathBuf,
    /// What the proxy has for `$TMPDIR`.
    tmp: PathBuf,
}

impl Scene {
    /// A proxy whose cached list has these entries; it has answered `mn`.
    pub fn new(entries: &[String]) -> Scene {
        Scene::with_sockets(entries, 256)
    }

    pub fn with_sockets(entries: &[String], sockets: usize) -> Scene {
        Scene::with_limits(entries, sockets, 192)
    }

    pub fn with_limits(entries: &[String], sockets: usize, memory_mb: usize) -> Scene {
        let discovery = Discovery::new();
        let mut entries = entries.to_vec();
        // A list without the origin is none; where a test has none of its own, nobody answers for it.
        if !entries.is_empty() && !entries.iter().any(|entry| entry.contains(r#""origin""#)) {
            let nobody = Party { place: "127.0.0.1:1".parse().unwrap(), ..Party::empty_node() };
            entries.push(nobody.entry("o", "origin", "ready"));
        }
        let known = catalog(1, true, &entries);
        let config = config("127.0.0.1:0", &discovery.place.to_string(), sockets, &known);
        let limits = format!(r#""admin":"127.0.0.1:0","limits":{{"cores":1.0,"memory_mb":{memory_mb}"#);
        let config = config.replace(r#""limits":{"cores":1.0,"memory_mb":192"#, &limits);
        Witness::own().in_force(&config);
        let config = written(&config);
        let tmp = config.with_extension("tmp");
        std::fs::create_dir_all(&tmp).unwrap();
        let (child, place, door) = started(&config, &tmp);
        let scene = Scene { discovery, place, door, child: Some(child), config, tmp };
        assert_eq!(scene.client().ask("mn\r\n"), "MN\r\n");
        scene
    }

    /// A proxy for these cache nodes, `s-0` on, and this origin.
    pub fn of(nodes: &[&Party], origin: &Party) -> Scene {
        let mut entries: Vec<String> =
            nodes.iter().enumerate().map(|(n, node)| node.entry(&format!("s-{n}"), "c6", "ready")).collect();
        entries.push(origin.entry("o", "origin", "ready"));
        Scene::new(&entries)
    }

    pub fn client(&self) -> Client {
        Client::to(self.place)
    }

    /// One of the proxy's counters.
    pub fn count(&self, name: &str) -> u64 {
        let mut client = self.client();
        client.say("stats\r\n");
        let prefix = format!("STAT {name} ");
        let mut found = None;
        loop {
            let line = client.line();
            if line == "END\r\n" {
                return found.expect("the counter exists");
            }
            found = line.strip_prefix(&prefix).map(|n| n.trim().parse().unwrap()).or(found);
        }
    }

    /// Waits until something holds.
    pub fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let until = Instant::now() + WAIT;
        while !holds() {
            assert!(Instant::now() < until, "in vain: {what}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// The most memory that the proxy has had so far, in MB.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.as_ref().unwrap().id());
        let status = std::fs::read_to_string(path).unwrap();
        let kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
        kb.unwrap().parse::<u64>().unwrap() / 1024
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.as_ref().unwrap(), name);
    }

    /// Writes a configuration for a second process of this proxy.
    fn second(&self) -> PathBuf {
        let text = std::fs::read_to_string(&self.config).unwrap();
        written(&text.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{}""#, self.place)))
    }

    /// Starts a second process of this proxy, which is ready when this returns: it and its door.
    pub fn beside(&self) -> (Child, SocketAddr) {
        let (child, place, door) = started(&self.second(), &self.tmp);
        assert_eq!(place, self.place);
        self.until("the second process is ready", || call(door, "GET", "/control/ready").0 == 200);
        (child, door)
    }

    /// From now on `$TMPDIR` is a folder whose path is too long for the address of a Unix socket.
    pub fn lengthen_tmp(&mut self) {
        self.tmp = self.tmp.join("long".repeat(40));
        std::fs::create_dir_all(&self.tmp).unwrap();
    }

    /// Kills the proxy and starts it anew at the same addresses.
    pub fn restart(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().and_then(|()| child.wait()).unwrap();
        let (child, door) = self.beside();
        (self.child, self.door) = (Some(child), door);
    }

    /// A second process on a configuration with some text replaced.
    pub fn beside_with(&self, from: &str, to: &str) -> Child {
        let text = std::fs::read_to_string(self.second()).unwrap();
        start_in(&written(&text.replace(from, to)), &self.tmp)
    }

    /// Puts a second process in the first one's place; the first.
    pub fn succeed(&mut self, (child, door): (Child, SocketAddr)) -> Child {
        self.door = door;
        self.child.replace(child).unwrap()
    }

    /// Replaces the configuration by what it is with some text replaced, and has it read again.
    pub fn reload(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
        self.signal("HUP");
    }

    pub fn end(mut self) -> Output {
        end(self.child.take().unwrap())
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill().and_then(|()| child.wait());
        }
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}

/// A consumer's connection.
pub struct Client(BufReader<TcpStream>, Witness);

impl Client {
    pub fn to(place: SocketAddr) -> Client {
        let stream = TcpStream::connect(place).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        Client(BufReader::new(stream), Witness::own())
    }

    pub fn say(&mut self, words: &str) {
        self.0.get_mut().write_all(words.as_bytes()).unwrap();
    }

    /// Says it as far as the proxy lets it.
    pub fn try_say(&mut self, words: &str) -> bool {
        self.0.get_mut().write_all(words.as_bytes()).is_ok()
    }

    /// Whether the proxy has closed it.
    pub fn is_closed(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match seen {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// The next line; empty at the end of the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(_) => line,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(error) => panic!("{error}"),
        }
    }

    pub fn ask(&mut self, words: &str) -> String {
        self.say(words);
        self.line()
    }

    /// Where its answers are read.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.0
    }

    /// Reads a key; the value's line, or none if the connection ended first.
    pub fn try_read(&mut self, id: &str) -> Option<String> {
        if !self.try_say(&format!("mg {id} v O{id} Pc=read,t=acme,d=2000\r\n")) {
            return None;
        }
        let line = self.line();
        (!line.is_empty()).then(|| if line.starts_with("VA ") { self.line() } else { line })
    }

    /// Reads a key; the line of the answer, and the value's line if there is one.
    pub fn read(&mut self, key: &str, id: &str, ms: u32) -> (String, String) {
        self.invoke(&format!("mg {key} v O{id} Pc=read,t=acme,d={ms}\r\n"))
    }

    /// Writes to a key; the line of the answer.
    pub fn write(&mut self, class: &str, key: &str, id: &str, ms: u32) -> String {
        self.invoke(&format!("ms {key} 5 O{id} Pc={class},t=acme,d={ms},k={id}\r\nhello\r\n")).0
    }

    fn invoke(&mut self, command: &str) -> (String, String) {
        self.1.asked(command);
        let line = self.ask(command);
        let value = if line.starts_with("VA ") { self.line() } else { String::new() };
        self.1.answered(command, &line, &value);
        (line, value)
    }

    /// Asks for a key and leaves after a time, with no answer.
    pub fn ask_and_leave(mut self, key: &str, id: &str, after: Duration) {
        let command = format!("mg {key} v O{id} Pc=read,t=acme,d=2000\r\n");
        self.1.asked(&command);
        self.say(&command);
        thread::sleep(after);
        self.1.left(&command);
    }
}

/// One call at the operators' door: its status and its text.
pub fn call(door: SocketAddr, method: &str, path: &str) -> (u16, String) {
    say_to_door(door, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
}

/// What the door answers to these bytes.
pub fn say_to_door(door: SocketAddr, words: &str) -> (u16, String) {
    let mut client = Client::to(door);
    client.say(words);
    let status = client.line().split(' ').nth(1).map_or(0, |status| status.parse().unwrap());
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut client.0, &mut rest).unwrap();
    (status, rest.split_once("\r\n\r\n").map_or(String::new(), |(_, text)| text.to_owned()))
}
