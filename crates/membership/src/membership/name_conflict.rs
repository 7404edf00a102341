//! Conflicts between two processes with one name. Both report the conflict while both run, and only
//! the one that started later counts in the fleet. Read [`LocalState`] first.

use super::{Membership, Output, TimerKind};
use crate::events::{MembershipEvent, NameConflict, NameHolder};
use crate::identity::MemberId;
use crate::swim::{Swim, SwimParameters};
use crate::wire::{self, DatagramKind};
use pinetrail_clock::Timestamp;
use std::time::Duration;

/// The interval at which each of two processes with one name announces itself to the other.
const CONFLICT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);
/// The time without a message of the other process after which a name conflict ends.
const CONFLICT_TIMEOUT: Duration = Duration::from_millis(3500);

/// The holder of this member's name, and the other process with that name, if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LocalState {
    /// This process holds the name, and no other process has it.
    SoleHolder,
    /// This process holds the name, and an earlier process with the name still runs.
    Superseding {
        /// The earlier process.
        earlier: MemberId,
        /// The time at which the last message of the earlier process was received.
        last_seen: Timestamp,
    },
    /// A later process holds the name, and this process is out of the fleet while the later one
    /// runs.
    Superseded {
        /// The later process.
        later: MemberId,
        /// The time at which the last message of the later process was received.
        last_seen: Timestamp,
    },
    /// This process does not hold the name because it has left the fleet.
    Left,
}

impl LocalState {
    /// Decides which of two processes with one name counts in the fleet, and returns the state
    /// after a message of the other process.
    ///
    /// Inputs: the starts of both processes, in Unix microseconds; the time now (own clock).
    /// Reason: the process that started later is the one that operators intend to run.
    /// Source: none in SWIM; docs/fleet.md.
    fn after_contact(now: Timestamp, local_start: u64, other: MemberId) -> LocalState {
        if other.start > local_start {
            LocalState::Superseded { later: other, last_seen: now }
        } else {
            LocalState::Superseding { earlier: other, last_seen: now }
        }
    }

    /// Returns the conflict with another process, if there is one.
    fn conflict(&self) -> Option<NameConflict> {
        match self {
            LocalState::Superseding { earlier, .. } => {
                Some(NameConflict { other: earlier.address, holder: NameHolder::ThisProcess })
            }
            LocalState::Superseded { later, .. } => {
                Some(NameConflict { other: later.address, holder: NameHolder::OtherProcess })
            }
            LocalState::SoleHolder | LocalState::Left => None,
        }
    }

    /// Decides whether a name conflict has expired, and returns the other process with this name,
    /// if there is one.
    ///
    /// Inputs: the time now and when the last message of the other process was received (own
    /// clock).
    /// Reason: a process that has ended cannot announce its end, so that only a timeout shows it.
    /// Source: none in SWIM; docs/fleet.md.
    fn other_process(&self, now: Timestamp) -> Option<OtherProcess> {
        let (id, last_seen) = match self {
            LocalState::Superseding { earlier, last_seen } => (earlier, last_seen),
            LocalState::Superseded { later, last_seen } => (later, last_seen),
            LocalState::SoleHolder | LocalState::Left => return None,
        };
        Some(OtherProcess { id: id.clone(), has_ended: *last_seen + CONFLICT_TIMEOUT <= now })
    }
}

/// The other process with this member's name.
struct OtherProcess {
    id: MemberId,
    /// Whether the process has been silent for [`CONFLICT_TIMEOUT`] and therefore counts as ended.
    has_ended: bool,
}

impl Membership {
    /// Returns the conflict with another process that has this member's name, if there is one.
    pub fn name_conflict(&self) -> Option<NameConflict> {
        self.local_state.conflict()
    }

    /// Returns whether this process counts in the fleet under its name.
    pub fn is_name_holder(&self) -> bool {
        matches!(self.local_state, LocalState::SoleHolder | LocalState::Superseding { .. })
    }

    /// Returns whether a later process has this member's name.
    pub(super) fn is_superseded(&self) -> bool {
        matches!(self.local_state, LocalState::Superseded { .. })
    }

    /// Records that another process with this member's name runs, and reports the conflict if it is
    /// new.
    pub(super) fn record_name_conflict(&mut self, other: MemberId, out: &mut Vec<Output>) {
        let was_superseded = self.is_superseded();
        let before = self.local_state.conflict();
        self.local_state = LocalState::after_contact(self.now, self.local_id.start, other);
        let changed = self.local_state.conflict().filter(|conflict| before != Some(*conflict));
        if let Some(conflict) = changed {
            out.push(Output::MembershipEvent(MembershipEvent::NameConflict(conflict)));
            self.timers.retain(|timer| !matches!(timer, TimerKind::NameConflict));
            self.timers.set(self.now, TimerKind::NameConflict);
        }
        if self.is_superseded() && !was_superseded {
            self.timers.retain(|timer| !matches!(timer, TimerKind::Swim(_)));
        }
        if changed.is_some() {
            self.refresh_member_list(out);
        }
    }

    /// Announces this process to the other process with the same name, or ends the conflict if the
    /// other process has ended.
    pub(super) fn handle_name_conflict_timer(&mut self, out: &mut Vec<Output>) {
        let Some(other) = self.local_state.other_process(self.now) else { return };
        if !other.has_ended {
            let body = wire::encode_body(&self.local_id);
            self.send(DatagramKind::NameConflict, other.id.address, &body, out);
            self.timers.set(self.now + CONFLICT_ANNOUNCE_INTERVAL, TimerKind::NameConflict);
            return;
        }
        let was_superseded = self.is_superseded();
        out.push(Output::MembershipEvent(MembershipEvent::NameConflictEnded));
        self.local_state = LocalState::SoleHolder;
        if was_superseded {
            self.rejoin_as_successor_of(&other.id, out);
        }
        self.refresh_member_list(out);
    }

    /// Rejoins with a start after that of the later process. Members that knew the later process
    /// would ignore a process with an earlier start.
    fn rejoin_as_successor_of(&mut self, later: &MemberId, out: &mut Vec<Output>) {
        self.local_id = self.local_id.with_start(later.start + 1);
        self.admission.state().local_id = self.local_id.clone();
        let counters = self.counters();
        self.seed = self.seed.wrapping_add(1);
        self.swim = Swim::new(SwimParameters {
            local_id: self.local_id.clone(),
            admission: self.admission.clone(),
            timing: self.settings.timing,
            max_message_bytes: wire::body_capacity(&self.settings.fleet),
            seed: self.seed,
        });
        self.counters = counters;
        self.timers.retain(|timer| !matches!(timer, TimerKind::Discover));
        self.discover_peers(out);
    }
}
