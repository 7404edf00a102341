//! Stand-ins for cache nodes, the origin, discovery and clients, and the proxy as a process. They use the
//! standard library only and follow the operators' protocol page.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns a duration in milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = File::create(path)?;
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line with the time in milliseconds.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.began.elapsed().as_millis());
    }
}

/// A request as a cache node or the origin received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: String,
    pub key: String,
    pub is_write: bool,
    /// How many requests of this id this backend has received, with this one.
    pub count: usize,
}

/// What a backend does with a request: it writes the answer to the stream. An error ends the connection.
pub type Serve = Arc<dyn Fn(&Received, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// A stand-in of a cache node or of the origin.
pub struct Backend {
    pub address: SocketAddr,
    log: Log,
}

/// The requests that a backend has received.
type Log = Arc<Mutex<Vec<Received>>>;

impl Backend {
    /// Returns the requests that were received so far.
    pub fn received(&self) -> Vec<Received> {
        self.log.lock().unwrap().clone()
    }
}

/// Adds a request to those that were received.
fn add(log: &Log, id: String, key: &str, is_write: bool) -> Received {
    let mut log = log.lock().unwrap();
    let count = log.iter().filter(|request| request.id == id).count() + 1;
    let request = Received { id, key: key.to_owned(), is_write, count };
    log.push(request.clone());
    request
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback port is free");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns a loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    listen().1
}

fn accept_forever(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
}

/// Starts a cache node: the meta commands, one thread for each connection, answers in order.
pub fn start_node(name: &str, record: &Record, serve: Serve) -> Backend {
    let (listener, address) = listen();
    let backend = Backend { address, log: Log::default() };
    let (received, record, name) = (Arc::clone(&backend.log), record.clone(), name.to_owned());
    accept_forever(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(line)) = read_line(&mut reader) {
            if line == "mn" {
                let _ = writer.write_all(b"MN\r\n");
                continue;
            }
            if line == "stats load" {
                // The settings' report has no fields.
                let _ = writer.write_all(b"END\r\n");
                continue;
            }
            let tokens: Vec<&str> = line.split(' ').collect();
            let is_write = tokens[0] == "ms";
            if !(is_write || tokens[0] == "mg") || tokens.len() < 3 {
                let _ = writer.write_all(b"ERROR\r\n");
                continue;
            }
            if is_write {
                let length: usize = tokens[2].parse().unwrap_or(0);
                let mut value = vec![0; length + 2];
                if reader.read_exact(&mut value).is_err() {
                    return;
                }
            }
            let id = flag(&tokens, 'O');
            record.line(&format!("{name} received: {line}"));
            let request = add(&received, id, tokens[1], is_write);
            if let Err(error) = serve(&request, &mut writer) {
                record.line(&format!("{name} ended the connection of O{}: {error}", request.id));
                return;
            }
            record.line(&format!("{name} has answered O{}", request.id));
        }
    });
    backend
}

/// Starts the origin: HTTP/1.1, connections stay open.
pub fn start_origin(record: &Record, serve: Serve) -> Backend {
    let (listener, address) = listen();
    let backend = Backend { address, log: Log::default() };
    let (received, record) = (Arc::clone(&backend.log), record.clone());
    accept_forever(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(first)) = read_line(&mut reader) {
            let Some(headers) = read_headers(&mut reader) else { return };
            let length: usize = headers.get("content-length").map_or(0, |text| text.parse().unwrap_or(0));
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = first.split(' ');
            let is_write = words.next() == Some("PUT");
            let key = words.next().unwrap_or_default().trim_start_matches('/').to_owned();
            let id = headers.get("x-txn").cloned().unwrap_or_default();
            let labels = headers.get("x-labels").cloned().unwrap_or_default();
            if id.is_empty() {
                // A probe has no id.
                let _ = write_ok(&mut writer, "", b"");
                continue;
            }
            record.line(&format!("the origin received: {first}, X-Txn {id}, X-Labels {labels}"));
            let request = add(&received, id, &key, is_write);
            if let Err(error) = serve(&request, &mut writer) {
                record.line(&format!("the origin ended the connection of {}: {error}", request.id));
                return;
            }
            record.line(&format!("the origin has answered {}", request.id));
        }
    });
    backend
}

/// Writes an answer of the origin with status 200.
pub fn write_ok(stream: &mut TcpStream, id: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nX-Txn: {id}\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Writes a miss of a cache node.
pub fn write_miss(stream: &mut TcpStream, id: &str) -> io::Result<()> {
    stream.write_all(format!("EN O{id}\r\n").as_bytes())
}

/// Writes a value of a cache node.
pub fn write_value(stream: &mut TcpStream, id: &str, value: &[u8]) -> io::Result<()> {
    stream.write_all(format!("VA {} O{id} h1\r\n", value.len()).as_bytes())?;
    stream.write_all(value)?;
    stream.write_all(b"\r\n")
}

/// Returns an entry of the list of cache nodes.
pub fn entry(name: &str, address: SocketAddr, kind: &str, zone: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"{zone}","machineType":"{kind}","cell":1,"lifecycle":"ready","weight":1.0,"startedAtMs":0}}"#
    )
}

