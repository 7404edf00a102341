//! The outputs of SWIM, and the changes that they cause. Read
//! [`Membership::apply_swim_output`] first.

use super::{Membership, Output, TimerKind};
use crate::events::MembershipEvent;
use crate::identity::MemberId;
use crate::record::{MemberRecord, MemberState, PartitionSide};
use crate::swim::{SwimEvent, SwimTimer};
use crate::wire::DatagramKind;

impl Membership {
    /// Passes a due timer back to SWIM, carries out the outputs, and removes the members that SWIM
    /// no longer remembers from the member list.
    pub(super) fn handle_swim_timer(&mut self, timer: foca::Timer<MemberId>, out: &mut Vec<Output>) {
        let removes_member = matches!(timer, foca::Timer::RemoveDown(_));
        self.swim.handle_timer(timer);
        self.apply_swim_output(out);
        if removes_member {
            self.swim.prune_admission();
            let remembered = self.swim.members().map(|member| member.id().name_hash()).collect();
            let events = self.member_list.retain_members(&remembered);
            out.extend(events.into_iter().map(Output::MembershipEvent));
        }
    }

    /// Carries out the collected outputs of SWIM: messages, events and timers.
    pub(super) fn apply_swim_output(&mut self, out: &mut Vec<Output>) {
        for message in std::mem::take(&mut self.swim.output.messages) {
            self.send(DatagramKind::Swim, message.to.address, &message.bytes, out);
        }
        let events = std::mem::take(&mut self.swim.output.events);
        let mut has_changed = false;
        let mut has_probed = false;
        let mut probe_failed = false;
        for event in events {
            match event {
                SwimEvent::Changed => has_changed = true,
                SwimEvent::ProbeFailed => probe_failed = true,
                SwimEvent::Probed => has_probed = true,
                SwimEvent::Refuted => {
                    self.counters.refuted += 1;
                    self.health.degrade(1);
                }
                SwimEvent::Rejoined(id) => {
                    self.local_id = id;
                    self.admission.state().local_id = self.local_id.clone();
                    self.counters.rejoined += 1;
                    out.push(Output::MembershipEvent(MembershipEvent::Rejoined));
                }
            }
        }
        for timer in std::mem::take(&mut self.swim.output.timers) {
            self.set_swim_timer(timer);
        }
        if has_probed && !probe_failed {
            self.health.improve();
        }
        if has_changed {
            self.refresh_member_list(out);
        }
    }

    /// Updates the member list to the present state of SWIM, and reports each change and the side of
    /// a partition.
    pub(super) fn refresh_member_list(&mut self, out: &mut Vec<Output>) {
        self.track_suspicions();
        let events = self.member_list.update(self.now, self.swim.members());
        let has_changed = !events.is_empty();
        for event in events {
            if let MembershipEvent::MemberChanged { record, .. } = &event {
                self.count_member_change(record);
            }
            out.push(Output::MembershipEvent(event));
        }
        if has_changed {
            self.swim.adapt_to_size();
        }
        let side = if self.is_superseded() {
            PartitionSide::Alone
        } else {
            self.member_list.side(self.unseen_peers.len())
        };
        if side != self.side {
            self.side = side;
            out.push(Output::MembershipEvent(MembershipEvent::PartitionSide(side)));
        }
    }

    fn count_member_change(&mut self, record: &MemberRecord) {
        match record.state {
            MemberState::Failed => self.counters.failed += 1,
            MemberState::Left => self.counters.left += 1,
            MemberState::Alive | MemberState::Suspect => {}
        }
        self.unseen_peers.retain(|peer| *peer != record.address);
    }

    /// Sets a timer of SWIM. A timer that waits for other members is scaled by local health.
    fn set_swim_timer(&mut self, SwimTimer { timer, after }: SwimTimer) {
        use foca::Timer::{ChangeSuspectToDown, ProbeRandomMember, SendIndirectProbe};
        let waits_for_others =
            matches!(timer, ProbeRandomMember(_) | SendIndirectProbe { .. } | ChangeSuspectToDown { .. });
        let after = if waits_for_others { self.health.scale(after) } else { after };
        self.timers.set(self.now + after, TimerKind::Swim(timer));
    }
}
