//! Starts the proxy as a process, reads its addresses in its log, sends it signals and waits for
//! its exit. Read [`start_proxy`] first.
//!
//! The owner of a process ends it: [`crate::ProxyFixture`] and [`crate::fleet::Process`] kill their
//! process when they are dropped.

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

/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The command that starts the proxy.
struct Program {
    path: PathBuf,
    arguments: Vec<String>,
}

static PROGRAM: OnceLock<Program> = OnceLock::new();
/// Folder in which the logs of processes are kept; unset unless [`keep_request_logs`] was called.
static LOG_FOLDER: OnceLock<PathBuf> = OnceLock::new();
/// Counter that numbers the configuration files of one test program.
static CONFIG_FILES: AtomicUsize = AtomicUsize::new(0);

/// A process of the proxy that has logged the addresses at which it listens.
pub(crate) struct StartedProcess {
    pub(crate) child: Child,
    pub(crate) client_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
}

/// Writes a configuration to a new file in the run's folder; returns its path.
pub(crate) fn write_config(config: &str) -> PathBuf {
    let number = CONFIG_FILES.fetch_add(1, Ordering::SeqCst);
    let path = run_folder().join(format!("{number}.json"));
    std::fs::write(&path, config).unwrap();
    path
}

/// Starts the proxy with a configuration, without waiting until it listens.
///
/// # Panics
/// If the configuration cannot be written or the program cannot be started.
pub fn start_proxy(config: &str) -> Child {
    spawn_with_config(&write_config(config), run_folder())
}

/// Sets the command that starts every later proxy; only the first call has an effect. The default
/// is the program in the folder above that of the running test.
pub fn set_program(path: PathBuf, arguments: &[&str]) {
    let arguments = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    // A later call has no effect, as documented.
    let _ = PROGRAM.set(Program { path, arguments });
}

/// Makes every proxy that [`crate::ProxyFixture`] starts later write its request log to a separate
/// file in this folder; only the first call has an effect.
pub fn keep_request_logs(folder: PathBuf) {
    let _ = LOG_FOLDER.set(folder);
}

fn command() -> Command {
    let program = PROGRAM.get_or_init(|| {
        // Cargo puts the program into the folder above that of the tests.
        let test = std::env::current_exe().expect("the path of the running test is known");
        let folder = test.parent().and_then(Path::parent).expect("the running test is two folders deep");
        Program { path: folder.join("pinetrail"), arguments: Vec::new() }
    });
    let mut command = Command::new(&program.path);
    command.args(&program.arguments);
    command
}

/// Starts the proxy with a configuration file and this folder as its `$TMPDIR`.
pub(crate) fn spawn_with_config(config: &Path, temp_dir: &Path) -> Child {
    let mut command = command();
    command.env("LB_CONFIG", config);
    command.env("TMPDIR", temp_dir);
    if LOG_FOLDER.get().is_some() {
        command.env("LB_LOG", "debug");
    }
    command.stdout(Stdio::piped());
    command.stderr(Stdio::piped());
    command.spawn().expect("the proxy's program can be started")
}

/// Starts the proxy and waits until it has logged its addresses for operators and for clients.
pub(crate) fn start_and_find_addresses(config: &Path, temp_dir: &Path) -> StartedProcess {
    let mut child = spawn_with_config(config, temp_dir);
    let log = BufReader::new(child.stderr.take().unwrap());
    let mut log_file = log_file(&child);
    let (sender, addresses) = channel();
    // If no log is kept, the thread ends at the second address and closes the pipe: a proxy whose
    // log cannot be written must continue to run.
    thread::spawn(move || {
        let mut missing = 2;
        for line in log.lines().map_while(Result::ok) {
            if let Some(address) = logged_address(&line) {
                missing -= 1;
                // Fails only if the test has panicked.
                let _ = sender.send(address);
            }
            match &mut log_file {
                // An error is ignored: a log that cannot be kept is no fault of the proxy.
                Some(file) => drop(writeln!(file, "{line}")),
                None if missing == 0 => return,
                None => {}
            }
        }
    });
    let admin_address =
        addresses.recv_timeout(WAIT_TIMEOUT).expect("the proxy logs its address for operators in time");
    let client_address =
        addresses.recv_timeout(WAIT_TIMEOUT).expect("the proxy logs its address for clients in time");
    StartedProcess { child, client_address, admin_address }
}

/// Creates the file that keeps the log of a process; `None` if logs are not kept.
fn log_file(child: &Child) -> Option<LineWriter<File>> {
    let path = LOG_FOLDER.get()?.join(format!("{}.log", child.id()));
    File::create(path).ok().map(LineWriter::new)
}

/// Returns the address in a log line that says where the proxy listens; `None` for any other line.
fn logged_address(line: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(" call ").or_else(|| line.split_once(" listens on "))?;
    address.parse().ok()
}

/// Sends a signal, by its name without `SIG`, to a process that the test program has started.
///
/// # Panics
/// If the harness does not support the signal, or the process cannot be signalled.
pub fn signal(child: &Child, name: &str) {
    let number = match name {
        "HUP" => Signal::HUP,
        "TERM" => Signal::TERM,
        "USR1" => Signal::USR1,
        "STOP" => Signal::STOP,
        "CONT" => Signal::CONT,
        _ => panic!("the harness does not support the signal {name:?}"),
    };
    let pid = Pid::from_child(child);
    rustix::process::kill_process(pid, number).expect("the process can be signalled");
}

/// Holds a process up while another thread has its [`Child`]. The owner must not wait for the process
/// meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct HoldUp(Pid);

impl HoldUp {
    /// Creates the means to hold a process up.
    pub fn of(child: &Child) -> HoldUp {
        HoldUp(Pid::from_child(child))
    }

    /// Stops the process for this time.
    ///
    /// # Panics
    /// If the process cannot be signalled.
    pub fn hold_up(self, time: Duration) {
        rustix::process::kill_process(self.0, Signal::STOP).expect("the process can be stopped");
        thread::sleep(time);
        rustix::process::kill_process(self.0, Signal::CONT).expect("the process can be continued");
    }
}

/// Waits until a process exits on its own; returns its exit status and its output.
///
/// # Panics
/// If the process does not exit within [`WAIT_TIMEOUT`].
pub fn wait_for_exit(mut child: Child) -> Output {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < deadline, "the process has not exited within {WAIT_TIMEOUT:?}");
        thread::sleep(POLL_INTERVAL);
    }
    child.wait_with_output().unwrap()
}

/// Returns the memory of a process that no file backs, in KB; 0 once the process has ended.
pub fn anonymous_memory_kb(process: &Child) -> u64 {
    let path = format!("/proc/{}/smaps_rollup", process.id());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("Pss_Anon:"));
    line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok()).unwrap_or(0)
}
