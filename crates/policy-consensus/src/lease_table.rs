//! The admission leases that a voter granted, by its own clock. Read [`LeaseTable`] first.
//!
//! While a lease for another version may be held, the voter votes for no state. Nothing here waits.

use crate::{
    BlockingLease, ChangeReadiness, LeaseHolder, LeaseRequest, Readiness, ReplicatedState, Stage,
    StateSummary, Timing,
};
use pinetrail_peer_transport::Process;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Stands for the unknown holders of leases that the process before this one granted. Operators
/// read it in the status of a change, so its words stay as they are.
const UNKNOWN_HOLDER: &str = "who was permitted before a founder started";

/// What a voter knows of a process that requests leases.
#[derive(Clone, Debug)]
struct Holder {
    /// The number of its last request.
    sequence: u64,
    /// The version of its lease.
    version: u64,
    /// Until when it may hold a lease; `None` if it has none, or released it.
    lease_until: Option<Instant>,
    /// When its last request came.
    last_request: Instant,
    readiness: Option<ChangeReadiness>,
    fails_open: bool,
}

impl Holder {
    fn new(now: Instant) -> Holder {
        Holder {
            sequence: 0,
            version: 0,
            lease_until: None,
            last_request: now,
            readiness: None,
            fails_open: false,
        }
    }

    /// Until when it may hold a lease, if that is not over.
    fn unexpired_lease(&self, now: Instant) -> Option<Instant> {
        self.lease_until.filter(|until| *until > now)
    }

    fn is_ready_for(&self, change_id: &str) -> bool {
        self.readiness.as_ref().is_some_and(|readiness| readiness.is_ready_for(change_id))
    }
}

/// What a voter knows of the agreed state when it decides about a lease.
#[derive(Clone, Copy, Debug)]
pub struct VoterView<'a> {
    /// What is known to be agreed.
    pub agreed: &'a StateSummary,
    /// The version of the state that the voter accepted last; 0 if it accepted none.
    pub accepted_version: u64,
}

impl VoterView<'_> {
    /// Whether leases for this version may be granted: it is agreed, and the voter has not voted
    /// for a later one.
    fn allows_version(&self, version: u64) -> bool {
        version == self.agreed.version
            && self.accepted_version <= self.agreed.version
            && self.agreed.version > 0
    }

    /// Whether the stage of the open change allows leases for the version before it.
    fn stage_allows(&self, holder: &Holder) -> bool {
        let Some(change) = &self.agreed.open_change else {
            return true;
        };
        match change.stage {
            Stage::Preparing { strict: false } => true,
            Stage::Preparing { strict: true } => holder.is_ready_for(&change.id),
            Stage::Closing => false,
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
    /// The table of a voter that has just started.
    #[must_use]
    pub fn new(timing: Timing, now: Instant) -> LeaseTable {
        LeaseTable { timing, started_at: now, holders: BTreeMap::new() }
    }

    /// Decides about the request of a process. Returns whether the lease is granted.
    pub fn request(
        &mut self,
        now: Instant,
        process: &Process,
        request: LeaseRequest,
        view: VoterView<'_>,
    ) -> bool {
        let holder = self.holders.entry(process.clone()).or_insert_with(|| Holder::new(now));
        // Danger: an earlier request may arrive after a later one, and would undo it.
        if request.sequence <= holder.sequence {
            return false;
        }
        holder.sequence = request.sequence;
        holder.last_request = now;
        holder.fails_open = request.fails_open;
        holder.readiness = request.readiness;
        if !request.wants_lease {
            holder.lease_until = None;
            return false;
        }
        if !view.allows_version(request.version) || !view.stage_allows(holder) {
            return false;
        }
        holder.version = request.version;
        holder.lease_until = Some(now + self.timing.lease_at_voter());
        true
    }

    /// The leases under which another version than that of this state may still be admitted. There
    /// must be no vote for the state until they have ended.
    #[must_use]
    pub fn blocking_leases(
        &self,
        now: Instant,
        state: &ReplicatedState,
        accepted_version: u64,
    ) -> Vec<BlockingLease> {
        let mut blocking = Vec::new();
        for (process, holder) in &self.holders {
            if holder.version == state.version {
                continue;
            }
            if let Some(until) = holder.unexpired_lease(now) {
                let holder = process.name.to_string();
                blocking.push(BlockingLease { holder, remaining_ms: remaining_ms(until, now) });
            }
        }
        // Danger: what the process before this one granted is not known here.
        if state.version != accepted_version && accepted_version > 0 {
            if let Some(until) = self.unknown_leases_until(now) {
                let holder = UNKNOWN_HOLDER.to_owned();
                blocking.push(BlockingLease { holder, remaining_ms: remaining_ms(until, now) });
            }
        }
        blocking
    }

    /// The processes that may hold a lease now, and whether they are ready for this change.
    #[must_use]
    pub fn holders(&self, now: Instant, change_id: &str) -> Vec<LeaseHolder> {
        let mut holders = Vec::new();
        for (process, holder) in &self.holders {
            if let Some(until) = holder.unexpired_lease(now) {
                holders.push(LeaseHolder {
                    name: process.name.to_string(),
                    is_ready: holder.is_ready_for(change_id),
                    remaining_ms: remaining_ms(until, now),
                });
            }
        }
        if let Some(until) = self.unknown_leases_until(now) {
            holders.push(LeaseHolder {
                name: UNKNOWN_HOLDER.to_owned(),
                is_ready: false,
                remaining_ms: remaining_ms(until, now),
            });
        }
        holders
    }

    /// Which process rejected this change, and why.
    #[must_use]
    pub fn rejection(&self, change_id: &str) -> Option<String> {
        self.holders.iter().find_map(|(process, holder)| {
            let readiness = holder.readiness.as_ref().filter(|of| of.change_id == change_id)?;
            match &readiness.readiness {
                Readiness::Rejected(reason) => Some(format!("{process}: {reason}")),
                Readiness::Ready => None,
            }
        })
    }

    /// The processes that go on without a lease: theirs has ended, and they did not release it.
    #[must_use]
    pub fn serving_without_lease(&self, now: Instant) -> Vec<String> {
        let serves =
            |holder: &Holder| holder.fails_open && holder.lease_until.is_some_and(|until| until <= now);
        let serving = self.holders.iter().filter(|(_, holder)| serves(holder));
        serving.map(|(process, _)| process.to_string()).collect()
    }

    /// Forgets processes without a lease that made no request for `idle_time`.
    ///
    /// The latest process of a name that goes on without a lease is remembered: the outcome of a
    /// change names it, however long it has been cut off.
    pub fn forget_idle(&mut self, now: Instant, idle_time: Duration) {
        let latest_starts: BTreeMap<_, _> =
            self.holders.keys().map(|process| (process.name.clone(), process.start)).collect();
        self.holders.retain(|process, holder| {
            let is_latest = latest_starts.get(&process.name) == Some(&process.start);
            let may_serve = holder.fails_open && holder.lease_until.is_some() && is_latest;
            let is_recent = now.saturating_duration_since(holder.last_request) < idle_time;
            holder.unexpired_lease(now).is_some() || may_serve || is_recent
        });
    }

    /// Until when leases may be held that the process before this one granted.
    fn unknown_leases_until(&self, now: Instant) -> Option<Instant> {
        let until = self.started_at + self.timing.lease_at_voter();
        Some(until).filter(|until| *until > now)
    }
}

/// The time until then in whole milliseconds, at least one.
fn remaining_ms(until: Instant, now: Instant) -> u64 {
    u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cfg(test)]
mod tests;
