//! The thread on which policy consensus runs: [`PolicyThread`].

use super::directory::PeerDirectory;
use super::drift_monitor::DriftMonitor;
use super::error::PolicyError;
use pinetrail_peer_transport::TcpNetwork;
use pinetrail_policy_consensus::ConsensusNode;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use tokio::runtime::{Builder, Handle};

/// The components whose tasks run on the thread.
pub(super) struct PolicyTasks {
    pub(super) node: Arc<ConsensusNode<TcpNetwork>>,
    pub(super) directory: Arc<PeerDirectory>,
    pub(super) drift_monitor: Arc<DriftMonitor>,
}

/// A thread with a tokio runtime. Dropping the value signals the thread to stop, which ends all
/// tasks of the runtime.
pub(super) struct PolicyThread {
    runtime: Handle,
    /// The sending end of a channel; `None` once the thread was stopped. Dropping it closes the channel,
    /// which signals the thread to stop.
    stop: Mutex<Option<Sender<()>>>,
}

impl PolicyThread {
    /// Starts the thread and blocks until its runtime is ready.
    pub(super) fn spawn(tasks: PolicyTasks) -> Result<PolicyThread, PolicyError> {
        let (stop_sender, stop) = channel();
        let (started_sender, started) = channel();
        thread::Builder::new()
            .name("policy".to_owned())
            .spawn(move || run(tasks, &started_sender, &stop))
            .map_err(PolicyError::Thread)?;
        let runtime = started.recv().map_err(|_| PolicyError::ThreadEnded)?.map_err(PolicyError::Runtime)?;
        Ok(PolicyThread { runtime, stop: Mutex::new(Some(stop_sender)) })
    }

    /// Signals the thread to stop, which ends all tasks of the runtime.
    pub(super) fn stop(&self) {
        self.stop.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Returns a handle to the runtime of the thread, on which other threads may spawn tasks.
    pub(super) fn runtime(&self) -> &Handle {
        &self.runtime
    }
}

fn run(tasks: PolicyTasks, started: &Sender<io::Result<Handle>>, stop: &Receiver<()>) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            // Cannot fail: `spawn` waits on the receiver.
            let _ = started.send(Err(error));
            return;
        }
    };
    runtime.block_on(async {
        let _ = started.send(Ok(Handle::current()));
        tasks.node.start();
        // This task ends when the runtime is dropped.
        tokio::spawn(tasks.drift_monitor.run());
        tasks.directory.run(stop).await;
    });
}
