//! One process of a member, from its start until it is ended.

use crate::process::signal;
use crate::WAIT_TIMEOUT;
use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// How often it is checked whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One process of a member.
pub struct Process {
    pub(super) child: Child,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where operators call.
    pub admin_address: SocketAddr,
    pub(super) ended: bool,
}

impl Process {
    /// Waits for its end by itself.
    pub fn wait_for_exit(mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                self.ended = true;
                return status;
            }
            assert!(Instant::now() < until, "the program does not end");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            // It may have ended by itself. A stopped one is ended as well.
            let _ = self.child.kill().and_then(|()| self.child.wait());
        }
    }
}

/// A process that may not be ready yet.
pub struct StartingProcess {
    pub(super) child: Option<Child>,
    /// The lines of its log, as they come.
    pub(super) lines: Receiver<String>,
}

impl StartingProcess {
    /// Sends it a signal.
    ///
    /// # Panics
    /// If it has been waited for already.
    pub fn signal(&self, name: &str) {
        signal(self.child.as_ref().expect("it is not ready yet"), name);
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}
