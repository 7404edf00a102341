//! The admission leases that a voter granted, timed by its own clock. Read [`LeaseTable`] first.
//!
//! The voter votes for a state only while no lease for another version may be held. No function
//! here waits.

use crate::{
    BlockingLease, ChangeReadiness, LeaseHolder, LeaseRequest, Readiness, ReplicatedState, Stage,
    StateSummary, Timing,
};
use pinetrail_peer_transport::Process;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The name of the unknown holders of leases that the previous process of this voter granted. The
/// name is part of the status of a change, which operators read.
const UNKNOWN_HOLDER: &str = "who was permitted before a founder started";

/// A voter's decision about a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// The lease is granted or renewed.
    Granted,
    /// The lease is not granted.
    Rejected(LeaseRejection),
}

/// The reason why a voter does not grant a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseRejection {
    /// A later request of the process has arrived before this one.
    OutdatedRequest,
    /// The process released its lease.
    Released,
    /// The version of the process is not agreed, or the voter has accepted a later one.
    OtherVersion,
    /// The open change requires that lease holders are ready for it, and the process is not.
    NotReady,
    /// The open change is closing.
    ChangeClosing,
}

/// The lease of a process, as the voter that granted it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderLease {
    /// No lease was granted, or the process released its lease.
    NotHeld,
    /// A lease was granted for a version until this time, which may have passed.
    Granted { version: u64, until: Instant },
}

/// A process that requests leases from this voter.
#[derive(Clone, Debug)]
struct Holder {
    /// The sequence number of the process's last request.
    sequence: u64,
    lease: HolderLease,
    /// The time at which the last request of the process arrived.
    last_request: Instant,
    readiness: Option<ChangeReadiness>,
    fails_open: bool,
}

impl Holder {
    fn new(now: Instant) -> Holder {
        Holder {
            sequence: 0,
            lease: HolderLease::NotHeld,
            last_request: now,
            readiness: None,
            fails_open: false,
        }
    }

    /// Returns the time for which the process may still hold its lease, or `None` if it holds none.
    fn remaining(&self, now: Instant) -> Option<Duration> {
        match self.lease {
            HolderLease::Granted { until, .. } if until > now => Some(truncated_to_milliseconds(until - now)),
            _ => None,
        }
    }

    fn has_lease_for(&self, version: u64) -> bool {
        matches!(self.lease, HolderLease::Granted { version: granted, .. } if granted == version)
    }

    /// Returns whether the process fails open now: its lease has expired, and the process did not
    /// release it.
    fn is_failing_open(&self, now: Instant) -> bool {
        self.fails_open && matches!(self.lease, HolderLease::Granted { until, .. } if until <= now)
    }

    fn is_ready_for(&self, change_id: &str) -> bool {
        self.readiness.as_ref().is_some_and(|readiness| readiness.is_ready_for(change_id))
    }
}

/// The agreed state and the accepted version on which a voter bases its decisions about leases.
#[derive(Clone, Copy, Debug)]
pub struct VoterView<'a> {
    /// The latest state that is known to be agreed.
    pub agreed: &'a StateSummary,
    /// The version of the state that the voter accepted last; 0 if it accepted none.
    pub accepted_version: u64,
}

impl VoterView<'_> {
    /// Returns the reason why a lease must not be granted, or `None` if the lease may be granted.
    ///
    /// Inputs: the agreed state with its open change, the version that the voter accepted last, and
    /// the version and the readiness of the process.
    /// Reason: leases are granted only for the agreed version, and before a change is committed
    /// only to processes that can follow the change.
    /// Source: Gray and Cheriton, "Leases" (1989).
    fn rejection(&self, version: u64, holder: &Holder) -> Option<LeaseRejection> {
        let is_agreed = version == self.agreed.version && self.agreed.version > 0;
        if !is_agreed || self.accepted_version > self.agreed.version {
            return Some(LeaseRejection::OtherVersion);
        }
        // Without an open change every process may have a lease for the agreed version.
        let change = self.agreed.open_change.as_ref()?;
        match change.stage {
            Stage::Preparing { strict: true } if !holder.is_ready_for(&change.id) => {
                Some(LeaseRejection::NotReady)
            }
            Stage::Preparing { .. } => None,
            Stage::Closing => Some(LeaseRejection::ChangeClosing),
        }
    }
}

/// The leases that a voter granted.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    timing: Timing,
    started_at: Instant,
    holders: BTreeMap<Process, Holder>,
}

impl LeaseTable {
    /// Creates the empty table of a voter that has just started.
    #[must_use]
    pub fn new(timing: Timing, now: Instant) -> LeaseTable {
        LeaseTable { timing, started_at: now, holders: BTreeMap::new() }
    }

