//! Which processes SWIM may learn of: the bound on members, and the processes that have this
//! member's own name. The codec asks [`JoinAdmission`] about each member that a datagram names,
//! before SWIM sees it.

use crate::identity::MemberId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A process that still sends although a later one has its name.
#[derive(Debug)]
pub(crate) struct SupersededSender {
    /// Where it sends from.
    pub address: SocketAddr,
    /// The later process.
    pub successor: MemberId,
}

/// What the codec and the membership share.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    /// This member.
    pub local_id: MemberId,
    /// The most members, this one included.
    pub max_members: usize,
    /// Members that SWIM remembers, by the hashes of their names; of each name the latest process.
    pub known: BTreeMap<u128, MemberId>,
    /// Another process of this member's name that was named since this was last taken.
    pub conflicting: Option<MemberId>,
    /// A superseded process that has sent something since this was last taken.
    pub superseded: Option<SupersededSender>,
    /// Members rejected because the fleet has its full size.
    pub rejected_full: u64,
    /// Members that received datagrams named.
    pub members_received: u64,
    /// Bytes of the SWIM header that was encoded last.
    pub header_length: usize,
}

/// Admission of members; clones share one state.
///
/// The lock guards the whole state. It is never held while SWIM runs, nor contended: one thread at
/// a time drives a member.
#[derive(Clone, Debug)]
pub(crate) struct JoinAdmission(Arc<Mutex<AdmissionState>>);

impl JoinAdmission {
    /// An admission that knows only this member.
    pub(crate) fn new(local_id: MemberId, max_members: usize) -> JoinAdmission {
        JoinAdmission(Arc::new(Mutex::new(AdmissionState {
            local_id,
            max_members,
            known: BTreeMap::new(),
            conflicting: None,
            superseded: None,
            rejected_full: 0,
            members_received: 0,
            header_length: 0,
        })))
    }

    /// Locks the state.
    pub(crate) fn state(&self) -> MutexGuard<'_, AdmissionState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionState {
    /// Whether SWIM may learn of this process; it is known from now on if it may.
    pub(crate) fn admit(&mut self, id: &MemberId) -> bool {
        if id.name == self.local_id.name {
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

    /// Whether it is known or can become known; counts it if not. Danger: whoever can send
    /// datagrams could fill the memory with names.
    pub(crate) fn has_capacity_for(&mut self, id: &MemberId) -> bool {
        let is_known = self.known.contains_key(&id.name_hash());
        let has_capacity = is_known || self.known.len() + 1 < self.max_members;
        if !has_capacity {
            self.rejected_full += 1;
        }
        has_capacity
    }

    /// Notes a sender of whose name a later process is known, so that it can be told: nobody else
    /// would tell it.
    pub(crate) fn note_sender(&mut self, id: &MemberId) {
        let known = self.known.get(&id.name_hash());
        if let Some(successor) = known.filter(|known| known.start > id.start) {
            self.superseded = Some(SupersededSender { address: id.address, successor: successor.clone() });
        }
    }

    /// Whether it has this member's name and is not this process.
    pub(crate) fn conflicts_with(&self, id: &MemberId) -> bool {
        id.name == self.local_id.name && id.start != self.local_id.start
    }
}
