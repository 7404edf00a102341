//! The leader's record of granted leases: [`LeaseLedger`], which determines the parts that may
//! still be in use. Read [`LeaseLedger::grant`] first.

use crate::message::{LeaseRequest, RequestTime};
use crate::settings::Settings;
use crate::view::Process;
use crate::{Parts, LEASABLE_PARTS};
use pinetrail_clock::Timestamp;
use std::collections::BTreeMap;

/// The decision of the leader on a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseDecision {
    /// These parts are granted to the holder.
    Granted(Parts),
    /// No parts are free for this holder yet.
    NoFreeParts,
}

/// A lease that was granted to a holder for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    /// The time at which the holder sent the request.
    request_sent_at: RequestTime,
    parts: Parts,
    /// The time until which attempts that began under the lease may run, by the leader's clock.
    in_use_until: Timestamp,
}

/// The leases that a leader has granted in its term. Timestamps are of the leader's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaseLedger {
    /// The time before which processes may use leases of an earlier leader that are not recorded
    /// here.
    complete_at: Timestamp,
    granted: BTreeMap<Process, Vec<GrantedLease>>,
    /// The time at which the last request of each process arrived.
    requested_at: BTreeMap<Process, Timestamp>,
}

impl LeaseLedger {
    /// Creates the ledger of a term that begins now.
    pub(crate) fn new(now: Timestamp, settings: &Settings) -> LeaseLedger {
        LeaseLedger {
            complete_at: now + settings.max_use_duration(),
            granted: BTreeMap::new(),
            requested_at: BTreeMap::new(),
        }
    }

    /// Decides on a lease request and records the decision: how many parts the holder gets (see
    /// [`LeaseLedger::allocate`]), and until when these parts count as in use.
    ///
    /// Inputs: the time now (leader's clock); the request (holder's clock, parts that are held);
    /// the durations of leases and attempts and the clock skew from the settings.
    /// Reason: parts may be granted to another holder only when no attempt can still run under an
    /// earlier lease of them.
    /// Source: Gray and Cheriton 1989.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        holder: Process,
        request: LeaseRequest,
        settings: &Settings,
    ) -> LeaseDecision {
        self.remove_expired(now);
        self.record_requester(now, holder, settings);
        self.shorten_replaced(now, holder, request, settings);
        let parts = self.allocate(now, holder, request, settings);
        self.record(now, holder, request, parts, settings);
        match parts {
            0 => LeaseDecision::NoFreeParts,
            parts => LeaseDecision::Granted(parts),
        }
    }

    /// Removes the leases under which attempts can no longer run.
    fn remove_expired(&mut self, now: Timestamp) {
        self.granted.retain(|_, leases| {
            leases.retain(|lease| now < lease.in_use_until);
            !leases.is_empty()
        });
    }

    /// Records a process as a requester, and removes requesters that have sent no request for as
    /// long as parts may stay in use.
    fn record_requester(&mut self, now: Timestamp, holder: Process, settings: &Settings) {
        let max_silence = settings.max_use_duration();
        self.requested_at.insert(holder, now);
        self.requested_at.retain(|_, at| *at + max_silence > now);
    }

    /// Shortens the time until which the parts of replaced leases of the holder count as in use.
    ///
    /// Inputs: the time now (leader's clock); when the holder requested the lease that it holds now
    /// (holder's clock); the longest attempt and the clock skew.
    /// Reason: a holder begins no attempt under a replaced lease, so only attempts that already run
    /// can use the parts of that lease.
    /// Source: docs/quota-design.md.
    fn shorten_replaced(
        &mut self,
        now: Timestamp,
        holder: Process,
        request: LeaseRequest,
        settings: &Settings,
    ) {
        let last_attempt_ends = now + settings.with_skew(settings.max_attempt_duration);
        let Some(own) = self.granted.get_mut(&holder) else { return };
        for lease in own.iter_mut().filter(|lease| lease.request_sent_at < request.held_since) {
            lease.in_use_until = lease.in_use_until.min(last_attempt_ends);
        }
    }

    /// Returns the size of a lease to grant, in parts per billion: an equal part for each
    /// requester, to which a lease grows by steps.
    ///
    /// Inputs: the time now (leader's clock); the parts that the holder has; the number of
    /// requesters; the parts that other holders may use; the number of growth steps.
    /// Reason: until the ledger is complete, the parts in use are within the limit but not all
    /// recorded here, so leases are renewed but do not grow. After that they grow by steps, since a
    /// sudden increase would cause a burst of requests at the origin.
    /// Source: Gray and Cheriton 1989 (a server that recovers waits for the longest lease).
    fn allocate(&self, now: Timestamp, holder: Process, request: LeaseRequest, settings: &Settings) -> Parts {
        let equal_part = LEASABLE_PARTS / self.requested_at.len().max(1) as Parts;
        if now < self.complete_at {
            return equal_part.min(request.held_parts);
        }
        let step = equal_part.div_ceil(settings.growth_steps);
        let others = self.granted.iter().filter(|(process, _)| **process != holder);
        let used_by_others: Parts = others.map(|(_, leases)| max_parts_in_use(leases)).sum();
        let free = LEASABLE_PARTS.saturating_sub(used_by_others);
        equal_part.min(request.held_parts + step).min(free)
    }

    /// Records a new lease. If the holder's present lease was granted by an earlier leader, that
    /// lease is recorded too, since its parts are in use as well.
    fn record(
        &mut self,
        now: Timestamp,
        holder: Process,
        request: LeaseRequest,
        parts: Parts,
        settings: &Settings,
    ) {
        let in_use_until = now + settings.max_use_duration();
        let own = self.granted.entry(holder).or_default();
        let is_recorded = own
            .iter()
            .any(|lease| lease.request_sent_at == request.held_since && lease.parts >= request.held_parts);
        if request.held_parts > 0 && !is_recorded {
            own.push(GrantedLease {
                request_sent_at: request.held_since,
                parts: request.held_parts,
                in_use_until,
            });
        }
        own.push(GrantedLease { request_sent_at: request.sent_at, parts, in_use_until });
    }
}

/// Returns the most parts that a holder may use at once: a holder uses one of its leases at a time.
fn max_parts_in_use(leases: &[GrantedLease]) -> Parts {
    leases.iter().map(|lease| lease.parts).max().unwrap_or(0)
}
