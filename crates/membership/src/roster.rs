//! What is believed of each member, since when, and what it adds up to.

use crate::identity::MemberId;
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
    /// It has not answered one member and those that this one asked; it may still object.
    Suspect,
    /// It did not object in time.
    Failed,
    /// It said that it goes.
    Left,
}

/// Whether most of the fleet is on this side of whatever lies between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionSide {
    /// All members are alive, as far as this one knows.
    Whole,
    /// More than half of them are.
    Majority,
    /// Half of them or fewer are.
    Minority,
    /// This one alone is.
    Alone,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub name: Arc<str>,
    /// Which process it is: its start, in Unix microseconds.
    pub start: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What is believed of it.
    pub state: State,
    /// How often it had to object to a suspicion in this life.
    pub incarnation: u16,
    /// Since when this is believed.
    pub since: Time,
}

/// What the rest of the program hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Something else is believed of a member.
    Member {
        /// The member, as it is believed now.
        entry: MemberRecord,
        /// What was believed of it before, and of which process; none if it is new.
        before: Option<(u64, State)>,
    },
    /// A member is remembered no longer.
    Forgotten(Arc<str>),
    /// The fleet falls into other sides.
    PartitionSide(PartitionSide),
    /// Another process runs under this member's name, here. The later start of both counts in the fleet.
    Rival(SocketAddr, bool),
    /// It is gone.
    RivalGone,
    /// That member has room for so many only, and not for this one.
    NoRoom(SocketAddr, usize),
    /// Others had taken this one for failed; it has come back.
    Returned,
    /// This process did not run for so long, in ms.
    Stopped(Time),
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

/// The life that a member takes to say that it leaves: nobody else can say that of it, and no life comes after.
pub(crate) const LEAVE_GENERATION: u32 = u32::MAX;

/// All members but this one.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// By the marks of their names.
    entries: BTreeMap<u128, MemberRecord>,
}

impl Roster {
    /// Takes what SWIM believes now; what has changed.
    pub(crate) fn update<'a>(
        &mut self,
        now: Time,
        members: impl Iterator<Item = &'a foca::Member<MemberId>>,
    ) -> Vec<MembershipEvent> {
        let mut news = Vec::new();
        for member in members {
            let id = member.id();
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down if id.generation == LEAVE_GENERATION => State::Left,
                foca::State::Down => State::Failed,
            };
            let known = self.entries.get_mut(&id.name_hash());
            let before = known.as_ref().map(|entry| (entry.start, entry.state));
            if let Some(entry) = known.filter(|entry| (entry.start, entry.state) == (id.start, state)) {
                (entry.incarnation, entry.address) = (member.incarnation(), id.address);
                continue;
            }
            let entry = MemberRecord {
                name: Arc::clone(&id.name),
                start: id.start,
                address: id.address,
                state,
                incarnation: member.incarnation(),
                since: now,
            };
            self.entries.insert(id.name_hash(), entry.clone());
            news.push(MembershipEvent::Member { entry, before });
        }
        news
    }

    /// Forgets all but those of these marks.
    pub(crate) fn retain_known(&mut self, name_hashes: &BTreeSet<u128>) -> Vec<MembershipEvent> {
        let mut gone = Vec::new();
        self.entries.retain(|mark, entry| {
            let stays = name_hashes.contains(mark);
            if !stays {
                gone.push(Arc::clone(&entry.name));
            }
            stays
        });
        gone.sort();
        gone.into_iter().map(MembershipEvent::Forgotten).collect()
    }

    /// The members.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values()
    }

    /// The sides into which the fleet falls, if so many peers that were never heard belong to it as well.
    ///
    /// The membership is who is remembered and has not left, this member, and each of those peers: a process that has just started and reaches nobody must not pass for a whole fleet. Exactly half is no
    /// majority: of two that lose each other both are alone.
    pub(crate) fn side(&self, unheard: usize) -> PartitionSide {
        let here = self.entries().filter(|entry| entry.state <= State::Suspect).count() + 1;
        let belong = self.entries().filter(|entry| entry.state != State::Left).count() + 1;
        let all = belong + unheard;
        match here {
            _ if here == all => PartitionSide::Whole,
            1 => PartitionSide::Alone,
            _ if here * 2 > all => PartitionSide::Majority,
            _ => PartitionSide::Minority,
        }
    }
}
