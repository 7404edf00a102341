//! Defines one member of a fleet. [`Membership`] owns the whole state of a member; each module
//! below handles one concern of it:
//!
//! - `datagrams`: receiving and sending;
//! - `discovery`: contacting the configured peers;
//! - `name_conflict`: two processes with one name;
//! - `process_pause`: time in which this process did not run;
//! - `swim_effects`: the outputs of SWIM, and the changes that they cause;
//! - `suspicion_end`: the end of each suspicion;
//! - `departure`: leaving the fleet on request.

mod datagrams;
mod departure;
mod discovery;
mod name_conflict;
mod process_pause;
mod suspicion_end;
mod swim_effects;

use crate::counters::MembershipCounters;
use crate::events::MembershipEvent;
use crate::health::LocalHealth;
use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use crate::record::{MemberRecord, MemberState, PartitionSide};
use crate::roster::MemberList;
use crate::settings::{Settings, SettingsError};
use crate::suspicions::{Suspicion, Suspicions};
use crate::swim::{Swim, SwimParameters};
use crate::timers::Timers;
use crate::wire;
use name_conflict::LocalState;
use pinetrail_clock::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The interval at which the member list is compared with the state of SWIM even if no event
/// reports a change, since SWIM reports no event for a suspicion that other members gossip.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1000);

/// An action that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// Notify the rest of the program of an event.
    MembershipEvent(MembershipEvent),
    /// Pass a quota message of another member to the quota driver.
    QuotaMessage(Vec<u8>),
    /// Pass a message from the member at this address to the peer directory.
    DirectoryMessage(SocketAddr, Vec<u8>),
}

/// The purpose of a timer.
enum TimerKind {
    /// Passes a due timer of SWIM back to SWIM, which has set the timer.
    Swim(foca::Timer<MemberId>),
    /// Contacts the configured peers.
    Discover,
    /// Compares the member list with the state of SWIM.
    Refresh,
    /// Announces this process to the other process with the same name.
    NameConflict,
    /// Notifies a member that it is suspected.
    NotifySuspect(Suspicion),
    /// Declares a suspected member failed.
    EndSuspicion(Suspicion),
}

/// The membership of a fleet as one of its members sees it.
///
/// A `Membership` does no I/O and reads no clock: all timestamps are of the driver's clock. The
/// driver calls [`Membership::handle_datagram`] for each datagram and
/// [`Membership::handle_timeout`] at [`Membership::next_timeout`], and carries out each [`Output`].
pub struct Membership {
    settings: Settings,
    local_id: MemberId,
    /// The seed of SWIM's random numbers. It changes each time that SWIM is replaced.
    seed: u64,
    admission: JoinAdmission,
    swim: Swim,
    timers: Timers<TimerKind>,
    health: LocalHealth,
    member_list: MemberList,
    suspicions: Suspicions,
    side: PartitionSide,
    local_state: LocalState,
    started_at: Timestamp,
    now: Timestamp,
    /// The configured peers that were never seen as members.
    unseen_peers: Vec<SocketAddr>,
    /// The counters of this module, and the counters of SWIM before it was last replaced.
    counters: MembershipCounters,
}

impl Membership {
    /// Creates a member that knows no other member yet. `start` is the time at which its process
    /// started, in Unix microseconds. Equal seeds and inputs give equal outputs.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings are invalid; see [`Settings::check`].
    pub fn new(
        settings: Settings,
        start: u64,
        seed: u64,
        now: Timestamp,
    ) -> Result<Membership, SettingsError> {
        settings.check()?;
        let local_id = MemberId::new(settings.name.as_str().into(), start, settings.advertise);
        let admission = JoinAdmission::new(local_id.clone(), settings.size);
        let swim = Swim::new(SwimParameters {
            local_id: local_id.clone(),
            admission: admission.clone(),
            timing: settings.timing,
            max_message_bytes: wire::body_capacity(&settings.fleet),
            seed,
        });
        let mut timers = Timers::new();
        timers.set(now, TimerKind::Discover);
        timers.set(now + REFRESH_INTERVAL, TimerKind::Refresh);
        let unseen_peers = settings.peers.clone();
        let member_list = MemberList::default();
        Ok(Membership {
            local_id,
            seed,
            admission,
            swim,
            timers,
            health: LocalHealth::default(),
            side: member_list.side(unseen_peers.len()),
            member_list,
            suspicions: Suspicions::default(),
            local_state: LocalState::SoleHolder,
            started_at: now,
            now,
            unseen_peers,
            counters: MembershipCounters::default(),
            settings,
        })
    }

