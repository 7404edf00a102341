//! The results of each step: actions for the driver ([`Output`]), events for the rest of the
//! program ([`QuotaEvent`]) and counters ([`QuotaCounters`]).

use crate::leases::Lease;
use crate::message::Message;
use std::net::SocketAddr;

/// An action that the driver must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to the process at an address. The message may be lost on its way.
    Send(SocketAddr, Message),
    /// Pass an event on to the rest of the program.
    Event(QuotaEvent),
}

/// An event for the rest of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// A new lease was granted to this process, or its lease was renewed.
    LeaseGranted(Lease),
    /// The lease of this process has expired without a renewal, so that only the guaranteed minimum
    /// remains.
    LeaseExpired,
    /// This process has become the leader.
    BecameLeader,
    /// This process is no longer the leader.
    LostLeadership,
    /// The latest decided view that this process knows has changed to the view of this number.
    ViewChanged(u64),
}

/// Counters of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaCounters {
    /// Leases that this process granted as the leader.
    pub leases_granted: u64,
    /// Lease requests for which this process granted nothing as the leader.
    pub leases_rejected: u64,
    /// Leases of this process that expired without a renewal.
    pub leases_expired: u64,
    /// Terms for which this process became the leader.
    pub terms_led: u64,
}
