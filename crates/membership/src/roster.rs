//! What is believed of each member and since when, and what it says about partitions. Read
//! [`MemberRecord`] first.

use crate::events::MembershipEvent;
use crate::identity::{MemberId, LEAVE_GENERATION};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It answered neither a direct nor an indirect probe; it may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
    /// It announced that it leaves.
    Left,
}

/// Which side of a partition this member is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionSide {
    /// There is no partition: all members are alive, as far as this one knows.
    Whole,
    /// It sees more than half of the members.
    Majority,
    /// It sees others, but at most half of the members.
    Minority,
    /// It sees no other member.
    Alone,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub name: Arc<str>,
    /// When its process started, in Unix microseconds: this tells processes of one name apart.
    pub start: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What is believed of it.
    pub state: State,
    /// How often it refuted a suspicion since it joined or rejoined.
    pub incarnation: u16,
    /// Since when this is believed, on the clock of the member that believes it.
    pub since: Time,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
        })
    }
}

impl fmt::Display for PartitionSide {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PartitionSide::Whole => "whole",
            PartitionSide::Majority => "majority",
            PartitionSide::Minority => "minority",
            PartitionSide::Alone => "alone",
        })
    }
}

/// All members but this one.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// By the hashes of their names.
    records: BTreeMap<u128, MemberRecord>,
}

impl Roster {
    /// Takes over what SWIM believes now; returns an event for each change.
    pub(crate) fn update<'a>(
        &mut self,
        now: Time,
        members: impl Iterator<Item = &'a foca::Member<MemberId>>,
    ) -> Vec<MembershipEvent> {
        members.filter_map(|member| self.update_member(now, member)).collect()
    }

    fn update_member(&mut self, now: Time, member: &foca::Member<MemberId>) -> Option<MembershipEvent> {
        let id = member.id();
        let state = state_of(member);
        let known = self.records.get_mut(&id.name_hash());
        let before = known.as_ref().map(|record| (record.start, record.state));
        if let Some(record) = known.filter(|_| before == Some((id.start, state))) {
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
        Some(MembershipEvent::Member { entry: record, before })
    }

    /// Forgets all members but those with these hashes of names; returns an event for each, in the
    /// order of their names.
    pub(crate) fn retain_known(&mut self, name_hashes: &BTreeSet<u128>) -> Vec<MembershipEvent> {
        let mut forgotten = Vec::new();
        self.records.retain(|name_hash, record| {
            let stays = name_hashes.contains(name_hash);
            if !stays {
                forgotten.push(Arc::clone(&record.name));
            }
            stays
        });
        forgotten.sort();
        forgotten.into_iter().map(MembershipEvent::Forgotten).collect()
    }

    /// The members, in no order that means anything.
    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// The side that this member is on, if so many configured peers that were never seen belong to
    /// the fleet as well.
    ///
    /// The fleet is this member, those that are remembered and have not left, and each of those
    /// peers: a process that has just started and reaches nobody must not pass for a whole fleet.
    /// Exactly half is no majority: of two members that lose each other both are alone.
    pub(crate) fn side(&self, unseen_peers: usize) -> PartitionSide {
        let live = self.records().filter(|record| record.state <= State::Suspect).count() + 1;
        let joined = self.records().filter(|record| record.state != State::Left).count() + 1;
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

fn state_of(member: &foca::Member<MemberId>) -> State {
    match member.state() {
        foca::State::Alive => State::Alive,
        foca::State::Suspect => State::Suspect,
        foca::State::Down if member.id().generation == LEAVE_GENERATION => State::Left,
        foca::State::Down => State::Failed,
    }
}