    /// Returns the time by which the driver must call [`Membership::handle_timeout`]; `None` after
    /// this member has left.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Handles all timers that are due by `now`.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                TimerKind::Swim(timer) => self.handle_swim_timer(timer, out),
                TimerKind::Discover => self.discover_peers(out),
                TimerKind::Refresh => {
                    // Removes the names that were admitted from a message that SWIM then rejected.
                    self.swim.prune_admission();
                    self.refresh_member_list(out);
                    self.timers.set(now + REFRESH_INTERVAL, TimerKind::Refresh);
                }
                TimerKind::NameConflict => self.handle_name_conflict_timer(out),
                TimerKind::NotifySuspect(suspicion) => self.notify_suspect(suspicion, out),
                TimerKind::EndSuspicion(suspicion) => self.end_suspicion(suspicion, out),
            }
        }
    }

    /// Replaces the configured peers and contacts the new ones at once.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings are invalid with these peers; nothing changes in that
    /// case.
    pub fn set_peers(
        &mut self,
        now: Timestamp,
        peers: Vec<SocketAddr>,
        out: &mut Vec<Output>,
    ) -> Result<(), SettingsError> {
        let settings = Settings { peers, ..self.settings.clone() };
        settings.check()?;
        self.settings = settings;
        self.unseen_peers = self.settings.peers.clone();
        self.advance_clock(now, out);
        self.timers.retain(|timer| !matches!(timer, TimerKind::Discover));
        self.discover_peers(out);
        self.refresh_member_list(out);
        Ok(())
    }

    /// Returns the identity under which other members know this process.
    pub fn local_id(&self) -> &MemberId {
        &self.local_id
    }

    /// Returns the side of a partition that this member is on.
    pub fn side(&self) -> PartitionSide {
        self.side
    }

    /// Returns the records of all members, this one included, in the order of their names.
    pub fn members(&self) -> Vec<MemberRecord> {
        let has_left = self.local_state == LocalState::Left;
        let local = MemberRecord {
            name: Arc::clone(&self.local_id.name),
            start: self.local_id.start,
            address: self.local_id.address,
            state: if has_left { MemberState::Left } else { MemberState::Alive },
            incarnation: self.swim.incarnation(),
            since: self.started_at,
        };
        let mut members: Vec<MemberRecord> = self.member_list.records().cloned().collect();
        members.push(local);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// Returns the address and the start, in Unix microseconds, of each other member that is alive
    /// or suspected.
    pub fn live_peers(&self) -> impl Iterator<Item = (SocketAddr, u64)> + '_ {
        self.active_members().map(|id| (id.address, id.start))
    }

    /// Returns the counters since this member started.
    pub fn counters(&self) -> MembershipCounters {
        let swim = self.swim.output.counters;
        let admission = self.admission.state();
        MembershipCounters {
            probes: self.counters.probes + swim.probes,
            probes_indirect: self.counters.probes_indirect + swim.probes_indirect,
            probes_failed: self.counters.probes_failed + swim.probes_failed,
            updates_sent: self.counters.updates_sent + swim.updates_sent,
            updates_received: admission.members_received,
            dropped_fleet_full: self.counters.dropped_fleet_full.max(admission.rejected_full),
            ..self.counters
        }
    }

    fn active_members(&self) -> impl Iterator<Item = &MemberId> {
        let active = |member: &&foca::Member<MemberId>| member.state() != foca::State::Down;
        self.swim.members().filter(active).map(foca::Member::id)
    }
}
