//! The lease renewal task: requests and renews the admission lease of this process from one voter,
//! and reports to that voter whether this process is ready for the open change.

use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{ChangeReadiness, LeaseExpiryMode, LeaseRequest, Stage, VoterId};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use tokio::time::{sleep, timeout, Instant};

/// The divisor of the renewal interval that gives the pause after a request without a reply.
const UNANSWERED_PAUSE_DIVISOR: u32 = 20;

/// The state of this process that a lease request reports. When the state changes, a new request is
/// sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportedState {
    version: u64,
    wants_lease: bool,
    readiness: Option<ChangeReadiness>,
    /// The epoch of the lease in which a grant counts.
    epoch: u64,
}

/// Whether a voter replied to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Replied,
    TimedOut,
}

impl<N: Network> ConsensusNode<N> {
    /// Runs the lease renewal task for one voter. The task ends with the runtime of the node.
    pub(super) async fn renew_lease(self: Arc<Self>, voter: VoterId) {
        let mut sequence = 0;
        let mut last_reported = None;
        loop {
            sequence += 1;
            let reported = self.reported_state();
            // The lease counts from before its request is sent, so that it expires at its holder
            // before it expires at the voter.
            let requested_at = Instant::now();
            let outcome = self.request_lease(voter, sequence, &reported, requested_at).await;
            if outcome == RequestOutcome::Replied {
                last_reported = Some(reported);
            }
            self.wait_for_renewal(requested_at, last_reported.as_ref(), outcome).await;
        }
    }

    /// Returns the state to report, which decides whether this process requests its lease now or
    /// reports that it released the lease.
    ///
    /// Inputs: the stage of the open change, and whether the lease is released.
    /// Reason: voters vote for a change as soon as the lease holders have released their leases, so
    /// that a process must not report a release before it has released its lease.
    /// Source: Gray and Cheriton, "Leases" (1989): relinquishing a lease.
    fn reported_state(&self) -> ReportedState {
        let state = self.state();
        let open_change = state.agreed.open_change.as_ref();
        let is_closing = open_change.is_some_and(|change| change.stage == Stage::Closing);
        ReportedState {
            version: state.active_version,
            wants_lease: !(is_closing && self.lease.is_released()),
            readiness: state.readiness.clone(),
            epoch: self.lease.epoch(),
        }
    }

    /// Requests the lease once, and records the grant if the voter grants it.
    async fn request_lease(
        &self,
        voter: VoterId,
        sequence: u64,
        reported: &ReportedState,
        requested_at: Instant,
    ) -> RequestOutcome {
        let request = LeaseRequest {
            sequence,
            version: reported.version,
            wants_lease: reported.wants_lease,
            readiness: reported.readiness.clone(),
            fails_open: self.settings.lease_expiry_mode == LeaseExpiryMode::FailOpen,
        };
        let reply = self.request_from_voter(voter, &Message::RequestLease(request)).await;
        let Some(Reply::Lease { is_granted, summary }) = reply else {
            return RequestOutcome::TimedOut;
        };
        if is_granted {
            self.record_grant(voter, reported.epoch, requested_at + self.settings.timing.lease_duration);
        }
        let source = self.voter_process(voter).unwrap_or_else(|| self.settings.process.clone());
        self.learn_summary(&source, summary);
        RequestOutcome::Replied
    }

    /// Waits until the renewal is due, or until the state of this process differs from the state
    /// that was last reported to the voter. Other changes cause no request.
    async fn wait_for_renewal(
        &self,
        requested_at: Instant,
        last_reported: Option<&ReportedState>,
        outcome: RequestOutcome,
    ) {
        let interval = self.settings.timing.renewal_interval;
        let next_request = requested_at + interval;
        loop {
            let seen = self.changes.count();
            if last_reported != Some(&self.reported_state()) {
                // Requests to a voter that does not reply must not become a busy loop.
                if outcome == RequestOutcome::TimedOut {
                    sleep(self.jittered(interval / UNANSWERED_PAUSE_DIVISOR)).await;
                }
                return;
            }
            let remaining = next_request.saturating_duration_since(Instant::now());
            if remaining.is_zero() || timeout(remaining, self.changes.changed_since(seen)).await.is_err() {
                return;
            }
        }
    }

    fn record_grant(&self, voter: VoterId, epoch: u64, expiry: Instant) {
        let was_held = self.lease.valid_until(Instant::now()).is_some();
        self.lease.grant(voter, epoch, expiry);
        let is_held = self.lease.valid_until(Instant::now()).is_some();
        if is_held && !was_held {
            self.state().has_held_lease = true;
            self.notify_changed();
        }
    }
}
