//! The decisions of the leader about the open change. Read [`next_step`] first.
//!
//! Each decision is a function of what the leader has observed and of the time; `leader` and
//! `change_steps` carry out the decisions.

use crate::{ChangeSummary, LeaseTable, Outcome, Stage, Timing};
use tokio::time::Instant;

/// The stage in which processes that are not ready get no more leases.
const STRICT: Stage = Stage::Preparing { strict: true };

/// The open change, as this process observes it.
pub(super) struct ObservedChange {
    pub(super) change: ChangeSummary,
    /// The time at which this process first saw the change.
    first_seen: Instant,
    /// The time at which this process first saw the change in its present stage.
    stage_since: Instant,
    /// The time before which the change does not close: leases blocked its last commit until then.
    pub(super) close_not_before: Instant,
}

impl ObservedChange {
    /// Returns the observation of the change that is open now. The times of the previous
    /// observation are kept as far as they apply to the same change and stage.
    pub(super) fn update(
        previous: Option<ObservedChange>,
        change: ChangeSummary,
        now: Instant,
    ) -> ObservedChange {
        match previous.filter(|previous| previous.change.id == change.id) {
            Some(previous) if previous.change == change => previous,
            Some(previous) => ObservedChange { change, stage_since: now, ..previous },
            None => ObservedChange { change, first_seen: now, stage_since: now, close_not_before: now },
        }
    }
}

/// The facts from which a voter decides the next step of the open change.
pub(super) struct LeaderView {
    /// The name of a process that rejected the change, and its reason.
    pub(super) rejection: Option<String>,
    /// The number of connected voters with a lower id than this voter; 0 at the leader.
    pub(super) leader_rank: u32,
    /// The names of the processes for which the change waits.
    pub(super) waiting_for: Vec<String>,
}

/// The next step of a change.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum LeaderStep {
    /// No step now, or another voter takes the step.
    Wait,
    /// Finish the change.
    Finish { outcome: Outcome, reason: String },
    /// Collect the processes that are not ready, then decide by [`next_stage`].
    CollectReadiness,
    /// Commit the change if no lease blocks the commit.
    Commit,
    /// Move the change to this stage.
    Advance(Stage),
}

/// Decides the next step of an open change.
///
/// Inputs: the change with the times since when it is open and in its stage; the rejection of a
/// process, the rank of this voter, and the processes for which the change waits;
/// [`Timing::closing_timeout`] and [`Timing::change_timeout`]; the time.
/// Reason: a voter that is not the leader only ends a stage that takes too long, and the higher its
/// rank the longer it waits, so that a change ends even if its leader has crashed.
/// Source: Rystsov, "CASPaxos" (2018): no stable leader is required, since each step is agreed.
///
/// Note: while a change is closing, no voter grants or renews an admission lease. A process that
/// has not learnt of the change admits requests until its lease expires; one that fails open
/// continues to admit requests after that.
pub(super) fn next_step(
    observed: &ObservedChange,
    view: LeaderView,
    timing: &Timing,
    now: Instant,
) -> LeaderStep {
    if let Some(reason) = view.rejection {
        return LeaderStep::Finish { outcome: Outcome::Rejected, reason };
    }
    let is_leader = view.leader_rank == 0;
    let timeout_factor = 1 + view.leader_rank;
    match observed.change.stage {
        Stage::Closing if now - observed.stage_since > timing.closing_timeout * timeout_factor => {
            LeaderStep::Advance(STRICT)
        }
        Stage::Closing if is_leader => LeaderStep::Commit,
        Stage::Preparing { .. } if now - observed.first_seen > timing.change_timeout * timeout_factor => {
            let reason = format!("it waited for {}", view.waiting_for.join(", "));
            LeaderStep::Finish { outcome: Outcome::Abandoned, reason }
        }
        Stage::Preparing { .. } if is_leader => LeaderStep::CollectReadiness,
        Stage::Closing | Stage::Preparing { .. } => LeaderStep::Wait,
    }
}

/// Returns the stage to which a change that is preparing moves, or `None` if the change stays in
/// its stage.
///
/// Inputs: the change with the time since when it is in its stage; the lease holders that are not
/// ready for the change; [`Timing::readiness_timeout`]; the time.
/// Reason: a change closes when every lease holder can make it active at once, so that the closing
/// stage is short. A holder that does not become ready in time loses its lease, so that it cannot
/// block the change indefinitely.
pub(super) fn next_stage(
    observed: &ObservedChange,
    unready: &[String],
    timing: &Timing,
    now: Instant,
) -> Option<Stage> {
    if unready.is_empty() && now >= observed.close_not_before {
        Some(Stage::Closing)
    } else if observed.change.stage != STRICT && now - observed.stage_since > timing.readiness_timeout {
        Some(STRICT)
    } else {
        None
    }
}

/// Whether a change that is closing may be put to the vote.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum CommitDecision {
    /// The change may not be put to the vote yet: a process that is ready has not released its
    /// lease.
    Wait,
    /// The change may be put to the vote, with this reason for its outcome.
    Commit { reason: String },
}

/// Decides whether a change that is closing may be put to the vote.
///
/// Inputs: the leases that this voter granted, the id of the change, and the time.
/// Reason: a process that is ready releases its lease within one message; a vote before that would
/// be blocked by the lease.
///
/// The reason for the outcome names the processes that fail open, in words that operators know;
/// without such processes the reason is empty.
pub(super) fn decide_commit(leases: &LeaseTable, change_id: &str, now: Instant) -> CommitDecision {
    if leases.holders(now, change_id).iter().any(|holder| holder.is_ready) {
        return CommitDecision::Wait;
    }
    let failing_open = leases.failing_open(now);
    if failing_open.is_empty() {
        return CommitDecision::Commit { reason: String::new() };
    }
    let names = failing_open.join(", ");
    let reason = format!("without a permit, and perhaps still by the version before: {names}");
    CommitDecision::Commit { reason }
}

#[cfg(test)]
mod tests;
