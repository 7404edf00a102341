//! [`DriftMonitor`]: compares the active settings of each process with the approved ones.
//!
//! Each process reports to all others, so that each can respond to operators. Only the quota leader
//! raises alarms (`alarms`): leadership is a lease, so at most one process has it. If configured, a
//! process restores the approved policy automatically (`restore`).

mod alarms;
mod restore;

use super::admin::documents;
use super::applier::{ProxyPolicyApplier, DRIFT_CHANNEL};
use crate::net::fleet::Fleet;
use pinetrail_drift::{
    Alarms, DriftDetector, DriftMessage, ProcessKey, ProcessStatus, Report, Timestamp, Timing,
};
use pinetrail_peer_transport::{Process, TcpNetwork};
use pinetrail_policy_consensus::{ConsensusNode, ConsensusStatus};
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// The pause between two reports to the other processes.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

struct State {
    detector: DriftDetector,
    alarms: Alarms,
    /// The sequence number of this process's last report.
    last_sequence: u64,
    /// The time since which the active settings of this process differ from the approved ones.
    differs_since: Option<Instant>,
}

/// Reports the active settings of this process, compares the reports of all processes, raises
/// alarms, and restores the approved policy at this process.
pub(super) struct DriftMonitor {
    fleet: Arc<Fleet>,
    node: Arc<ConsensusNode<TcpNetwork>>,
    applier: Arc<ProxyPolicyApplier>,
    /// The time at which the detector's clock is 0.
    started_at: Instant,
    /// The time after which this process restores the approved policy automatically; `None` if it
    /// does not.
    restore_after: Option<Duration>,
    /// The reports and the alarms. The lock is not held while the fleet or the node is called,
    /// except to read the node's own identity.
    state: Mutex<State>,
    /// The number of alarms that this process has raised.
    alarms_raised: AtomicU64,
}

impl DriftMonitor {
    /// Creates a monitor and registers it with the applier as the handler of drift messages.
    pub(super) fn new(
        fleet: Arc<Fleet>,
        node: Arc<ConsensusNode<TcpNetwork>>,
        applier: Arc<ProxyPolicyApplier>,
        restore_after: Option<Duration>,
    ) -> Arc<DriftMonitor> {
        let timing = Timing::default();
        let state = State {
            detector: DriftDetector::new(timing),
            alarms: Alarms::new(timing),
            last_sequence: 0,
            differs_since: None,
        };
        let monitor = Arc::new(DriftMonitor {
            fleet,
            node,
            applier: Arc::clone(&applier),
            started_at: Instant::now(),
            restore_after,
            state: Mutex::new(state),
            alarms_raised: AtomicU64::new(0),
        });
        let receiver = Arc::clone(&monitor);
        applier.set_drift_handler(Box::new(move |from, body| receiver.on_message(from, body)));
        monitor
    }

    /// Reports to the other processes at regular intervals, raises due alarms and restores the
    /// approved policy when due. Does not return: the task ends with the runtime of the policy
    /// thread.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            let report = self.refresh();
            self.node.broadcast(DRIFT_CHANNEL, &DriftMessage::Report(report).encode());
            self.raise_due_alarms();
            self.restore_if_due();
            sleep(REPORT_INTERVAL).await;
        }
    }

    /// Handles a drift message from another process; bytes that are no message are ignored.
    fn on_message(&self, from: &Process, body: &[u8]) {
        let now = self.now();
        match DriftMessage::decode(body) {
            Some(DriftMessage::Report(report)) => {
                let mut state = self.state();
                for process in &report.raised_alarms {
                    state.alarms.mark_raised(process.clone());
                }
                state.detector.record_report(now, key_of(from), report);
            }
            Some(DriftMessage::AlarmRaised(process)) => self.state().alarms.mark_raised(process),
            None => {}
        }
    }

    /// Updates the detector with the present report of this process and the approved version, and
    /// returns the report.
    ///
    /// Invariant: for each name the detector lists only the latest process, whether it is connected
    /// or not, so that a process that has lost its connections stays listed as silent.
    fn refresh(&self) -> Report {
        let current_status = self.node.status();
        let part_digests = self.applier.active_digests();
        let now = self.now();
        let approved = self
            .node
            .agreed_policy()
            .and_then(|(version, text)| self.applier.approved_digests(version, &text));
        let own_key = self.own_key();
        let connected = self.node.transport().connected_peers();
        let mut state = self.state();
        state.last_sequence += 1;
        let report = Report {
            sequence: state.last_sequence,
            version: current_status.active_version,
            status: process_status(current_status.status),
            part_digests,
            raised_alarms: state.alarms.all_raised(),
        };
        state.detector.retain(|process| {
            let is_replaced =
                connected.iter().any(|other| *other.name == *process.name && other.start > process.start);
            let is_own_predecessor = process.name == own_key.name && process.start != own_key.start;
            !is_replaced && !is_own_predecessor
        });
        if let Some(approved) = approved {
            state.detector.set_approved(now, approved);
        }
        state.detector.record_report(now, own_key, report.clone());
        report
    }

    /// Returns the drift states of all processes as the JSON of `GET /control/drift`.
    pub(super) fn to_json(&self) -> Value {
        // Otherwise the report could show settings of this process that are no longer active.
        self.refresh();
        let clock_start = unix_time().saturating_sub(Duration::from_millis(self.now().as_millis()));
        documents::drift_report(&self.state().detector, &self.node.process().name, clock_start)
    }

    /// Returns the number of alarms that this process has raised.
    pub(super) fn alarms_raised(&self) -> u64 {
        self.alarms_raised.load(Ordering::Relaxed)
    }

    fn own_key(&self) -> ProcessKey {
        key_of(self.node.process())
    }

    fn now(&self) -> Timestamp {
        let millis = self.started_at.elapsed().as_millis();
        Timestamp::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key_of(process: &Process) -> ProcessKey {
    ProcessKey { name: process.name.to_string(), start: process.start }
}

fn process_status(status: ConsensusStatus) -> ProcessStatus {
    match status {
        ConsensusStatus::Steady | ConsensusStatus::Changing => ProcessStatus::Admitting,
        ConsensusStatus::Fenced => ProcessStatus::Fenced,
        ConsensusStatus::CatchingUp => ProcessStatus::CatchingUp,
    }
}

#[allow(clippy::disallowed_methods, reason = "wall-clock time for operators; measures no duration")]
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
