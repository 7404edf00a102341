//! What each process of the fleet has in force against what was approved: each tells all others, and each can answer. The alarm is
//! raised by the steward of shares, an office by votes that end by themselves: at most one process holds it.

use super::applier::App;
use super::digest;
use crate::net::fleet::Fleet;
use crate::net::log::log;
use pinetrail_drift::{
    Alarm, Alarms, DriftDetector, DriftMessage, DriftState as Stand, NodeStatus, Report, Timing,
};
use pinetrail_peer_transport::TcpNetwork;
use pinetrail_policy_consensus::{ConsensusNode, ConsensusStatus, PolicyApplier};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// The number under which its words travel on the links.
pub(super) const FLOOR: u8 = 1;
/// Each process tells the others so often.
const TELL_EVERY: Duration = Duration::from_millis(400);

struct Known {
    table: DriftDetector,
    alarms: Alarms,
    number: u64,
    drifts_since: Option<Instant>,
}

/// The detector at one process.
pub(super) struct Drift {
    fleet: Arc<Fleet>,
    node: Arc<ConsensusNode<TcpNetwork>>,
    app: Arc<App>,
    began: Instant,
    restore_after: Option<Duration>,
    known: Mutex<Known>,
    raised: AtomicU64,
}

impl Drift {
    /// Nobody has told anything yet.
    pub(super) fn new(
        fleet: Arc<Fleet>,
        node: Arc<ConsensusNode<TcpNetwork>>,
        app: Arc<App>,
        restore_after: Option<Duration>,
    ) -> Arc<Drift> {
        let times = Timing::default();
        let known = Known {
            table: DriftDetector::new(times),
            alarms: Alarms::new(times),
            number: 0,
            drifts_since: None,
        };
        let drift = Arc::new(Drift {
            fleet,
            node,
            app: Arc::clone(&app),
            began: Instant::now(),
            restore_after,
            known: Mutex::new(known),
            raised: AtomicU64::new(0),
        });
        let hearing = Arc::clone(&drift);
        app.heard_by(Box::new(move |from, body| {
            let now = hearing.now();
            match DriftMessage::decode(body) {
                Some(DriftMessage::Report(report)) => {
                    let mut known = hearing.known();
                    report.raised.iter().for_each(|(name, start)| known.alarms.mark_raised(name, *start));
                    known.table.record_report(now, &from.name, from.start, report);
                }
                Some(DriftMessage::Raised(name, start)) => hearing.known().alarms.mark_raised(&name, start),
                None => {}
            }
        }));
        drift
    }

    /// Tells the others, and looks how all stand, until the process ends.
    pub(super) async fn keep(self: Arc<Self>) {
        loop {
            let report = self.look();
            self.node.broadcast(FLOOR, &DriftMessage::Report(report).encode());
            self.raise();
            self.restore_if_due();
            sleep(TELL_EVERY).await;
        }
    }

    /// What this process has in force now.
    fn look(&self) -> Report {
        let status = self.node.status();
        let version = status.active_version;
        let stands = match status.status {
            ConsensusStatus::Steady | ConsensusStatus::Changing => NodeStatus::Admits,
            ConsensusStatus::Fenced => NodeStatus::Fenced,
            ConsensusStatus::CatchingUp => NodeStatus::CatchesUp,
        };
        let (parts, now) = (self.app.in_force(), self.now());
        let approved =
            self.node.approved_policy().and_then(|(version, text)| self.app.approved(version, &text));
        let me = self.node.process().clone();
        let linked = self.node.transport().connected_peers();
        let mut known = self.known();
        known.number += 1;
        let raised = known.alarms.all_raised();
        let report = Report { number: known.number, version, status: stands, parts, raised };
        known.table.retain(|name, start| {
            // Danger: of a name the latest process counts, linked or not: who is cut off stays in the table, as silent.
            let later = linked.iter().any(|other| *other.name == *name && other.start > start);
            !(later || *me.name == *name && start != me.start)
        });
        if let Some(approved) = approved {
            known.table.set_approved(now, approved);
        }
        known.table.record_report(now, &me.name, me.start, report.clone());
        report
    }

    fn raise(&self) {
        let now = self.now();
        let due = {
            let mut known = self.known();
            let Known { table, alarms, .. } = &mut *known;
            alarms.due(now, table)
        };
        // Danger: the office is looked at when it is used.
        if due.is_empty() || !self.fleet.is_quota_leader() {
            return;
        }
        for Alarm { name, start, state, parts } in due {
            self.raised.fetch_add(1, Ordering::Relaxed);
            self.known().alarms.mark_raised(&name, start);
            self.node.broadcast(FLOOR, &DriftMessage::Raised(name.clone(), start).encode());
            let parts = if parts.is_empty() { String::new() } else { format!(" in {}", parts.join(", ")) };
            log(&format!(
                "ALARM: policy: {name} {}{parts}: it does not have in force what was approved",
                state.as_str()
            ));
        }
    }

    /// Puts the approved version in force again, if this process has drifted for long enough and is to do so by itself.
    fn restore_if_due(&self) {
        let Some(after) = self.restore_after else { return };
        let is_due = {
            let mut known = self.known();
            let me = self.node.process();
            let drifts = known.table.nodes().any(|(name, start, node)| {
                *name == *me.name && start == me.start && node.state == Stand::Differs
            });
            known.drifts_since = drifts.then(|| known.drifts_since.unwrap_or_else(Instant::now));
            known.drifts_since.is_some_and(|since| since.elapsed() >= after)
        };
        if is_due {
            // It says so in the log.
            let _ = self.restore();
        }
    }

    /// Puts the approved version in force again; which.
    pub(super) fn restore(&self) -> Result<u64, &'static str> {
        let (version, text) = self.node.approved_policy().ok_or("what was approved is not known here")?;
        if self.node.status().active_version != version {
            return Err("this process does not have the approved version: it catches up by itself");
        }
        self.app.apply(version, &text);
        log(&format!("policy: version {version} is in force again, as it was approved"));
        self.known().drifts_since = None;
        Ok(version)
    }

    /// `GET /control/drift`.
    pub(super) fn report(&self) -> Value {
        // What is in force here is looked at now.
        self.look();
        let (now, unix) = (self.now(), SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
        let began = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX).saturating_sub(now);
        let known = self.known();
        let hex = |digest: u64| format!("{digest:016x}");
        let nodes: Vec<Value> = known
            .table
            .nodes()
            .map(|(name, start, node)| {
                json!({
                    "name": name,
                    "start": start,
                    "state": node.state.as_str(),
                    "version": node.version,
                    "digest": hex(digest::whole(&node.report.parts)),
                    "parts": node.parts,
                    "since_ms": began + node.since,
                    "heard_ms": began + node.heard,
                })
            })
            .collect();
        let approved = known.table.approved();
        json!({
            "approved": {"version": approved.version, "digest": hex(digest::whole(&approved.parts))},
            "seen_by": &*self.node.process().name,
            "nodes": nodes,
        })
    }

    /// Alarms that this process raised.
    pub(super) fn alarms(&self) -> u64 {
        self.raised.load(Ordering::Relaxed)
    }

    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
