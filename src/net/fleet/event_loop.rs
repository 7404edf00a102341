//! The two event loops of an active member, one for datagrams and one for timeouts. Both call the
//! membership under the lock of [`Fleet`] and carry out its outputs after the lock is released.

use super::active_member::ActivationId;
use super::operator_view::membership_log_line;
use super::{Fleet, MemberActivity};
use crate::net::deadline_stream::sleep;
use crate::net::log::log;
use crate::net::polled_socket::PolledSocket;
use crate::net::timer;
use pinetrail_clock::Timestamp;
use pinetrail_membership::{Membership, Output, MAX_DATAGRAM_BYTES};
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

/// The longest sleep of the timeout loop, and thus the longest delay of a timeout that is set while
/// the loop sleeps.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);
/// The shortest sleep of the timeout loop.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);
/// The number of datagrams received before a pause. Without pauses, a flood of datagrams would keep
/// the worker thread from serving clients.
const DATAGRAMS_PER_BATCH: usize = 32;
/// The pause after a batch of datagrams, and after a failed receive.
const PAUSE_BETWEEN_BATCHES: Duration = Duration::from_millis(1);

impl Fleet {
    /// Receives datagrams and passes them to the membership. Ends once this process is inactive or
    /// has begun another activation.
    pub(super) fn receive_datagrams(&self, activation: ActivationId, socket: &PolledSocket<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut received = 0;
        while self.is_active(activation) {
            match socket.inner().recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let datagram = &buffer[..length];
                    let now = self.now();
                    self.with_membership(|membership, out| {
                        membership.handle_datagram(now, from, datagram, out);
                    });
                    received += 1;
                    if received % DATAGRAMS_PER_BATCH == 0 {
                        sleep(PAUSE_BETWEEN_BATCHES);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    socket.wait_io();
                }
                // The error belongs to an earlier datagram to an unreachable peer; the socket stays
                // usable.
                Err(_) => sleep(PAUSE_BETWEEN_BATCHES),
            }
        }
    }

    /// Handles the timeouts of the membership and the quota. Ends once this process is inactive or
    /// has begun another activation.
    pub(super) fn run_timeouts(&self, activation: ActivationId) {
        while self.is_active(activation) {
            let now = self.now();
            self.with_membership(|membership, out| membership.handle_timeout(now, out));
            timer::sleep(self.time_until_next_timeout().clamp(SHORTEST_SLEEP, LONGEST_SLEEP));
        }
    }

    fn time_until_next_timeout(&self) -> Duration {
        match self.next_timeout() {
            Some(next) => next.saturating_duration_since(self.now()),
            None => LONGEST_SLEEP,
        }
    }

    fn next_timeout(&self) -> Option<Timestamp> {
        match &*self.activity() {
            MemberActivity::Active(member) => member.next_timeout(),
            MemberActivity::Opening | MemberActivity::Inactive => None,
        }
    }

    fn is_active(&self, activation: ActivationId) -> bool {
        matches!(&*self.activity(), MemberActivity::Active(member) if member.activation == activation)
    }

    /// Calls `act` with the membership, drives the quota and carries out the outputs of both.
    /// Returns the result of `act`, or `None` if this process is not active.
    pub(super) fn with_membership<T>(
        &self,
        act: impl FnOnce(&mut Membership, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        let mut out = Vec::new();
        let (result, socket) = match &mut *self.activity() {
            MemberActivity::Active(member) => {
                let result = act(&mut member.membership, &mut out);
                if let Some(quota) = member.drive_quota(self.now(), &mut out) {
                    self.publish_quota(quota);
                }
                (result, Arc::clone(&member.socket))
            }
            MemberActivity::Opening | MemberActivity::Inactive => return None,
        };
        self.apply(out, &socket);
        Some(result)
    }

    /// Carries out the membership's outputs: sends datagrams, passes messages of the peer directory
    /// to their handler, and logs events.
    pub(super) fn apply(&self, outputs: Vec<Output>, socket: &PolledSocket<UdpSocket>) {
        for output in outputs {
            match output {
                // A failed send is only counted: the protocols tolerate lost datagrams.
                Output::Send(to, datagram) => {
                    if socket.inner().send_to(&datagram, to).is_err() {
                        self.send_failures.increment();
                    }
                }
                // Quota messages have been moved to the quota driver before; if the fleet has no
                // quota, they are dropped here.
                Output::QuotaMessage(_) => {}
                Output::DirectoryMessage(from, message) => {
                    if let Some(handler) = self.directory_handler.get() {
                        handler(from, &message);
                    }
                }
                Output::MembershipEvent(event) => {
                    log(&format!("fleet: {}", membership_log_line(&event)));
                }
            }
        }
    }
}
