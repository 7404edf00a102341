//! Stand-ins of the second review: cache nodes, origin, discovery and clients on loopback, and the
//! proxy as a process of its own. Standard library only.

#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

/// With it, a proxy ends if the case itself is killed.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that still run.
pub fn end_processes() {
    for pid in STARTED.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        // SAFETY: the process is a child that was not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// How a script ends: 0 held, 1 broken, 2 could not run.
pub enum Verdict {
    Held,
    Broken,
}

pub type Outcome = Result<Verdict, String>;

/// The record of a run, and whether the run has its disruption.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    pub trouble: bool,
}

impl Record {
    pub fn open(folder: &str) -> io::Result<Record> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record { file: Arc::new(Mutex::new(file)), started: Instant::now(), trouble };
        record.line(&format!("run: TROUBLE={}", u8::from(trouble)));
        Ok(record)
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

/// Serves each connection of a new listener on a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = socket.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// A command that a cache node has received.
#[derive(Clone, Debug)]
pub struct NodeCommand {
    pub name: String,
    pub key: String,
    pub id: String,
    pub labels: String,
    pub value: Option<Vec<u8>>,
}

/// Reads the next command of a connection to a cache node; `None` at its end.
pub fn read_command(reader: &mut BufReader<TcpStream>) -> Option<NodeCommand> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line).ok()? == 0 || !line.ends_with(b"\r\n") {
        return None;
    }
    let line = String::from_utf8(line).ok()?;
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let name = words.first()?.to_string();
    let key = words.get(1).unwrap_or(&"").to_string();
    let flag = |first: char| {
        let flags = words.iter().skip(2);
        flags.filter_map(|word| word.strip_prefix(first)).next().unwrap_or("").to_owned()
    };
    let value = if name == "ms" {
        let length: usize = words.get(2)?.parse().ok()?;
        let mut value = vec![0; length + 2];
        reader.read_exact(&mut value).ok()?;
        value.truncate(length);
        Some(value)
    } else {
        None
    };
    Some(NodeCommand { name, key, id: flag('O'), labels: flag('P'), value })
}

