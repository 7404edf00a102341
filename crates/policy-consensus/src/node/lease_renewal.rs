//! Requests the admission lease of this process from one voter, again and again, and tells the
//! voter what this process makes of the open change.

use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{ChangeReadiness, LeaseExpiryMode, LeaseRequest, Stage, VoterId};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use tokio::time::{sleep, timeout, Instant};

/// A voter that did not answer is asked again after this part of the renewal interval at the
/// earliest.
const UNANSWERED_PAUSE_DIVISOR: u32 = 20;

/// What a voter is to know. A new request is due at once when it differs from what the voter knows.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportedState {
    version: u64,
    wants_lease: bool,
    readiness: Option<ChangeReadiness>,
    /// The epoch of the lease in which an answer counts.
    epoch: u64,
}

/// Whether a voter answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Received,
    Missing,
}

impl<N: Network> ConsensusNode<N> {
    /// The task of requesting leases from one voter. It ends with the runtime of the node.
    pub(super) async fn renew_lease(self: Arc<Self>, voter: VoterId) {
        let mut sequence = 0;
        let mut known_to_voter = None;
        loop {
            sequence += 1;
            let reported = self.reported_state();
            // Danger: a lease counts from before it was requested: its holder's clock ends first.
            let requested_at = Instant::now();
            let answer = self.request_lease(voter, sequence, &reported, requested_at).await;
            if answer == Answer::Received {
                known_to_voter = Some(reported);
            }
            self.wait_for_renewal(requested_at, known_to_voter.as_ref(), answer).await;
        }
    }

    /// What the voters are to know now.
    fn reported_state(&self) -> ReportedState {
        let state = self.state();
        let open_change = state.agreed.open_change.as_ref();
        let is_closing = open_change.is_some_and(|change| change.stage == Stage::Closing);
        ReportedState {
            version: state.active_version,
            // Danger: only a process that released its lease may say so: voters vote by that.
            wants_lease: !(is_closing && self.lease.is_released()),
            readiness: state.readiness.clone(),
            epoch: self.lease.epoch(),
        }
    }

    /// Requests the lease once.
    async fn request_lease(
        &self,
        voter: VoterId,
        sequence: u64,
        reported: &ReportedState,
        requested_at: Instant,
    ) -> Answer {
        let request = LeaseRequest {
            sequence,
            version: reported.version,
            wants_lease: reported.wants_lease,
            readiness: reported.readiness.clone(),
            fails_open: self.settings.lease_expiry_mode == LeaseExpiryMode::FailOpen,
        };
        let answer = self.ask_voter(voter, &Message::RequestLease(request)).await;
        let Some(Reply::Lease { is_granted, summary }) = answer else {
            return Answer::Missing;
        };
        if is_granted {
            self.take_grant(voter, reported.epoch, requested_at + self.settings.timing.lease);
        }
        let source = self.voter_process(voter).unwrap_or_else(|| self.settings.process.clone());
        self.learn_summary(&source, summary);
        Answer::Received
    }

    /// Waits until it is time to renew the lease, or the voter does not know the state of this
    /// process. Other changes are no reason to make a request.
    async fn wait_for_renewal(
        &self,
        requested_at: Instant,
        known_to_voter: Option<&ReportedState>,
        answer: Answer,
    ) {
        let interval = self.settings.timing.renewal;
        let next_request = requested_at + interval;
        loop {
            let seen = self.changes.count();
            if known_to_voter != Some(&self.reported_state()) {
                // A voter that is away must not be asked in a busy loop.
                if answer == Answer::Missing {
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

    fn take_grant(&self, voter: VoterId, epoch: u64, expiry: Instant) {
        let was_held = self.lease.valid_until(Instant::now()).is_some();
        self.lease.grant(voter, epoch, expiry);
        let is_held = self.lease.valid_until(Instant::now()).is_some();
        if is_held && !was_held {
            self.state().was_admitted = true;
            self.notify_changed();
        }
    }
}
