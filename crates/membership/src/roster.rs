//! [`MemberList`]: the records of all other members, which are updated from the state of SWIM and
//! determine the side of a partition.

use crate::events::MembershipEvent;
use crate::identity::{MemberId, LEAVE_GENERATION};
use crate::record::{MemberRecord, MemberState, PartitionSide};
use pinetrail_clock::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The records of all members except this one.
#[derive(Debug, Default)]
pub(crate) struct MemberList {
    /// The records by the hash of the member's name.
    records: BTreeMap<u128, MemberRecord>,
}

impl MemberList {
    /// Updates the records from the state of SWIM and returns an event for each change.
    pub(crate) fn update<'a>(
        &mut self,
        now: Timestamp,
        members: impl Iterator<Item = &'a foca::Member<MemberId>>,
    ) -> Vec<MembershipEvent> {
        members.filter_map(|member| self.update_member(now, member)).collect()
    }

    fn update_member(&mut self, now: Timestamp, member: &foca::Member<MemberId>) -> Option<MembershipEvent> {
        let id = member.id();
        let state = state_of(member);
        let known = self.records.get_mut(&id.name_hash());
        let previous = known.as_ref().map(|record| (record.start, record.state));
        if let Some(record) = known.filter(|_| previous == Some((id.start, state))) {
            record.incarnation = member.incarnation();
            record.address = id.address;
            return None;
        }
        let record = MemberRecord {
            name: Arc::clone(&id.name),
            start: id.start,
            address: id.address,
            state,
            incarnation: member.incarnation(),
            since: now,
        };
        self.records.insert(id.name_hash(), record.clone());
        Some(MembershipEvent::MemberChanged { record, previous })
    }

    /// Removes all members except those with these hashes of names. Returns an event for each
    /// removed member, in the order of their names.
    pub(crate) fn retain_members(&mut self, name_hashes: &BTreeSet<u128>) -> Vec<MembershipEvent> {
        let mut removed = Vec::new();
        self.records.retain(|name_hash, record| {
            let stays = name_hashes.contains(name_hash);
            if !stays {
                removed.push(Arc::clone(&record.name));
            }
            stays
        });
        removed.sort();
        removed.into_iter().map(MembershipEvent::Forgotten).collect()
    }

    /// Returns the records in the order of the hashes of the members' names.
    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Decides whether this member sees its whole fleet, a majority, a minority, or no other
    /// member.
    ///
    /// Inputs: the state of each member; the number of configured peers that were never seen, which
    /// belong to the fleet as well.
    /// Reason: a process that has just started and reaches no peer must not take itself for the
    /// whole fleet. Exactly half is no majority, since otherwise both halves could be one.
    /// Source: none in SWIM; docs/fleet.md.
    pub(crate) fn side(&self, unseen_peers: usize) -> PartitionSide {
        let live = self.records().filter(|record| record.state <= MemberState::Suspect).count() + 1;
        let joined = self.records().filter(|record| record.state != MemberState::Left).count() + 1;
        let fleet = joined + unseen_peers;
        if live == fleet {
            PartitionSide::Whole
        } else if live == 1 {
            PartitionSide::Alone
        } else if live * 2 > fleet {
            PartitionSide::Majority
        } else {
            PartitionSide::Minority
        }
    }
}

fn state_of(member: &foca::Member<MemberId>) -> MemberState {
    match member.state() {
        foca::State::Alive => MemberState::Alive,
        foca::State::Suspect => MemberState::Suspect,
        foca::State::Down if member.id().generation == LEAVE_GENERATION => MemberState::Left,
        foca::State::Down => MemberState::Failed,
    }
}
