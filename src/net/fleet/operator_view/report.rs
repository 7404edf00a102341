//! The JSON of `GET /control/fleet`: [`report`].

use pinetrail_membership::{MemberRecord, Membership, NameHolder};
use serde::Serialize;
use std::net::SocketAddr;

/// The document. Operators' tools read the serialized names of its fields.
#[derive(Serialize)]
struct Report<'a> {
    #[serde(rename = "self")]
    own_name: &'a str,
    side: String,
    members: Vec<Member>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    quota: Option<QuotaStatus>,
    #[serde(rename = "rival", skip_serializing_if = "Option::is_none")]
    name_conflict: Option<OtherProcess>,
}

#[derive(Serialize)]
struct Member {
    name: String,
    address: SocketAddr,
    state: String,
    incarnation: u16,
    since_ms: u64,
}

/// The quota of this process.
#[derive(Clone, Copy, Debug, Serialize)]
pub(in crate::net::fleet) struct QuotaStatus {
    /// The fraction of the fleet's limits that this process may use now: the guaranteed minimum
    /// plus the lease.
    #[serde(rename = "share")]
    pub fraction: f64,
    /// The fraction that this process may use without a lease: the guaranteed minimum.
    #[serde(rename = "base")]
    pub guaranteed: f64,
    /// The time until the lease expires if it is not renewed, in ms.
    pub lease_ms: u64,
    /// The number of the latest decided view that this process knows.
    pub view: u64,
    /// Whether this process is the quota leader.
    #[serde(rename = "steward")]
    pub is_leader: bool,
}

/// A process other than this one that has the same name.
#[derive(Serialize)]
struct OtherProcess {
    address: SocketAddr,
    /// Whether the other process, not this one, holds the name in the fleet.
    #[serde(rename = "counts")]
    is_name_holder: bool,
}

/// Returns the report as JSON. `started_at_unix_ms` is the Unix time at which the membership's
/// clock was 0.
pub(in crate::net::fleet) fn report(
    membership: &Membership,
    started_at_unix_ms: u64,
    quota: Option<QuotaStatus>,
) -> String {
    let member = |record: MemberRecord| Member {
        name: record.name.to_string(),
        address: record.address,
        state: record.state.to_string(),
        incarnation: record.incarnation,
        since_ms: started_at_unix_ms + record.since.as_millis(),
    };
    let report = Report {
        own_name: &membership.local_id().name,
        side: membership.side().to_string(),
        members: membership.members().into_iter().map(member).collect(),
        quota,
        name_conflict: membership.name_conflict().map(|conflict| OtherProcess {
            address: conflict.other,
            is_name_holder: conflict.holder == NameHolder::OtherProcess,
        }),
    };
    // Serialization cannot fail: all fields have a JSON form.
    serde_json::to_string(&report).unwrap_or_default()
}