    /// Decides whether to grant or renew the lease of a process, and records until when the lease
    /// counts at this voter.
    ///
    /// Inputs: the time, the process and its request; the agreed state; the duration of a lease at
    /// a voter ([`Timing::lease_at_voter`]).
    /// Reason: a lease counts longer at its voter than at its holder, so that the holder stops
    /// first even if its clock is slower.
    /// Source: Gray and Cheriton, "Leases" (1989).
    ///
    /// Invariant: an earlier request that arrives after a later one changes nothing, because it
    /// would undo a release.
    pub fn decide(
        &mut self,
        now: Instant,
        process: &Process,
        request: LeaseRequest,
        view: VoterView<'_>,
    ) -> LeaseDecision {
        let holder = self.holders.entry(process.clone()).or_insert_with(|| Holder::new(now));
        if request.sequence <= holder.sequence {
            return LeaseDecision::Rejected(LeaseRejection::OutdatedRequest);
        }
        holder.sequence = request.sequence;
        holder.last_request = now;
        holder.fails_open = request.fails_open;
        holder.readiness = request.readiness;
        if !request.wants_lease {
            holder.lease = HolderLease::NotHeld;
            return LeaseDecision::Rejected(LeaseRejection::Released);
        }
        if let Some(rejection) = view.rejection(request.version, holder) {
            return LeaseDecision::Rejected(rejection);
        }
        let until = now + self.timing.lease_at_voter();
        holder.lease = HolderLease::Granted { version: request.version, until };
        LeaseDecision::Granted
    }

    /// Returns the leases that keep this voter from voting for a state; none if the voter may vote.
    ///
    /// Inputs: the time, the proposed state, and the version that the voter accepted last.
    /// Reason: while a lease for another version may be held, its holder may admit a request under
    /// that version.
    /// Source: Gray and Cheriton, "Leases" (1989).
    ///
    /// Invariant: a voter that has restarted does not know the leases that its previous process
    /// granted, and waits until they have expired.
    #[must_use]
    pub fn blocking_leases(
        &self,
        now: Instant,
        state: &ReplicatedState,
        accepted_version: u64,
    ) -> Vec<BlockingLease> {
        let others = self.holders.iter().filter(|(_, holder)| !holder.has_lease_for(state.version));
        let mut blocking: Vec<BlockingLease> = others
            .filter_map(|(process, holder)| {
                let remaining = holder.remaining(now)?;
                Some(BlockingLease { holder: process.name.to_string(), remaining })
            })
            .collect();
        if state.version != accepted_version && accepted_version > 0 {
            if let Some(remaining) = self.previous_leases_remaining(now) {
                blocking.push(BlockingLease { holder: UNKNOWN_HOLDER.to_owned(), remaining });
            }
        }
        blocking
    }

    /// Returns the processes that may hold a lease now, and states for each whether it is ready for
    /// the change.
    #[must_use]
    pub fn holders(&self, now: Instant, change_id: &str) -> Vec<LeaseHolder> {
        let mut holders = Vec::new();
        for (process, holder) in &self.holders {
            if let Some(remaining) = holder.remaining(now) {
                holders.push(LeaseHolder {
                    name: process.name.to_string(),
                    is_ready: holder.is_ready_for(change_id),
                    remaining,
                });
            }
        }
        if let Some(remaining) = self.previous_leases_remaining(now) {
            holders.push(LeaseHolder { name: UNKNOWN_HOLDER.to_owned(), is_ready: false, remaining });
        }
        holders
    }

    /// Returns the name of a process that rejected the change, followed by the reason.
    #[must_use]
    pub fn rejection(&self, change_id: &str) -> Option<String> {
        self.holders.iter().find_map(|(process, holder)| {
            let readiness = holder.readiness.as_ref().filter(|reported| reported.change_id == change_id)?;
            match &readiness.readiness {
                Readiness::Rejected(reason) => Some(format!("{process}: {reason}")),
                Readiness::Ready => None,
            }
        })
    }

    /// Returns the processes that fail open now: their leases have expired, and the processes did
    /// not release them.
    #[must_use]
    pub fn failing_open(&self, now: Instant) -> Vec<String> {
        let failing = self.holders.iter().filter(|(_, holder)| holder.is_failing_open(now));
        failing.map(|(process, _)| process.to_string()).collect()
    }

    /// Removes processes that hold no lease and have sent no request for `idle_timeout`.
    ///
    /// The latest process of a name that fails open stays in the table even if it lost its
    /// connections long ago, because the outcome of a change names it.
    pub fn remove_idle(&mut self, now: Instant, idle_timeout: Duration) {
        let latest_starts: BTreeMap<_, _> =
            self.holders.keys().map(|process| (process.name.clone(), process.start)).collect();
        self.holders.retain(|process, holder| {
            let is_latest = latest_starts.get(&process.name) == Some(&process.start);
            let may_fail_open = holder.fails_open && holder.lease != HolderLease::NotHeld && is_latest;
            let is_recent = now.saturating_duration_since(holder.last_request) < idle_timeout;
            holder.remaining(now).is_some() || may_fail_open || is_recent
        });
    }

    /// Returns the time for which leases that the previous process of this voter granted may still
    /// be held.
    fn previous_leases_remaining(&self, now: Instant) -> Option<Duration> {
        let until = self.started_at + self.timing.lease_at_voter();
        (until > now).then(|| truncated_to_milliseconds(until - now))
    }
}

/// Rounds a duration down to whole milliseconds, the unit of messages, but to no less than one.
fn truncated_to_milliseconds(duration: Duration) -> Duration {
    let milliseconds = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(milliseconds.max(1))
}

#[cfg(test)]
mod tests;
