//! What each process of the fleet has active against what was approved: [`DriftMonitor`].
//!
//! Each process reports to all others, so that each can answer operators. The alarm is raised by
//! the quota leader alone: leadership is held by leases that end by themselves, so that at most one
//! process has it.

use super::applier::{ProxyPolicyApplier, DRIFT_CHANNEL};
use super::digest;
use super::error::RestoreError;
use crate::net::fleet::Fleet;
use crate::net::log::log;
use pinetrail_drift::{
    Alarm, Alarms, DriftDetector, DriftMessage, DriftState, NodeStatus, ProcessKey, Report, Timestamp,
    Timing, TrackedNode,
};
use pinetrail_peer_transport::{Process, TcpNetwork};
use pinetrail_policy_consensus::{ConsensusNode, ConsensusStatus, PolicyApplier};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// The pause between two reports to the others.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

struct State {
    detector: DriftDetector,
    alarms: Alarms,
    /// The number of this process's last report.
    last_sequence: u64,
    /// Since when this process itself differs from what was approved.
    differs_since: Option<Instant>,
}

/// Reports what this process has active, compares the reports of all, raises alarms, and restores
/// the approved policy here.
pub(super) struct DriftMonitor {
    fleet: Arc<Fleet>,
    node: Arc<ConsensusNode<TcpNetwork>>,
    applier: Arc<ProxyPolicyApplier>,
    /// The beginning of the detector's clock.
    started_at: Instant,
    /// After so much drift of its own this process restores the approved policy, if it is to.
    restore_after: Option<Duration>,
    /// Guards the reports and the alarms. It is not locked while the fleet or the node is called,
    /// but for the node's own identity.
    state: Mutex<State>,
    /// Alarms that this process raised.
    alarms_raised: AtomicU64,
}

impl DriftMonitor {
    /// A monitor that receives the drift messages that reach the applier.
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

    /// Reports to the others and acts on their reports. It does not return: its task ends with the
    /// runtime of the policy's thread.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            let report = self.refresh();
            self.node.broadcast(DRIFT_CHANNEL, &DriftMessage::Report(report).encode());
            self.raise_due_alarms();
            self.restore_if_due();
            sleep(REPORT_INTERVAL).await;
        }
    }

    /// Another process has sent a message; what is none is ignored.
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

    /// Brings the detector up to date with this process and with what was approved; the report of
    /// this process.
    fn refresh(&self) -> Report {
        let node_status_now = self.node.status();
        let part_digests = self.applier.active_digests();
        let now = self.now();
        let approved =
            self.node.approved_policy().and_then(|(version, text)| self.applier.approved(version, &text));
        let own_key = self.own_key();
        let connected = self.node.transport().connected_peers();
        let mut state = self.state();
        state.last_sequence += 1;
        let report = Report {
            sequence: state.last_sequence,
            version: node_status_now.active_version,
            status: node_status(node_status_now.status),
            part_digests,
            raised_alarms: state.alarms.all_raised(),
        };
        // Danger: of a name the latest process counts, connected or not: one that is cut off stays
        // listed, as silent.
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

    fn raise_due_alarms(&self) {
        let now = self.now();
        let due = {
            let mut state = self.state();
            let State { detector, alarms, .. } = &mut *state;
            alarms.due(now, detector)
        };
        // Danger: whether this process leads is asked at the moment of use.
        if due.is_empty() || !self.fleet.is_quota_leader() {
            return;
        }
        for alarm in due {
            self.raise(&alarm);
        }
    }

    fn raise(&self, alarm: &Alarm) {
        self.alarms_raised.fetch_add(1, Ordering::Relaxed);
        self.state().alarms.mark_raised(alarm.process.clone());
        let message = DriftMessage::AlarmRaised(alarm.process.clone());
        self.node.broadcast(DRIFT_CHANNEL, &message.encode());
        let parts = if alarm.differing_parts.is_empty() {
            String::new()
        } else {
            format!(" in {}", alarm.differing_parts.join(", "))
        };
        log(&format!(
            "ALARM: policy: {} {}{parts}: it does not have active what was approved",
            alarm.process.name,
            alarm.state.as_str()
        ));
    }

    /// Restores the approved version, if this process has differed from it for long enough and is
    /// to restore it by itself.
    fn restore_if_due(&self) {
        let Some(restore_after) = self.restore_after else { return };
        let is_due = {
            let own_key = self.own_key();
            let mut state = self.state();
            let differs = state
                .detector
                .nodes()
                .any(|node| node.process == own_key && node.state == DriftState::Differs);
            if differs {
                state.differs_since.get_or_insert_with(Instant::now).elapsed() >= restore_after
            } else {
                state.differs_since = None;
                false
            }
        };
        if is_due {
            // Where it fails, the version is not the approved one any more, or not known: the next
            // round looks again.
            let _ = self.restore();
        }
    }

    /// Applies the approved version again; which one that is.
    pub(super) fn restore(&self) -> Result<u64, RestoreError> {
        let (version, text) = self.node.approved_policy().ok_or(RestoreError::ApprovedUnknown)?;
        if self.node.status().active_version != version {
            return Err(RestoreError::OtherVersion);
        }
        self.applier.apply(version, &text);
        log(&format!("policy: version {version} is active again, as it was approved"));
        self.state().differs_since = None;
        Ok(version)
    }

    /// The states of all processes, as `GET /control/drift` has them.
    pub(super) fn to_json(&self) -> Value {
        // What is active here is looked at now.
        self.refresh();
        let clock_began_ms = unix_millis().saturating_sub(self.now().as_millis());
        let state = self.state();
        let nodes: Vec<Value> = state.detector.nodes().map(|node| node_json(&node, clock_began_ms)).collect();
        let approved = state.detector.approved();
        let approved_digest = digest::combined_digest(&approved.part_digests);
        json!({
            "approved": {"version": approved.version, "digest": hex(approved_digest)},
            "seen_by": &*self.node.process().name,
            "nodes": nodes,
        })
    }

    /// How many alarms this process raised.
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

fn node_status(status: ConsensusStatus) -> NodeStatus {
    match status {
        ConsensusStatus::Steady | ConsensusStatus::Changing => NodeStatus::Admitting,
        ConsensusStatus::Fenced => NodeStatus::Fenced,
        ConsensusStatus::CatchingUp => NodeStatus::CatchingUp,
    }
}

/// One process, with its times in Unix milliseconds.
fn node_json(node: &TrackedNode, clock_began_ms: u64) -> Value {
    json!({
        "name": node.process.name,
        "start": node.process.start,
        "state": node.state.as_str(),
        "version": node.report.version,
        "digest": hex(digest::combined_digest(&node.report.part_digests)),
        "parts": node.differing_parts,
        "since_ms": clock_began_ms + node.state_since.as_millis(),
        "heard_ms": clock_began_ms + node.last_report_at.as_millis(),
    })
}

fn hex(digest: u64) -> String {
    format!("{digest:016x}")
}

#[allow(clippy::disallowed_methods, reason = "shown to operators")]
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
