//! The program as a process.

use crate::WAIT;
use rustix::process::{Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

static PROGRAM: OnceLock<(PathBuf, Vec<String>)> = OnceLock::new();
static WRITTEN: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration to a file of its own.
pub(crate) fn written(config: &str) -> PathBuf {
    let number = WRITTEN.fetch_add(1, Ordering::SeqCst);
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

/// Has processes be started by this command. Without it the program beside the running test is started.
pub fn program(path: PathBuf, arguments: &[&str]) {
    // The first that is told counts.
    let _ = PROGRAM.set((path, arguments.iter().map(|argument| (*argument).to_owned()).collect()));
}

fn command() -> Command {
    let (path, arguments) = PROGRAM.get_or_init(|| {
        // Tests run from a folder beside it.
        let test = std::env::current_exe().expect("the test knows where it is");
        let folder = test.parent().and_then(Path::parent).expect("tests lie in a folder of their own");
        (folder.join("pinetrail"), Vec::new())
    });
    let mut command = Command::new(path);
    command.args(arguments);
    command
}

pub(crate) fn start_in(path: &Path, tmp: &Path) -> Child {
    let mut command = command();
    command.env("LB_CONFIG", path).env("TMPDIR", tmp).stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the proxy starts")
}

/// Starts the proxy and reads in its log where it listens and where its door is.
pub(crate) fn started(config: &Path, tmp: &Path) -> (Child, SocketAddr, SocketAddr) {
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

/// Sends a signal to a process that this one started.
pub fn signal(child: &Child, name: &str) {
    let number = match name {
        "HUP" => Signal::HUP,
        "TERM" => Signal::TERM,
        "USR1" => Signal::USR1,
        "STOP" => Signal::STOP,
        "CONT" => Signal::CONT,
        _ => panic!("no signal of these tests: {name}"),
    };
    let pid = Pid::from_child(child);
    rustix::process::kill_process(pid, number).expect("the process is there");
}

/// Waits for the program's end by itself.
pub fn end(mut child: Child) -> Output {
    let until = Instant::now() + WAIT;
    while child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < until, "the program does not end");
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().unwrap()
}
