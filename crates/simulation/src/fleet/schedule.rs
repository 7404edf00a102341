//! The scheduling and handling of the events of a fleet. Read [`Event`] first.

use super::{host_address, Fleet, Member};
use crate::Time;
use rand::RngExt;
use std::net::SocketAddr;

/// The number of datagrams that the socket of a paused process keeps. Further datagrams are lost.
const INBOX_CAPACITY_DATAGRAMS: usize = 256;

/// An event at a scheduled time.
pub(super) enum Event {
    /// A datagram arrives at a host.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    /// A timeout of the process on a host is due, unless a later wake-up has replaced this one.
    WakeUp { host: usize, serial: u64 },
    /// The process on a host pauses.
    Pause { host: usize },
    /// The pause of the process on a host ends.
    Resume { host: usize },
}

impl<M: Member> Fleet<M> {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, bytes } => self.deliver(host_address(from), to, bytes),
            Event::WakeUp { host, serial } => {
                if self.hosts[host].wake_up == serial && !self.hosts[host].is_paused {
                    self.act(host, Member::handle_timeout);
                }
            }
            Event::Pause { host } => {
                if let Some(pauses) = self.pauses.filter(|_| self.hosts[host].member.is_some()) {
                    self.pause(host);
                    let duration = self.rng.random_range(pauses.duration.0..=pauses.duration.1);
                    self.schedule(duration, Event::Resume { host });
                }
            }
            Event::Resume { host } => {
                self.resume(host);
                self.schedule_pause(host);
            }
        }
    }

    /// Sends a datagram over the network, which may lose, duplicate, delay or damage the datagram.
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.hosts_by_address.get(&to).copied() else { return };
        for (delay, damaged_byte) in self.network.transmit(&mut self.rng, from, to, bytes.len()) {
            let mut bytes = bytes.to_vec();
            if let Some(index) = damaged_byte {
                bytes[index] ^= 1 << (delay % 8);
            }
            self.schedule(delay, Event::Datagram { from, to, bytes });
        }
    }

    /// Schedules the next timeout of the process on a host.
    pub(super) fn schedule_wake_up(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        let Some(at) = this.member.as_ref().and_then(Member::next_timeout) else { return };
        let serial = self.scheduled + 1;
        this.wake_up = serial;
        self.schedule(at.as_millis().saturating_sub(self.now), Event::WakeUp { host, serial });
    }

    /// Schedules the next pause of the process on a host, unless processes never pause.
    pub(super) fn schedule_pause(&mut self, host: usize) {
        if let Some(pauses) = self.pauses {
            let interval = self.rng.random_range(pauses.interval.0..=pauses.interval.1);
            self.schedule(interval, Event::Pause { host });
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: usize, bytes: Vec<u8>) {
        self.received[to].0 += 1;
        self.received[to].1 += bytes.len() as u64;
        let host = &mut self.hosts[to];
        if !host.is_paused {
            self.act(to, |member, now, out| member.handle_datagram(now, from, &bytes, out));
        } else if host.inbox.len() < INBOX_CAPACITY_DATAGRAMS {
            host.inbox.push_back((from, bytes));
        }
    }

    fn schedule(&mut self, after: Time, event: Event) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), event);
    }
}
