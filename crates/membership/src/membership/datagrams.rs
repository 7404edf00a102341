//! Receiving and sending datagrams. Read [`Membership::handle_datagram`] first.

use super::{LocalState, Membership, Output};
use crate::events::MembershipEvent;
use crate::identity::{MemberId, LEAVE_GENERATION};
use crate::join_admission::AdmissionDecision;
use crate::wire::{self, DatagramKind, DropReason};
use pinetrail_clock::Timestamp;
use std::net::SocketAddr;

impl Membership {
    /// Handles a datagram that was received from this address.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        self.counters.datagrams_received += 1;
        self.counters.bytes_received += bytes.len() as u64;
        if self.local_state == LocalState::Left {
            return;
        }
        let handled = wire::decode_datagram(&self.settings.fleet, bytes)
            .and_then(|(kind, body)| self.handle_body(kind, body, from, out));
        if let Err(reason) = handled {
            self.count_dropped(reason);
            if reason == DropReason::FleetFull {
                let body = wire::encode_body(&(self.settings.size as u64));
                self.send(DatagramKind::FleetFull, from, &body, out);
            }
        }
    }

    /// Sends a quota message to a member, unless this process is out of the fleet.
    pub fn send_quota_message(&mut self, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send(DatagramKind::Quota, to, body, out);
        }
    }

    /// Sends a message of the peer directory to a member, unless this process is out of the fleet.
    pub fn send_directory_message(&mut self, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send(DatagramKind::Directory, to, body, out);
        }
    }

    /// Sends a datagram and counts it.
    pub(super) fn send(&mut self, kind: DatagramKind, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        let datagram = wire::encode_datagram(kind, &self.settings.fleet, body);
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += datagram.len() as u64;
        out.push(Output::Send(to, datagram));
    }

    fn count_dropped(&mut self, reason: DropReason) {
        let count = match reason {
            DropReason::UnknownProtocol => &mut self.counters.dropped_unknown_protocol,
            DropReason::UnsupportedVersion => &mut self.counters.dropped_unsupported_version,
            DropReason::Corrupt => &mut self.counters.dropped_corrupt,
            DropReason::OtherFleet => &mut self.counters.dropped_other_fleet,
            DropReason::FleetFull => &mut self.counters.dropped_fleet_full,
        };
        *count += 1;
    }

    fn handle_body(
        &mut self,
        kind: DatagramKind,
        body: &[u8],
        from: SocketAddr,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        match kind {
            DatagramKind::Swim => return self.handle_swim(body, out),
            DatagramKind::Quota => {
                if self.is_name_holder() {
                    out.push(Output::QuotaMessage(body.to_vec()));
                }
            }
            DatagramKind::Directory => {
                if self.is_name_holder() {
                    out.push(Output::DirectoryMessage(from, body.to_vec()));
                }
            }
            DatagramKind::FleetFull => {
                let size: u64 = wire::decode_body(body)?;
                let event = MembershipEvent::FleetFull(from, size as usize);
                out.push(Output::MembershipEvent(event));
            }
            DatagramKind::Discover
            | DatagramKind::DiscoverReply
            | DatagramKind::NameConflict
            | DatagramKind::Leave => {
                let id = wire::decode_member_id(body)?;
                return self.handle_member_message(kind, id, out);
            }
        }
        Ok(())
    }

    /// Handles a message whose body is the identity of a member.
    fn handle_member_message(
        &mut self,
        kind: DatagramKind,
        id: MemberId,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        if id.name == self.local_id.name {
            if id.start != self.local_id.start && kind != DatagramKind::Leave {
                self.record_name_conflict(id, out);
            }
            return Ok(());
        }
        if self.is_superseded() {
            return Ok(());
        }
        if self.admission.state().check_capacity(&id) == AdmissionDecision::FleetFull {
            return Err(DropReason::FleetFull);
        }
        match kind {
            DatagramKind::Discover => {
                let body = wire::encode_body(&self.local_id);
                self.send(DatagramKind::DiscoverReply, id.address, &body, out);
            }
            DatagramKind::DiscoverReply => self.swim.announce(id),
            DatagramKind::Leave if id.generation == LEAVE_GENERATION => {
                self.swim.apply(foca::Member::down(id));
            }
            _ => return Err(DropReason::Corrupt),
        }
        self.apply_swim_output(out);
        Ok(())
    }

    fn handle_swim(&mut self, body: &[u8], out: &mut Vec<Output>) -> Result<(), DropReason> {
        if self.is_superseded() {
            return Ok(());
        }
        let rejected_before = self.admission.state().rejected_full;
        let handled = self.swim.handle_data(body);
        self.apply_swim_output(out);
        let (conflicting, superseded, rejected_after) = {
            let mut admission = self.admission.state();
            (admission.conflicting.take(), admission.superseded.take(), admission.rejected_full)
        };
        if let Some(sender) = superseded {
            let body = wire::encode_body(&sender.successor);
            self.send(DatagramKind::NameConflict, sender.address, &body, out);
        }
        if let Some(conflicting) = conflicting {
            self.record_name_conflict(conflicting, out);
            return Ok(());
        }
        match handled {
            Ok(()) => Ok(()),
            Err(_) if rejected_after > rejected_before => Err(DropReason::FleetFull),
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig) => {
                Err(DropReason::Corrupt)
            }
            // The datagram of a message that is for another member, or sent by this one, is not
            // corrupt.
            Err(_) => Ok(()),
        }
    }
}
