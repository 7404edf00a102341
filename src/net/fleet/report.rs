//! What operators see of a fleet: JSON at the door, lines of the log, counters.

use super::quota::Seen;
use pinetrail_membership::{MemberRecord, Membership, MembershipCounters, MembershipEvent, State};
use serde::Serialize;
use std::net::SocketAddr;

#[derive(Serialize)]
struct Report<'a> {
    #[serde(rename = "self")]
    own: &'a str,
    side: String,
    members: Vec<Member>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    seen: Option<Seen>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rival: Option<Rival>,
}

#[derive(Serialize)]
struct Member {
    name: String,
    address: SocketAddr,
    state: String,
    incarnation: u16,
    since_ms: u64,
}

#[derive(Serialize)]
struct Rival {
    address: SocketAddr,
    /// Whether it is that one which counts in the fleet.
    counts: bool,
}

/// What the door says. Times of the member are counted from `began`, in Unix milliseconds.
pub(super) fn report(members: &Membership, began: u64, seen: Option<Seen>) -> String {
    let member = |entry: MemberRecord| Member {
        name: entry.name.to_string(),
        address: entry.address,
        state: entry.state.to_string(),
        incarnation: entry.incarnation,
        since_ms: began + entry.since,
    };
    let report = Report {
        own: &members.local_id().name,
        side: members.side().to_string(),
        members: members.members().into_iter().map(member).collect(),
        seen,
        rival: members.name_conflict().map(|(address, counts)| Rival { address, counts }),
    };
    // Names and numbers have a form in JSON: nothing here fails.
    serde_json::to_string(&report).unwrap_or_default()
}

/// A line of the log.
pub(super) fn words(news: &MembershipEvent) -> String {
    match news {
        MembershipEvent::Member { entry, before } => {
            let MemberRecord { name, address, state, .. } = entry;
            match before {
                None => format!("{name} at {address} is {state}"),
                Some((start, was)) if *start != entry.start => {
                    format!("{name} is a new process, at {address}: {state}; the one before was {was}")
                }
                Some((_, was)) => format!("{name} at {address}: {was} -> {state}{}", hint(*state)),
            }
        }
        MembershipEvent::Forgotten(name) => format!("{name} is remembered no longer"),
        MembershipEvent::PartitionSide(side) => format!("this is the side: {side}"),
        MembershipEvent::NameConflict(address, true) => format!(
            "ERROR: another process at {address} has this one's name and started later: that one counts in the fleet, this one is out of it"
        ),
        MembershipEvent::NameConflict(address, false) => {
            format!("ERROR: another process at {address} has this one's name and started earlier: this one counts in the fleet")
        }
        MembershipEvent::NameConflictEnded => "the other process of this one's name is gone".to_owned(),
        MembershipEvent::FleetFull(at, size) => format!("ERROR: {at} has no room for this member: its fleet.size is {size}"),
        MembershipEvent::Rejoined => "others had taken this member for failed; it is back".to_owned(),
        MembershipEvent::Paused(ms) => format!("this process did not run for {ms} ms"),
    }
}

fn hint(state: State) -> &'static str {
    match state {
        State::Suspect => ", no answer",
        State::Failed => ", no objection in time",
        State::Alive | State::Left => "",
    }
}

macro_rules! counts {
    ($($name:ident => $shown:literal,)*) => {
        /// The counts by the names under which `stats` has them.
        pub(super) fn names(counts: &MembershipCounters, send_failures: u64) -> Vec<(&'static str, u64)> {
            vec![$(($shown, counts.$name),)* ("fleet_send_failures", send_failures)]
        }

        /// The counts of two members one after the other.
        pub(super) fn sum(a: MembershipCounters, b: MembershipCounters) -> MembershipCounters {
            MembershipCounters { $($name: a.$name + b.$name,)* }
        }
    };
}

counts! {
    probes => "fleet_probes",
    probes_indirect => "fleet_probes_indirect",
    probes_failed => "fleet_probes_failed",
    failed => "fleet_members_failed",
    left => "fleet_members_left",
    returned => "fleet_returned",
    refuted => "fleet_suspicions_refuted",
    stops => "fleet_stops",
    news_sent => "fleet_news_sent",
    news_heard => "fleet_news_heard",
    datagrams_sent => "fleet_datagrams_sent",
    bytes_sent => "fleet_bytes_sent",
    datagrams_heard => "fleet_datagrams_heard",
    bytes_heard => "fleet_bytes_heard",
    dropped_foreign => "fleet_dropped_foreign",
    dropped_too_new => "fleet_dropped_too_new",
    dropped_spoilt => "fleet_dropped_spoilt",
    dropped_other_fleet => "fleet_dropped_other_fleet",
    dropped_no_room => "fleet_dropped_no_room",
}
