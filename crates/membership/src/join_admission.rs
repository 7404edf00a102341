//! [`JoinAdmission`] decides which processes SWIM may learn of. The codec checks each member that a
//! datagram names before SWIM gets the member. The rule is [`AdmissionState::admit`].

use crate::identity::MemberId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A process that still sends messages of SWIM although a later process has its name.
#[derive(Debug)]
pub(crate) struct SupersededSender {
    /// The address of the sender.
    pub address: SocketAddr,
    /// The later process with the same name.
    pub successor: MemberId,
}

/// Whether SWIM may learn of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// SWIM may learn of the process.
    Admitted,
    /// SWIM may not learn of the process because the fleet has reached its configured size.
    FleetFull,
}

/// The state that the codec and the membership share.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    /// The identity of this member.
    pub local_id: MemberId,
    /// The maximum number of members, this one included.
    pub max_members: usize,
    /// The latest process of each admitted name, by the hash of the name.
    pub admitted: BTreeMap<u128, MemberId>,
    /// A process with this member's name that a message of SWIM named. The membership takes the
    /// value after each message.
    pub conflicting: Option<MemberId>,
    /// A superseded process that has sent a message of SWIM. The membership takes the value after
    /// each message.
    pub superseded: Option<SupersededSender>,
    /// The number of rejections because the fleet has reached its configured size.
    pub rejected_full: u64,
    /// The number of members that received datagrams named.
    pub members_received: u64,
    /// The length of the SWIM header that was encoded last, in bytes.
    pub header_length: usize,
}

/// A handle to the admission of members; clones share one state.
///
/// One lock guards the whole state. The lock is never held while SWIM runs, and never contended,
/// since one thread at a time drives a member.
#[derive(Clone, Debug)]
pub(crate) struct JoinAdmission(Arc<Mutex<AdmissionState>>);

impl JoinAdmission {
    /// Creates an admission without other members. `max_members` includes this member.
    pub(crate) fn new(local_id: MemberId, max_members: usize) -> JoinAdmission {
        JoinAdmission(Arc::new(Mutex::new(AdmissionState {
            local_id,
            max_members,
            admitted: BTreeMap::new(),
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
    /// Decides whether SWIM may learn of a process, and admits the process if so.
    ///
    /// Inputs: the name and start of the process; the admitted members; the maximum number of
    /// members, this one included.
    /// Reason: without a limit, a sender of datagrams could fill the memory with names.
    /// Source: none in SWIM; `fleet.size` in docs/fleet.md.
    pub(crate) fn admit(&mut self, id: &MemberId) -> AdmissionDecision {
        if id.name == self.local_id.name {
            return AdmissionDecision::Admitted;
        }
        if let Some(admitted) = self.admitted.get_mut(&id.name_hash()) {
            if id.supersedes(admitted) {
                *admitted = id.clone();
            }
            return AdmissionDecision::Admitted;
        }
        let decision = self.check_capacity(id);
        if decision == AdmissionDecision::Admitted {
            self.admitted.insert(id.name_hash(), id.clone());
        }
        decision
    }

    /// Checks whether a process is admitted or can be admitted, without admitting it. A rejection
    /// is counted.
    pub(crate) fn check_capacity(&mut self, id: &MemberId) -> AdmissionDecision {
        let is_admitted = self.admitted.contains_key(&id.name_hash());
        if is_admitted || self.admitted.len() + 1 < self.max_members {
            AdmissionDecision::Admitted
        } else {
            self.rejected_full += 1;
            AdmissionDecision::FleetFull
        }
    }

    /// Records the sender of a datagram if a later process with the same name is admitted. This
    /// member then notifies the sender, since no other process does.
    pub(crate) fn record_if_superseded(&mut self, sender: &MemberId) {
        let admitted = self.admitted.get(&sender.name_hash());
        if let Some(successor) = admitted.filter(|admitted| admitted.start > sender.start) {
            self.superseded =
                Some(SupersededSender { address: sender.address, successor: successor.clone() });
        }
    }

    /// Returns whether another process has this member's name.
    pub(crate) fn conflicts_with(&self, id: &MemberId) -> bool {
        id.name == self.local_id.name && id.start != self.local_id.start
    }
}
