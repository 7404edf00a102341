//! Who is let in: the bound on members, and what bears this member's own name. The codec asks it of each member that a
//! datagram names, before SWIM hears of it.

use crate::identity::MemberId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the gate knows.
#[derive(Debug)]
pub(crate) struct State {
    /// This member.
    pub me: MemberId,
    /// The most members, this one included.
    pub size: usize,
    /// Names that SWIM remembers, by their marks, and the latest process of each.
    pub known: BTreeMap<u128, MemberId>,
    /// A process of this member's name that is not this one, named since this was last looked at.
    pub conflicting: Option<MemberId>,
    /// Where a process still speaks that a later one of its name has followed, and that one.
    pub superseded: Option<(SocketAddr, MemberId)>,
    /// Members turned away for want of room.
    pub rejected_full: u64,
    /// Members that datagrams named.
    pub heard: u64,
    /// Bytes of the head that was written last.
    pub head: usize,
}

/// The gate; clones are the same one.
#[derive(Clone, Debug)]
pub(crate) struct JoinAdmission(Arc<Mutex<State>>);

impl JoinAdmission {
    /// A gate that knows only this member.
    pub(crate) fn new(me: MemberId, size: usize) -> JoinAdmission {
        let known = BTreeMap::new();
        let (conflicting, superseded) = (None, None);
        JoinAdmission(Arc::new(Mutex::new(State {
            me,
            size,
            known,
            conflicting,
            superseded,
            rejected_full: 0,
            heard: 0,
            head: 0,
        })))
    }

    /// Its state.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether SWIM may hear of this process.
    pub(crate) fn admit(&mut self, id: &MemberId) -> bool {
        if id.name == self.me.name {
            return true;
        }
        if let Some(known) = self.known.get_mut(&id.name_hash()) {
            if id.supersedes(known) {
                *known = id.clone();
            }
            return true;
        }
        let has_capacity = self.has_capacity_for(id);
        if has_capacity {
            self.known.insert(id.name_hash(), id.clone());
        }
        has_capacity
    }

    /// Whether there is room for it. Danger: whoever can send datagrams could fill the memory with names.
    pub(crate) fn has_capacity_for(&mut self, id: &MemberId) -> bool {
        let has_capacity = self.known.contains_key(&id.name_hash()) || self.known.len() + 1 < self.size;
        self.rejected_full += u64::from(!has_capacity);
        has_capacity
    }

    /// Who speaks is told if a later process of its name is known: nobody else would tell it.
    pub(crate) fn note_sender(&mut self, id: &MemberId) {
        if let Some(later) = self.known.get(&id.name_hash()).filter(|known| known.start > id.start) {
            self.superseded = Some((id.address, later.clone()));
        }
    }

    /// Whether it bears this member's name and is not this process.
    pub(crate) fn conflicts_with(&self, id: &MemberId) -> bool {
        id.name == self.me.name && id.start != self.me.start
    }
}