/// Returns a list in discovery's form.
pub fn list(generation: u64, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// The stand-in of discovery: one list that does not change, and watches of it.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    /// Starts discovery with this list.
    pub fn start(record: &Record, list: String) -> Discovery {
        let (listener, address) = listen();
        let record = record.clone();
        accept_forever(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut writer = stream;
            while let Ok(Some(first)) = read_line(&mut reader) {
                if read_headers(&mut reader).is_none() {
                    return;
                }
                record.line(&format!("discovery was called: {first}"));
                let result = if first.contains("watch=1") {
                    serve_watch(&list, &mut writer)
                } else {
                    write_ok(&mut writer, "", list.as_bytes())
                };
                if result.is_err() {
                    return;
                }
            }
        });
        Discovery { address }
    }
}

/// Answers a watch: the whole list, then an empty line every 2 s.
fn serve_watch(list: &str, writer: &mut TcpStream) -> io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write_chunk(writer, &format!("{list}\n"))?;
    loop {
        thread::sleep(ms(2000));
        write_chunk(writer, "\n")?;
    }
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader).ok()??;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Returns the argument of a flag.
fn flag(tokens: &[&str], name: char) -> String {
    tokens.iter().skip(2).find_map(|token| token.strip_prefix(name)).unwrap_or_default().to_owned()
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(2000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.stream.set_read_timeout(Some(timeout));
    }

    /// Reads a line; `None` at the end of the connection.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        read_line(&mut self.reader)
    }

    /// Sends a command and reads the first line of its answer.
    pub fn call(&mut self, text: &str) -> io::Result<Option<String>> {
        self.send(text)?;
        self.line()
    }
}

/// Reads one answer after its first line: the value, if there is one.
pub fn read_rest(client: &mut Client, first: &str) -> io::Result<Vec<u8>> {
    let Some(length) = first.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()?.parse().ok()) else {
        return Ok(Vec::new());
    };
    let mut value = vec![0; length + 2];
    client.reader.read_exact(&mut value)?;
    value.truncate(length);
    Ok(value)
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, argument: u64, unused3: u64, unused4: u64, unused5: u64) -> i32;
}

/// Makes the close of a connection a reset.
pub fn reset_at_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // On, for 0 s.
    let linger = [1_i32, 0];
    // SAFETY: the descriptor is open, and the option's value is two integers.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes that were started, and waits for them.
pub fn kill_started() {
    for mut child in STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A proxy, started with the command of the deploy file.
pub struct Proxy {
    id: u32,
    pub log: PathBuf,
}

impl Proxy {
    pub fn start(
        root: &Path,
        folder: &Path,
        config: &Path,
        listen: SocketAddr,
        admin: SocketAddr,
        discovery: SocketAddr,
    ) -> Proxy {
        let log = folder.join("proxy.log");
        let output = File::create(&log).expect("the log can be created");
        let temporary = folder.join("tmp");
        fs::create_dir_all(&temporary).expect("a temporary folder can be created");
        let mut command = Command::new("/bin/sh");
        // SAFETY: the call only asks the system to kill the child when this program ends, however it ends.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                const SIGKILL: u64 = 9;
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        // The command ends in `exec`, so that the child is the proxy itself.
        let child = command
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("LB_NAME", "n0")
            .env("LB_CONFIG", config)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_ADMIN", admin.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log can be shared"))
            .stderr(output)
            .spawn()
            .expect("the proxy's command can be started");
        let id = child.id();
        STARTED.lock().unwrap().push(child);
        Proxy { id, log }
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.id)).status();
    }
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file can be read");
    let value = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("the deploy file has a command");
    value.split('"').next().unwrap_or_default().to_owned()
}

/// Waits until the proxy answers `mn` with `MN`; returns whether it did in time.
pub fn wait_until_ready(listen: SocketAddr, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(listen) {
            client.set_timeout(ms(500));
            if matches!(client.call("mn\r\n"), Ok(Some(line)) if line == "MN") {
                return true;
            }
        }
        thread::sleep(ms(20));
    }
    false
}

/// Returns a new empty folder, outside the repository.
pub fn temporary_folder() -> PathBuf {
    let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
    let folder = std::env::temp_dir().join(format!("review-{}-{unique}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder can be created");
    folder
}
