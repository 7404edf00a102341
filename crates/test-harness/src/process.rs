//! The program as a process: how it is started, where it listens, and how it ends.
//!
//! The owner of a process ends it: [`crate::ProxyFixture`] and [`crate::fleet::Process`] do so when
//! they are dropped.

use crate::run_folder::run_folder;
use crate::WAIT_TIMEOUT;
use rustix::process::{Pid, Signal};
use std::fs::File;
use std::io::{BufRead, BufReader, LineWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// How often it is checked whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The command that starts the proxy.
struct Program {
    path: PathBuf,
    arguments: Vec<String>,
}

static PROGRAM: OnceLock<Program> = OnceLock::new();
/// Where the logs of processes are kept; none unless [`keep_request_logs`] was called.
static LOG_FOLDER: OnceLock<PathBuf> = OnceLock::new();
/// Numbers the configuration files of one test program.
static CONFIG_FILES: AtomicUsize = AtomicUsize::new(0);

/// A proxy that has logged where it listens.
pub(crate) struct StartedProcess {
    pub(crate) child: Child,
    pub(crate) client_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
}

/// Writes a configuration to a file of its own.
pub(crate) fn write_config(config: &str) -> PathBuf {
    let number = CONFIG_FILES.fetch_add(1, Ordering::SeqCst);
    let path = run_folder().join(format!("{number}.json"));
    std::fs::write(&path, config).unwrap();
    path
}

/// Starts the proxy on a configuration.
///
/// # Panics
/// If the configuration cannot be written or the program cannot be started.
pub fn start_proxy(config: &str) -> Child {
    spawn_with_config(&write_config(config), run_folder())
}

/// Starts all proxies with this command from now on; only the first call counts. The default is the
/// program beside the running test.
pub fn set_program(path: PathBuf, arguments: &[&str]) {
    let arguments = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    // A second call is ignored, as documented.
    let _ = PROGRAM.set(Program { path, arguments });
}

/// Has all proxies that [`crate::ProxyFixture`] starts from now on write their request logs, each
/// into a file of its own in this folder; only the first call counts.
pub fn keep_request_logs(folder: PathBuf) {
    let _ = LOG_FOLDER.set(folder);
}

fn command() -> Command {
    let program = PROGRAM.get_or_init(|| {
        // Tests run from a folder beside it.
        let test = std::env::current_exe().expect("the test knows where it is");
        let folder = test.parent().and_then(Path::parent).expect("tests lie in a folder of their own");
        Program { path: folder.join("pinetrail"), arguments: Vec::new() }
    });
    let mut command = Command::new(&program.path);
    command.args(&program.arguments);
    command
}

/// Starts the proxy on the configuration in a file, with this folder for its `$TMPDIR`.
pub(crate) fn spawn_with_config(config: &Path, temp_dir: &Path) -> Child {
    let mut command = command();
    command.env("LB_CONFIG", config);
    command.env("TMPDIR", temp_dir);
    if LOG_FOLDER.get().is_some() {
        command.env("LB_LOG", "debug");
    }
    command.stdout(Stdio::piped());
    command.stderr(Stdio::piped());
    command.spawn().expect("the proxy starts")
}

/// Starts the proxy and reads in its log where it listens for operators and for clients.
pub(crate) fn start_and_find_addresses(config: &Path, temp_dir: &Path) -> StartedProcess {
    let mut child = spawn_with_config(config, temp_dir);
    let log = BufReader::new(child.stderr.take().unwrap());
    let mut log_file = log_file(&child);
    let (sender, addresses) = channel();
    // Ends at the second address if no log is kept. The rest of the log is not read then, and the
    // proxy must not end for that.
    thread::spawn(move || {
        let mut missing = 2;
        for line in log.lines().map_while(Result::ok) {
            if let Some(address) = logged_address(&line) {
                missing -= 1;
                // The receiver is gone only after a panic in the test.
                let _ = sender.send(address);
            }
            match &mut log_file {
                // A log that cannot be kept is no fault of the proxy.
                Some(file) => drop(writeln!(file, "{line}")),
                None if missing == 0 => return,
                None => {}
            }
        }
    });
    let admin_address =
        addresses.recv_timeout(WAIT_TIMEOUT).expect("the proxy logs where operators reach it");
    let client_address = addresses.recv_timeout(WAIT_TIMEOUT).expect("the proxy logs where it listens");
    StartedProcess { child, client_address, admin_address }
}

/// The file that keeps the log of a process, if logs are kept.
fn log_file(child: &Child) -> Option<LineWriter<File>> {
    let path = LOG_FOLDER.get()?.join(format!("{}.log", child.id()));
    File::create(path).ok().map(LineWriter::new)
}

/// The address in a log line that says where the proxy listens.
fn logged_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(" call ").or_else(|| line.split_once(" listens on "))?;
    address.parse().ok()
}

/// Sends a signal, by its name without `SIG`, to a process that this one started.
///
/// # Panics
/// If the tests use no signal of this name, or the process has ended.
pub fn signal(child: &Child, name: &str) {
    let number = match name {
        "HUP" => Signal::HUP,
        "TERM" => Signal::TERM,
        "USR1" => Signal::USR1,
        "STOP" => Signal::STOP,
        "CONT" => Signal::CONT,
        _ => panic!("the tests use no signal {name}"),
    };
    let pid = Pid::from_child(child);
    rustix::process::kill_process(pid, number).expect("the process runs");
}

/// Waits until the program has ended by itself; what it printed.
///
/// # Panics
/// If it does not end in time.
pub fn wait_for_exit(mut child: Child) -> Output {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < deadline, "the program does not end");
        thread::sleep(POLL_INTERVAL);
    }
    child.wait_with_output().unwrap()
}
