//! The log lines about the events of a fleet's membership and quota.

use pinetrail_membership::{MemberRecord, MemberState, MembershipEvent, NameConflict, NameHolder};
use pinetrail_quota::QuotaEvent;

/// The log line about a member whose quota settings differ from those of this process.
pub(in crate::net::fleet) const QUOTA_SETTINGS_MISMATCH_LINE: &str =
    "ERROR: a member has other founders, size or times of the quota than this one: its quota messages are dropped, so the two do not share the quota";

/// Returns the log line for an event of the membership.
pub(in crate::net::fleet) fn membership_log_line(event: &MembershipEvent) -> String {
    match event {
        MembershipEvent::MemberChanged { record, previous } => member_line(record, *previous),
        MembershipEvent::Forgotten(name) => format!("{name} is removed from the member list"),
        MembershipEvent::PartitionSide(side) => format!("partition side of this member: {side}"),
        MembershipEvent::NameConflict(NameConflict { other, holder: NameHolder::OtherProcess }) => format!(
            "ERROR: another process at {other} has this one's name and started later: the fleet counts that process as the member and excludes this one"
        ),
        MembershipEvent::NameConflict(NameConflict { other, holder: NameHolder::ThisProcess }) => {
            format!("ERROR: another process at {other} has this one's name and started earlier: the fleet counts this process as the member and excludes that one")
        }
        MembershipEvent::NameConflictEnded => "name conflict ended: the other process with this one's name is gone".to_owned(),
        MembershipEvent::FleetFull(at, size) => format!("ERROR: {at} has no room for this member: its fleet.size is {size}"),
        MembershipEvent::Rejoined => "other members had declared this member failed; it has rejoined".to_owned(),
        MembershipEvent::Paused(pause) => {
            format!("this process did not run for {} ms; its timers are postponed by this time", pause.as_millis())
        }
    }
}

/// Returns the log line for an event of the quota; `None` for a granted lease, since leases are
/// renewed continuously.
pub(in crate::net::fleet) fn quota_log_line(event: &QuotaEvent) -> Option<String> {
    match event {
        QuotaEvent::LeaseGranted(_) => None,
        QuotaEvent::LeaseExpired => {
            Some("its lease has ended: this process may use only its guaranteed minimum".to_owned())
        }
        QuotaEvent::BecameLeader => Some("this process is the quota leader: it grants leases".to_owned()),
        QuotaEvent::LostLeadership => Some("this process is no longer the quota leader".to_owned()),
        QuotaEvent::ViewChanged(number) => Some(format!("the latest decided view of the quota is {number}")),
    }
}

fn member_line(record: &MemberRecord, before: Option<(u64, MemberState)>) -> String {
    let MemberRecord { name, address, state, .. } = record;
    match before {
        None => format!("{name} at {address} is {state}"),
        Some((start, was)) if start != record.start => {
            format!("{name} is a new process, at {address}: {state}; the previous process was {was}")
        }
        Some((_, was)) => format!("{name} at {address}: {was} -> {state}{}", reason(*state)),
    }
}

/// Returns the reason for a state as the end of a log line; empty if the state implies the reason.
fn reason(state: MemberState) -> &'static str {
    match state {
        MemberState::Suspect => ", no response to a probe",
        MemberState::Failed => ", the suspicion was not refuted in time",
        MemberState::Alive | MemberState::Left => "",
    }
}
