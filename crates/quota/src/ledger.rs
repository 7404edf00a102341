//! [`LeaseLedger`]: what a leader has leased, and what may still be in use of it.

use crate::message::LeaseRequest;
use crate::settings::Settings;
use crate::view::Process;
use crate::{Parts, Time, LEASED_PARTS};
use std::collections::BTreeMap;

/// What one holder was granted for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    /// When the holder sent the request, by the holder's clock.
    request_sent_at: Time,
    parts: Parts,
    /// Until when calls that began under it may run, by this process's clock.
    in_use_until: Time,
}

/// What a leader has leased in its term. Times are in ms of the leader's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaseLedger {
    /// Before this time a process may hold a lease of an earlier leader that is not known here.
    complete_at: Time,
    granted: BTreeMap<Process, Vec<GrantedLease>>,
    /// When each process sent its last request.
    requested_at: BTreeMap<Process, Time>,
}

impl LeaseLedger {
    /// The ledger of a term that begins now.
    pub(crate) fn new(now: Time, settings: &Settings) -> LeaseLedger {
        LeaseLedger {
            complete_at: now + settings.longest_use(),
            granted: BTreeMap::new(),
            requested_at: BTreeMap::new(),
        }
    }

    /// Grants a lease; returns its parts, 0 if there is nothing for this holder yet.
    pub(crate) fn grant(
        &mut self,
        now: Time,
        holder: Process,
        request: LeaseRequest,
        settings: &Settings,
    ) -> Parts {
        self.forget_ended(now);
        self.note_requester(now, holder, settings);
        self.end_replaced(now, holder, request, settings);
        let parts = self.parts_for(now, holder, request, settings);
        let in_use_until = now + settings.longest_use();
        let own = self.granted.entry(holder).or_default();
        // Danger: what it holds by a lease of an earlier leader is in use as well.
        let is_held =
            |one: &GrantedLease| one.request_sent_at == request.held_since && one.parts >= request.held_parts;
        if request.held_parts > 0 && !own.iter().any(is_held) {
            own.push(GrantedLease {
                request_sent_at: request.held_since,
                parts: request.held_parts,
                in_use_until,
            });
        }
        own.push(GrantedLease { request_sent_at: request.sent_at, parts, in_use_until });
        parts
    }

    fn forget_ended(&mut self, now: Time) {
        self.granted.retain(|_, leases| {
            leases.retain(|one| now < one.in_use_until);
            !leases.is_empty()
        });
    }

    /// Counts the holder, and no longer those that have been silent for too long.
    fn note_requester(&mut self, now: Time, holder: Process, settings: &Settings) {
        let longest_silence = settings.longest_use();
        self.requested_at.insert(holder, now);
        self.requested_at.retain(|_, at| *at + longest_silence > now);
    }

    /// What was leased for requests before the one by which the holder holds is in use only until
    /// the calls that began under it have ended.
    fn end_replaced(&mut self, now: Time, holder: Process, request: LeaseRequest, settings: &Settings) {
        let last_call_ends = now + settings.with_skew(settings.longest_call);
        let Some(own) = self.granted.get_mut(&holder) else { return };
        for one in own.iter_mut().filter(|one| one.request_sent_at < request.held_since) {
            one.in_use_until = one.in_use_until.min(last_call_ends);
        }
    }

    /// An equal part for each that asks, approached by steps, and never more than is free.
    ///
    /// Danger: until the ledger is complete, all that holders have together is at most what there
    /// is, but not all of it is known here: what they have is renewed, and nothing more is given.
    fn parts_for(&self, now: Time, holder: Process, request: LeaseRequest, settings: &Settings) -> Parts {
        let equal_part = LEASED_PARTS / self.requested_at.len().max(1) as Parts;
        if now < self.complete_at {
            return equal_part.min(request.held_parts);
        }
        let step = equal_part.div_ceil(settings.growth_steps);
        let others = self.granted.iter().filter(|(process, _)| **process != holder);
        let used_by_others: Parts = others.map(|(_, leases)| most_parts(leases)).sum();
        let free = LEASED_PARTS.saturating_sub(used_by_others);
        equal_part.min(request.held_parts + step).min(free)
    }
}

/// The most that a holder may use at once: it uses one of its leases at a time.
fn most_parts(leases: &[GrantedLease]) -> Parts {
    leases.iter().map(|one| one.parts).max().unwrap_or(0)
}
