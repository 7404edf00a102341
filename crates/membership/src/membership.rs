//! One member of a fleet. [`Membership`] owns all state of a member and its public interface; the
//! modules below hold one concern of it each:
//!
//! - `datagrams`: receiving and sending;
//! - `discovery`: finding the configured peers;
//! - `name_conflict`: two processes with one name;
//! - `process_pause`: time in which this process did not run;
//! - `swim_effects`: the outputs of SWIM, and the changes that they cause;
//! - `suspicion_end`: the end of each suspicion;
//! - `departure`: leaving the fleet by request.

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
use crate::roster::Roster;
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

/// How often the roster is compared with SWIM when no event reports a change: suspicions that other
/// members gossip come without an event.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1000);

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// Notify the rest of the program of an event.
    MembershipEvent(MembershipEvent),
    /// Pass on a message about quota that another member sent.
    QuotaMessage(Vec<u8>),
    /// Pass on a message of the peer directory that the member at this address sent.
    DirectoryMessage(SocketAddr, Vec<u8>),
}

/// The purpose of a timer.
enum TimerKind {
    /// SWIM set it.
    Swim(foca::Timer<MemberId>),
    /// Contact the configured peers.
    Discover,
    /// Compare the roster with SWIM.
    Refresh,
    /// Send to the other process of this name.
    NameConflict,
    /// Tell a member that it is suspected.
    NotifySuspect(Suspicion),
    /// Declare a suspected member failed.
    EndSuspicion(Suspicion),
}

/// The membership of a fleet as one of its members sees it.
///
/// It does no I/O and reads no clock. Timestamps are of the driver's clock. The driver calls
/// [`Membership::handle_datagram`] for each datagram and [`Membership::handle_timeout`] at
/// [`Membership::next_timeout`], and carries out each [`Output`].
pub struct Membership {
    settings: Settings,
    local_id: MemberId,
    /// Seeds SWIM; changes each time that SWIM starts anew.
    seed: u64,
    admission: JoinAdmission,
    swim: Swim,
    timers: Timers<TimerKind>,
    health: LocalHealth,
    roster: Roster,
    suspicions: Suspicions,
    side: PartitionSide,
    local_state: LocalState,
    started_at: Timestamp,
    now: Timestamp,
    /// Configured peers that were never seen.
    unseen_peers: Vec<SocketAddr>,
    /// What was counted here, and by a SWIM that was replaced.
    counters: MembershipCounters,
}

impl Membership {
    /// A member that knows no other member yet. `start` is when its process started, in Unix
    /// microseconds.
    /// Equal seeds and inputs give equal outputs.
    ///
    /// # Errors
    ///
    /// The settings are invalid; see [`Settings::check`].
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
        let roster = Roster::default();
        Ok(Membership {
            local_id,
            seed,
            admission,
            swim,
            timers,
            health: LocalHealth::default(),
            side: roster.side(unseen_peers.len()),
            roster,
            suspicions: Suspicions::default(),
            local_state: LocalState::SoleHolder,
            started_at: now,
            now,
            unseen_peers,
            counters: MembershipCounters::default(),
            settings,
        })
    }

    /// When [`Membership::handle_timeout`] is to be called at the latest; none after this member
    /// has left.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                TimerKind::Swim(timer) => self.handle_swim_timer(timer, out),
                TimerKind::Discover => self.discover_peers(out),
                TimerKind::Refresh => {
                    // Names admitted with a message that SWIM then rejected are removed again.
                    self.swim.prune_admission();
                    self.refresh_roster(out);
                    self.timers.set(now + REFRESH_INTERVAL, TimerKind::Refresh);
                }
                TimerKind::NameConflict => self.handle_name_conflict_timer(out),
                TimerKind::NotifySuspect(suspicion) => self.notify_suspect(suspicion, out),
                TimerKind::EndSuspicion(suspicion) => self.end_suspicion(suspicion, out),
            }
        }
    }

    /// Replaces the configured peers, and contacts the new ones at once.
    ///
    /// # Errors
    ///
    /// The settings would be invalid with these peers; nothing has changed then.
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
        self.refresh_roster(out);
        Ok(())
    }

    /// This process, as others know it.
    pub fn local_id(&self) -> &MemberId {
        &self.local_id
    }

    /// Which side of a partition this member is on.
    pub fn side(&self) -> PartitionSide {
        self.side
    }

    /// All members, this one included, in the order of their names.
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
        let mut members: Vec<MemberRecord> = self.roster.records().cloned().collect();
        members.push(local);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// The other members that are alive or suspected: their addresses, and when they started, in
    /// Unix microseconds.
    pub fn live_peers(&self) -> impl Iterator<Item = (SocketAddr, u64)> + '_ {
        self.active_members().map(|id| (id.address, id.start))
    }

    /// What was counted since this member started.
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
