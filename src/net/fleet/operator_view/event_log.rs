//! The lines of the log about the membership of a fleet and its quota.

use pinetrail_membership::{MemberRecord, MembershipEvent, NameConflict, NameHolder, State};
use pinetrail_quota::QuotaEvent;

/// The line about a member whose settings of the quota differ.
pub(in crate::net::fleet) const QUOTA_SETTINGS_MISMATCH_LINE: &str =
    "ERROR: a member has other founders, size or times of the quota than this one: they do not share it";

/// The line of an event of the membership.
pub(in crate::net::fleet) fn membership_log_line(event: &MembershipEvent) -> String {
    match event {
        MembershipEvent::Member { entry, before } => member_line(entry, *before),
        MembershipEvent::Forgotten(name) => format!("{name} is remembered no longer"),
        MembershipEvent::PartitionSide(side) => format!("this is the side: {side}"),
        MembershipEvent::NameConflict(NameConflict { other, holder: NameHolder::OtherProcess }) => format!(
            "ERROR: another process at {other} has this one's name and started later: that one counts in the fleet, this one is out of it"
        ),
        MembershipEvent::NameConflict(NameConflict { other, holder: NameHolder::ThisProcess }) => {
            format!("ERROR: another process at {other} has this one's name and started earlier: this one counts in the fleet")
        }
        MembershipEvent::NameConflictEnded => "the other process of this one's name is gone".to_owned(),
        MembershipEvent::FleetFull(at, size) => format!("ERROR: {at} has no room for this member: its fleet.size is {size}"),
        MembershipEvent::Rejoined => "others had taken this member for failed; it is back".to_owned(),
        MembershipEvent::Paused(pause) => {
            format!("this process did not run for {} ms", pause.as_millis())
        }
    }
}

/// The line of an event of the quota; none for a granted lease, since leases are renewed
/// continuously.
pub(in crate::net::fleet) fn quota_log_line(event: &QuotaEvent) -> Option<String> {
    match event {
        QuotaEvent::LeaseGranted(_) => None,
        QuotaEvent::LeaseExpired => {
            Some("its lease has ended: this process has only its guaranteed minimum".to_owned())
        }
        QuotaEvent::BecameLeader => Some("this process is the leader: it leases the quota".to_owned()),
        QuotaEvent::LostLeadership => Some("this process is no longer the leader".to_owned()),
        QuotaEvent::ViewChanged(number) => Some(format!("view {number} is the latest")),
    }
}

fn member_line(record: &MemberRecord, before: Option<(u64, State)>) -> String {
    let MemberRecord { name, address, state, .. } = record;
    match before {
        None => format!("{name} at {address} is {state}"),
        Some((start, was)) if start != record.start => {
            format!("{name} is a new process, at {address}: {state}; the one before was {was}")
        }
        Some((_, was)) => format!("{name} at {address}: {was} -> {state}{}", reason(*state)),
    }
}

/// The reason for a state, if the state does not imply it.
fn reason(state: State) -> &'static str {
    match state {
        State::Suspect => ", no answer",
        State::Failed => ", no objection in time",
        State::Alive | State::Left => "",
    }
}
