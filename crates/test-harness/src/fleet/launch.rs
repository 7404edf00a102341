//! Starts, replaces and kills the processes of a fleet's members.

use super::{Fleet, Process, StartingProcess};
use crate::client::call_admin;
use crate::process::spawn_with_config;
use crate::WAIT_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between checks whether a process is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Fleet {
    /// Starts a member and waits until it is ready. A member that ran before keeps its address for
    /// clients.
    pub fn start(&mut self, member: usize) {
        self.record_action(&format!("start {member}"));
        let process = self.launch(member);
        self.keep_client_address(member, process.client_address);
        self.processes[member] = Some(process);
    }

    /// Starts several members and then waits until each is ready, for members that become ready
    /// only after others have started.
    pub fn start_together(&mut self, members: &[usize]) {
        let starting: Vec<(usize, StartingProcess)> =
            members.iter().map(|member| (*member, self.start_process(*member))).collect();
        for (member, process) in starting {
            self.record_action(&format!("start {member}"));
            let process = self.wait_until_ready(member, process);
            self.keep_client_address(member, process.client_address);
            self.processes[member] = Some(process);
        }
    }

    /// Starts a process of a member without waiting until it is ready.
    pub fn start_process(&self, member: usize) -> StartingProcess {
        let mut child = spawn_with_config(&self.configs[member], &self.temp_dir);
        let lines = self.follow_log(&mut child, member);
        StartingProcess { child: Some(child), lines }
    }

    /// Starts a process with the configuration of a member and waits until it is ready.
    fn launch(&self, member: usize) -> Process {
        let starting = self.start_process(member);
        self.wait_until_ready(member, starting)
    }

    /// Waits until a process has logged its addresses and is ready.
    ///
    /// # Panics
    /// If the process does not log its addresses or is not ready in time.
    pub fn wait_until_ready(&self, member: usize, mut starting: StartingProcess) -> Process {
        let child = starting.child.take().expect("a starting process is waited for only once");
        // From here on `process` owns the child, so that a panic kills the child.
        let unknown = self.advertised_address(member);
        let mut process = Process { child, client_address: unknown, admin_address: unknown, ended: false };
        let mut client_address = None;
        let mut admin_address = None;
        while client_address.is_none() || admin_address.is_none() {
            let line =
                starting.lines.recv_timeout(WAIT_TIMEOUT).expect("the process logs its addresses in time");
            let address_after = |words: &str| line.split_once(words).and_then(|(_, at)| at.parse().ok());
            admin_address = admin_address.or(address_after(" call "));
            client_address = client_address.or(address_after(" listens on "));
        }
        process.admin_address = admin_address.unwrap_or(unknown);
        process.client_address = client_address.unwrap_or(unknown);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while call_admin(process.admin_address, "GET", "/control/ready").0 != 200 {
            assert!(Instant::now() < deadline, "member {member} is not ready within {WAIT_TIMEOUT:?}");
            thread::sleep(POLL_INTERVAL);
        }
        process
    }

    /// Adds each line of a process's log to the timeline and sends it to the returned receiver. The
    /// threads end when the process closes its output.
    fn follow_log(&self, child: &mut Child, member: usize) -> Receiver<String> {
        let log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (sender, lines) = channel();
        let (timeline, name) = (self.timeline.clone(), Fleet::name(member));
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                timeline.record(&name, line.trim_start_matches("pinetrail: "));
                // An error is ignored: the receiver is dropped once the process is ready.
                let _ = sender.send(line);
            }
        });
        // Standard output is also read, since a full pipe would block the process.
        let printed = BufReader::new(child.stdout.take().expect("standard output is piped"));
        thread::spawn(move || printed.lines().map_while(Result::ok).count());
        lines
    }

    /// Kills the process of a member.
    pub fn kill(&mut self, member: usize) {
        self.record_action(&format!("kill {member}"));
        self.processes[member] = None;
    }

    /// Removes the process of a member from the fleet and returns it; the caller ends it.
    ///
    /// # Panics
    /// If the member does not run.
    pub fn take_process(&mut self, member: usize) -> Process {
        self.processes[member].take().expect("the member is running")
    }

    /// Starts a second process of a member while the first one runs, and waits until the second is
    /// ready.
    pub fn start_second_process(&self, member: usize) -> Process {
        self.record_action(&format!("second process of {member}"));
        self.launch(member)
    }

    /// Replaces the process of a member; returns the replaced one.
    ///
    /// # Panics
    /// If the member does not run.
    pub fn replace_process(&mut self, member: usize, process: Process) -> Process {
        self.processes[member].replace(process).expect("the member is running")
    }
}