/// Starts a cache node, whose commands `answer` answers one after another.
pub fn node(
    answer: impl Fn(&NodeCommand, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    serve(move |stream| {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(command) = read_command(&mut reader) {
            let written = match command.name.as_str() {
                "mn" => output.write_all(b"MN\r\n"),
                "mg" | "ms" => answer(&command, &mut output),
                _ => output.write_all(b"ERROR\r\n"),
            };
            if written.is_err() {
                return;
            }
        }
    })
}

/// An HTTP request that the origin has received.
#[derive(Clone, Debug)]
pub struct OriginRequest {
    pub method: String,
    pub key: String,
    pub id: String,
    pub labels: String,
    pub body: Vec<u8>,
}

pub fn read_http(reader: &mut BufReader<TcpStream>) -> Option<OriginRequest> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut words = first.split_whitespace();
    let method = words.next()?.to_owned();
    let key = words.next()?.trim_start_matches('/').to_owned();
    let mut request =
        OriginRequest { method, key, id: String::new(), labels: String::new(), body: Vec::new() };
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "x-txn" => request.id = value.to_owned(),
            "x-labels" => request.labels = value.to_owned(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Starts an origin, whose requests `answer` answers.
pub fn origin(
    answer: impl Fn(&OriginRequest, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    serve(move |stream| {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_http(&mut reader) {
            if answer(&request, &mut output).is_err() {
                return;
            }
        }
    })
}

/// Writes a response with status 200 and this body.
pub fn http_ok(output: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}

/// The value of a key: its length in bytes, each of which depends on the key and its position.
pub fn value_of(key: &str, length: usize) -> Vec<u8> {
    let seed = key.bytes().fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    (0..length).map(|at| b'a' + (seed.wrapping_add(at as u32 * 7) % 26) as u8).collect()
}

/// Writes bytes in pieces with a pause before each but the first.
pub fn write_slowly(output: &mut TcpStream, bytes: &[u8], piece: usize, pause: Duration) -> io::Result<()> {
    for (number, part) in bytes.chunks(piece).enumerate() {
        if number > 0 {
            thread::sleep(pause);
        }
        output.write_all(part)?;
    }
    Ok(())
}

/// An entry of the list of discovery.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub kind: &'static str,
}

pub fn member(number: u32, address: SocketAddr, kind: &'static str) -> Member {
    Member { id: format!("s-{:08x}", number.wrapping_mul(0x9E37_79B1)), address, kind }
}

fn list_json(members: &[Member], generation: u32) -> String {
    let entry = |member: &Member| {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"gdynia-port\",\"machineType\":\"{}\",\"cell\":0,\
             \"lifecycle\":\"ready\",\"weight\":1.0,\"startedAtMs\":0}}",
            member.id, member.address, member.kind
        )
    };
    let entries: Vec<String> = members.iter().map(entry).collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

/// Starts discovery with a list that never changes: the whole list, then an empty line every 2 s.
pub fn discovery(members: Vec<Member>) -> SocketAddr {
    serve(move |stream| {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_http(&mut reader) {
            let list = list_json(&members, 41);
            if !request.key.contains("watch=1") {
                if http_ok(&mut output, list.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
            if output.write_all(format!("{head}{}", chunk(&format!("{list}\n"))).as_bytes()).is_err() {
                return;
            }
            loop {
                thread::sleep(ms(2000));
                if output.write_all(chunk("\n").as_bytes()).is_err() {
                    return;
                }
            }
        }
    })
}

/// A class of requests in the settings.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub aim: u32,
    pub give_up: u32,
    pub semantics: &'static str,
    pub window: u32,
}

/// The classes of the site `gdynia-bookings`.
pub const CLASSES: [Class; 3] = [
    Class { name: "lookup", aim: 750, give_up: 1500, semantics: "safe", window: 5000 },
    Class { name: "hold", aim: 750, give_up: 2500, semantics: "keyed", window: 5000 },
    Class { name: "confirm", aim: 600, give_up: 1200, semantics: "keyed", window: 1200 },
];

/// The settings of a proxy of the site `gdynia-bookings`, with these classes.
pub fn settings_json(classes: &[Class], max_attempts: u32) -> String {
    let grade = |class: &Class| {
        format!(
            "{{\"Name\":\"{}\",\"Aim\":{}.0,\"GiveUp\":{}.0,\"Semantics\":\"{}\",\"DedupScope\":\"all\",\
             \"RepeatWindow\":{}.0,\"LateWorth\":0.0,\"Stream\":false,\"Worth\":1.0}}",
            class.name, class.aim, class.give_up, class.semantics, class.window
        )
    };
    let grades: Vec<String> = classes.iter().map(grade).collect();
    format!(
        "{{\"Discovery\":\"ask\",\"Family\":\"cache\",\"FamilyInfo\":{{\"Mode\":\"aside\",\"OriginKind\":3}},\
         \"Grades\":[{}],\"GroupSize\":1,\"MyNumber\":0,\
         \"Kinds\":[\"c6-fast\",\"c6-std\",\"c6-slow\",\"origin\"],\
         \"Orgs\":[{{\"Name\":\"hel-gdynia\",\"Share\":0.6,\"AllowancePerS\":88.0}},\
         {{\"Name\":\"sopot-hel\",\"Share\":0.4,\"AllowancePerS\":27.0}}],\
         \"Permissions\":{{\"Cancel\":true,\"ConnIdle\":15000.0,\"ConnectTimeout\":250.0,\"MaxAttempts\":{max_attempts},\
         \"MaxOpen\":20000,\"MaxRetryAfter\":2000.0,\"Probing\":false,\"RetryAfter\":true,\"SecondCopies\":false,\
         \"StreamsPerConn\":32}},\
         \"Safety\":{{\"AnswerSlack\":20.0,\"Cold\":24000.0,\"FallMultiple\":3.0,\"MustAskIn\":10000.0,\
         \"StartCapacity\":0.13,\"StopSendingWithin\":2000.0,\"TipAfter\":3000.0}},\
         \"Tick\":5.0,\"Weights\":\"rough\",\"Zone\":0,\"Zones\":[\"gdynia-port\"]}}",
        grades.join(",")
    )
}

/// What a proxy of a case is given.
pub struct ProxySetup {
    pub members: Vec<Member>,
    pub classes: Vec<Class>,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl ProxySetup {
    pub fn new(members: Vec<Member>) -> ProxySetup {
        ProxySetup { members, classes: CLASSES.to_vec(), memory_mb: 64, sockets: 384 }
    }
}

/// The processes of one proxy: its addresses, configuration and temporary folder.
pub struct Proxy {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    folder: PathBuf,
    pub config: PathBuf,
    processes: Vec<Child>,
    pub ended: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy with the command of the deploy file, and waits until it answers `mn`.
    pub fn start(setup: &ProxySetup, record: &Record) -> Result<Proxy, String> {
        let number = std::process::id();
        let folder =
            std::env::temp_dir().join(format!("pinetrail-review-2-{number}-{}", free_address().port()));
        fs::create_dir_all(&folder).map_err(|error| format!("no temporary folder: {error}"))?;
        let (listen, admin) = (free_address(), free_address());
        let config = folder.join("config.json");
        let discovery = discovery(setup.members.clone());
        let text = config_json(setup, listen, admin, discovery);
        fs::write(&config, text).map_err(|error| format!("no configuration: {error}"))?;
        let ended = Arc::default();
        let mut proxy = Proxy { listen, admin, folder, config, processes: Vec::new(), ended };
        proxy.spawn(admin, record)?;
        wait_until(ms(15_000), || {
            Client::connect(listen).and_then(|mut client| client.noop()).is_ok_and(|line| line == "MN")
        })
        .then_some(())
        .ok_or("the proxy did not become ready")?;
        record.line(&format!("proxy {} is ready at {listen}", proxy.pid()));
        Ok(proxy)
    }

    /// Starts a process of this proxy with the command of the deploy file.
    pub fn spawn(&mut self, admin: SocketAddr, record: &Record) -> Result<(), String> {
        let run = run_command()?;
        let name = format!("log-{}.txt", self.processes.len());
        let log = File::create(self.folder.join(name)).map_err(|error| format!("no log: {error}"))?;
        let error_log = log.try_clone().map_err(|error| format!("no log: {error}"))?;
        let temporary = self.folder.join("tmp");
        let _ = fs::create_dir_all(&temporary);
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl is called between fork and exec and touches no memory.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run])
            .env("LB_CONFIG", &self.config)
            .env("LB_ADMIN", admin.to_string())
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .spawn()
            .map_err(|error| format!("the proxy cannot be started: {error}"))?;
        record.line(&format!("started process {} by the deploy file's run: {run}", child.id()));
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        self.processes.push(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.processes.last().map_or(0, Child::id)
    }

    pub fn pid_of(&self, index: usize) -> u32 {
        self.processes[index].id()
    }

    /// Sends a signal to a process of this proxy.
    pub fn signal(&self, index: usize, signal: i32, record: &Record) {
        let pid = self.processes[index].id();
        // SAFETY: the process is a child that was not waited for.
        let result = unsafe { kill(pid as i32, signal) };
        record.line(&format!("signal {signal} to process {pid}: {result}"));
    }

    /// Returns the exit of a process, if it has ended.
    pub fn exit_of(&mut self, index: usize) -> Option<String> {
        self.processes[index].try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        for child in &mut self.processes {
            STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn config_json(
    setup: &ProxySetup,
    listen: SocketAddr,
    admin: SocketAddr,
    discovery: SocketAddr,
) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"admin\":\"{admin}\",\"discovery\":\"{discovery}\",\
         \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
         \"known\":{},\"settings\":{}}}",
        setup.memory_mb,
        setup.sockets,
        list_json(&setup.members, 41),
        settings_json(&setup.classes, 3)
    )
}

/// Returns the command by which the deploy file starts the proxy.
fn run_command() -> Result<String, String> {
    let text =
        fs::read_to_string("deploy/balancer.toml").map_err(|error| format!("no deploy file: {error}"))?;
    let line = text.lines().find(|line| line.starts_with("run = ")).ok_or("no run line")?;
    Ok(line.trim_start_matches("run = ").trim().trim_matches('"').to_owned())
}

pub fn wait_until(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_true() {
            return true;
        }
        thread::sleep(ms(20));
    }
    false
}

/// Calls the operators' address; returns the status.
pub fn operator_call(admin: SocketAddr, method: &str, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(admin)?;
    stream.set_read_timeout(Some(ms(3000)))?;
    stream.write_all(
        format!("{method} {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
    )?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split_whitespace()
        .nth(1)
        .and_then(|code| code.parse().ok())
        .ok_or_else(|| io::Error::other("no status"))
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// An answer of the proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The line, without its end.
    Line(String),
    /// A whole value.
    Value(Vec<u8>),
    /// The connection ended after this many bytes of a value of this length.
    Cut { got: usize, length: usize },
    /// The connection ended, or nothing came in time.
    None(String),
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(2000))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn noop(&mut self) -> io::Result<String> {
        self.stream.set_read_timeout(Some(ms(1000)))?;
        self.send(b"mn\r\n")?;
        self.read_line()
    }

    pub fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill(4096)?;
        }
    }

    fn fill(&mut self, most: usize) -> io::Result<()> {
        let mut part = vec![0; most];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&part[..count]);
                Ok(())
            }
        }
    }

    /// Reads an answer; `limit` bounds each read.
    pub fn answer(&mut self, limit: Duration) -> Answer {
        self.answer_paced(limit, usize::MAX, Duration::ZERO)
    }

    /// Reads an answer, of a value at most `piece` bytes at a time with a pause after each.
    pub fn answer_paced(&mut self, limit: Duration, piece: usize, pause: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(limit));
        let line = match self.read_line() {
            Ok(line) => line,
            Err(error) => return Answer::None(error.kind().to_string()),
        };
        let Some(rest) = line.strip_prefix("VA ") else { return Answer::Line(line) };
        let length: usize = rest.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length + 2 {
            if self.fill(piece.min(64 * 1024)).is_err() {
                return Answer::Cut { got: self.buffer.len().min(length), length };
            }
            thread::sleep(pause);
        }
        let mut value: Vec<u8> = self.buffer.drain(..length + 2).collect();
        value.truncate(length);
        Answer::Value(value)
    }

    /// Sets the size of the receive buffer, which bounds what the system holds for the client.
    pub fn set_receive_buffer(&self, bytes: i32) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        // SAFETY: the descriptor is open, and the value is an int of the given length.
        unsafe {
            setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, bytes.to_ne_bytes().as_ptr(), 4)
        };
    }
}

pub fn show(answer: &Answer) -> String {
    match answer {
        Answer::Line(line) => line.clone(),
        Answer::Value(value) => format!("VA, whole, {} bytes", value.len()),
        Answer::Cut { got, length } => format!("VA, ended after {got} of {length} bytes"),
        Answer::None(why) => format!("no answer: {why}"),
    }
}

/// Returns the id with this number; no two numbers have the same.
pub fn new_id(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5bd1_e995)
}

pub fn read_request(key: &str, id: &str, class: &str, wait_ms: u64) -> String {
    format!("mg {key} v O{id} Pc={class},t=hel-gdynia,d={wait_ms}\r\n")
}

pub fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Acquire)
}
