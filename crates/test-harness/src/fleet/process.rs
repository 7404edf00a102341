//! A process of a member, while it starts ([`StartingProcess`]) and after that ([`Process`]).

use crate::process::signal;
use crate::WAIT_TIMEOUT;
use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process of a member that has been ready. Dropping this value kills the process.
pub struct Process {
    pub(super) child: Child,
    /// The address at which clients connect.
    pub client_address: SocketAddr,
    /// The address of the admin endpoint.
    pub admin_address: SocketAddr,
    /// Whether the process has exited.
    pub(super) ended: bool,
}

impl Process {
    /// Waits until the process exits on its own; returns its exit status.
    pub fn wait_for_exit(mut self) -> ExitStatus {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child of the test program") {
                self.ended = true;
                return status;
            }
            assert!(Instant::now() < until, "the process has not exited within {WAIT_TIMEOUT:?}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends the process a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.ended {
            // An error is ignored: the process may have ended on its own. SIGKILL also ends a
            // process that is paused.
            let _ = self.child.kill().and_then(|()| self.child.wait());
        }
    }
}

/// A process of a member that may not be ready yet. Dropping this value kills the process, unless
/// [`Fleet::wait_until_ready`](super::Fleet::wait_until_ready) has taken it.
pub struct StartingProcess {
    pub(super) child: Option<Child>,
    /// Receives each line of the process's log.
    pub(super) lines: Receiver<String>,
}

impl StartingProcess {
    /// Sends the process a signal, by its name without `SIG`.
    ///
    /// # Panics
    /// If the process has been waited for.
    pub fn signal(&self, name: &str) {
        signal(self.child.as_ref().expect("the process has not been waited for"), name);
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error is ignored: the process may have ended on its own.
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}
