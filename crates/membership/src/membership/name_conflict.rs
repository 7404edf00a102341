//! Two processes with one name. Neither takes the name in silence: both say so for as long as both
//! are there, and the one that started later counts in the fleet. Read [`LocalState`] first.

use super::{Membership, Output, TimerKind};
use crate::events::{MembershipEvent, NameConflict, NameHolder};
use crate::identity::MemberId;
use crate::swim::{Swim, SwimParameters};
use crate::wire::{self, DatagramKind};
use crate::Time;

/// How often, in ms, each of the two processes sends to the other.
const CONFLICT_ANNOUNCE_INTERVAL: Time = 1000;
/// How long after its last message, in ms, the other process is taken to be there.
const CONFLICT_EXPIRES_AFTER: Time = 3500;

/// Which process holds this member's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LocalState {
    /// This one, and it is the only process of the name.
    SoleHolder,
    /// This one; an earlier process of the name is still there.
    Superseding {
        /// The earlier process.
        earlier: MemberId,
        /// When it was last heard of.
        last_seen: Time,
    },
    /// A later process: this one is out of the fleet until that one is gone.
    Superseded {
        /// The later process.
        later: MemberId,
        /// When it was last heard of.
        last_seen: Time,
    },
    /// None: this process has left the fleet.
    Left,
}

impl Membership {
    /// The conflict with another process that has this member's name, if there is one.
    pub fn name_conflict(&self) -> Option<NameConflict> {
        match &self.local_state {
            LocalState::Superseding { earlier, .. } => {
                Some(NameConflict { other: earlier.address, holder: NameHolder::ThisProcess })
            }
            LocalState::Superseded { later, .. } => {
                Some(NameConflict { other: later.address, holder: NameHolder::OtherProcess })
            }
            LocalState::SoleHolder | LocalState::Left => None,
        }
    }

    /// Whether this process counts in the fleet under its name.
    pub fn is_name_holder(&self) -> bool {
        matches!(self.local_state, LocalState::SoleHolder | LocalState::Superseding { .. })
    }

    /// Whether a later process has this one's name.
    pub(super) fn is_superseded(&self) -> bool {
        matches!(self.local_state, LocalState::Superseded { .. })
    }

    /// Notes that another process of this name is there.
    pub(super) fn record_name_conflict(&mut self, other: MemberId, out: &mut Vec<Output>) {
        let is_later = other.start > self.local_id.start;
        let holder = if is_later { NameHolder::OtherProcess } else { NameHolder::ThisProcess };
        let conflict = NameConflict { other: other.address, holder };
        let is_new = self.name_conflict() != Some(conflict);
        let was_superseded = self.is_superseded();
        if is_new {
            out.push(Output::MembershipEvent(MembershipEvent::NameConflict(conflict)));
            self.timers.retain(|timer| !matches!(timer, TimerKind::NameConflict));
            self.timers.set(self.now, TimerKind::NameConflict);
        }
        if is_later {
            if !was_superseded {
                self.timers.retain(|timer| !matches!(timer, TimerKind::Swim(_)));
            }
            self.local_state = LocalState::Superseded { later: other, last_seen: self.now };
        } else {
            self.local_state = LocalState::Superseding { earlier: other, last_seen: self.now };
        }
        if is_new {
            self.refresh_roster(out);
        }
    }

    /// Sends to the other process of this name, or ends the conflict if that one is gone.
    pub(super) fn continue_name_conflict(&mut self, out: &mut Vec<Output>) {
        let (other, last_seen) = match &self.local_state {
            LocalState::Superseding { earlier, last_seen } => (earlier.clone(), *last_seen),
            LocalState::Superseded { later, last_seen } => (later.clone(), *last_seen),
            LocalState::SoleHolder | LocalState::Left => return,
        };
        if last_seen + CONFLICT_EXPIRES_AFTER > self.now {
            let body = wire::encode_body(&self.local_id);
            self.send(DatagramKind::NameConflict, other.address, &body, out);
            self.timers.set(self.now + CONFLICT_ANNOUNCE_INTERVAL, TimerKind::NameConflict);
            return;
        }
        let was_superseded = self.is_superseded();
        out.push(Output::MembershipEvent(MembershipEvent::NameConflictEnded));
        self.local_state = LocalState::SoleHolder;
        if was_superseded {
            self.return_after(&other, out);
        }
        self.refresh_roster(out);
    }

    /// Comes back as a process after that one: members that knew of that one would ignore an
    /// earlier one.
    fn return_after(&mut self, later: &MemberId, out: &mut Vec<Output>) {
        self.local_id = self.local_id.with_start(later.start + 1);
        self.admission.state().local_id = self.local_id.clone();
        let counters = self.counters();
        self.seed = self.seed.wrapping_add(1);
        self.swim = Swim::new(SwimParameters {
            local_id: self.local_id.clone(),
            admission: self.admission.clone(),
            timing: self.settings.times,
            max_message: wire::body_capacity(&self.settings.fleet),
            seed: self.seed,
        });
        self.counters = counters;
        self.timers.retain(|timer| !matches!(timer, TimerKind::Discover));
        self.discover_peers(out);
    }
}
