//! A fleet whose members are the [`Membership`] that runs in service: the start of members, and the
//! states that each believes the others to be in.

use super::{host_address, Fleet, ObservedEvent};
use pinetrail_membership::{
    MemberRecord, MemberState, Membership, MembershipCounters, MembershipEvent, Output, PartitionSide,
    Settings, Timestamp, Timing,
};
use std::net::SocketAddr;

impl super::Member for Membership {
    fn next_timeout(&self) -> Option<Timestamp> {
        Membership::next_timeout(self)
    }

    fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        Membership::handle_timeout(self, now, out);
    }

    fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        Membership::handle_datagram(self, now, from, bytes, out);
    }
}

/// Returns the settings of the member on a host, in a fleet of at most `size` members. The member
/// is configured with `peers`.
pub fn member_settings(host: usize, size: usize, peers: &[usize]) -> Settings {
    let others = peers.iter().filter(|peer| **peer != host);
    Settings {
        fleet: "gdynia".into(),
        name: member_name(host),
        advertise: host_address(host),
        peers: others.map(|peer| host_address(*peer)).collect(),
        size,
        timing: Timing::default(),
    }
}

fn member_name(host: usize) -> String {
    format!("n{host:04}")
}

impl Fleet<Membership> {
    /// Creates a fleet with a member on each host. All members are started at once, and are
    /// configured with `peers`.
    pub fn with_members(hosts: usize, seed: u64, peers: &[usize]) -> Fleet<Membership> {
        let mut fleet = Fleet::new(hosts, seed);
        for host in 0..hosts {
            fleet.start_member(host, hosts.max(2), peers);
        }
        fleet
    }

    /// Starts a member on a host, in a fleet of at most `size` members. The member is configured
    /// with `peers`.
    pub fn start_member(&mut self, host: usize, size: usize, peers: &[usize]) {
        self.start_member_with(host, member_settings(host, size, peers));
    }

    /// Starts a member on a host with these settings.
    ///
    /// # Panics
    ///
    /// If the settings are invalid.
    pub fn start_member_with(&mut self, host: usize, settings: Settings) {
        self.start(host, |start, seed, now| {
            Membership::new(settings, start, seed, now).expect("settings are valid")
        });
    }

    /// Returns the state that one host believes another to be in; none if the observer has no
    /// record of the other host.
    pub fn state_seen_by(&self, observer: usize, other: usize) -> Option<MemberState> {
        self.record_seen_by(observer, &member_name(other)).map(|record| record.state)
    }

    /// Returns the record that a host has of the member with this name.
    pub fn record_seen_by(&self, observer: usize, name: &str) -> Option<MemberRecord> {
        self.member(observer)?.members().into_iter().find(|record| &*record.name == name)
    }

    /// Whether all of these hosts believe that exactly these hosts are alive, and that no other
    /// host is alive or suspected.
    pub fn all_agree(&self, hosts: &[usize]) -> bool {
        let mut names: Vec<String> = hosts.iter().map(|host| member_name(*host)).collect();
        names.sort();
        let agrees = |member: &Membership| sees_exactly(member, &names);
        hosts.iter().all(|host| self.member(*host).is_some_and(agrees))
    }

    /// Returns the side of a partition that a host believes itself to be on.
    pub fn side(&self, host: usize) -> Option<PartitionSide> {
        self.member(host).map(Membership::side)
    }

    /// Returns the counters of the member on a host.
    pub fn counters(&self, host: usize) -> MembershipCounters {
        self.member(host).map_or_else(MembershipCounters::default, Membership::counters)
    }

    /// Returns the number of observed events in which a member declared another failed. If nothing
    /// was killed, all these events are false alarms.
    pub fn false_failures(&self) -> usize {
        self.observed.iter().filter(|observed| observed.is_about(MemberState::Failed)).count()
    }
}

impl ObservedEvent {
    /// Whether the event reports that a member has changed to this state.
    pub fn is_about(&self, state: MemberState) -> bool {
        matches!(&self.event, MembershipEvent::MemberChanged { record, .. } if record.state == state)
    }
}

/// Whether a member believes that exactly the members with these names are alive, and that no other
/// is alive or suspected. `names` must be sorted.
fn sees_exactly(member: &Membership, names: &[String]) -> bool {
    // The membership returns its records in the order of the names.
    let records = member.members();
    let live: Vec<&MemberRecord> =
        records.iter().filter(|record| record.state <= MemberState::Suspect).collect();
    let is_as_named = |(record, name): (&&MemberRecord, &String)| {
        record.state == MemberState::Alive && *record.name == **name
    };
    live.len() == names.len() && live.iter().zip(names).all(is_as_named)
}
