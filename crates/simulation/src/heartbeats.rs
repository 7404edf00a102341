//! The baseline: everybody sends a heartbeat to everybody, and has failed who is silent for a time.

use crate::fleet::{host_address, Member};
use pinetrail_membership::{MemberRecord, MembershipEvent, Output, State, Time};
use std::net::SocketAddr;

/// One member of the baseline.
pub struct Heartbeats {
    own: usize,
    period: Time,
    silence: Time,
    next: Time,
    last: Vec<Option<Time>>,
    failed: Vec<bool>,
}

impl Heartbeats {
    /// A member of a fleet of so many, which beats each period and takes for failed who is silent for so long.
    pub fn new(own: usize, hosts: usize, period: Time, silence: Time, now: Time) -> Heartbeats {
        // They do not all beat in one moment.
        let next = now + (own as Time * 7) % period;
        Heartbeats { own, period, silence, next, last: vec![None; hosts], failed: vec![false; hosts] }
    }

    fn tell(&mut self, now: Time, host: usize, state: State, out: &mut Vec<Output>) {
        let entry = MemberRecord {
            name: format!("n{host:04}").into(),
            start: 0,
            address: host_address(host),
            state,
            incarnation: 0,
            since: now,
        };
        out.push(Output::MembershipEvent(MembershipEvent::Member { entry, before: None }));
    }
}

impl Member for Heartbeats {
    fn next_timeout(&self) -> Option<Time> {
        Some(self.next)
    }

    fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.next {
            return;
        }
        self.next = now + self.period;
        // As much as a beat of SWIM's head takes.
        let beat = |to: usize| Output::Send(host_address(to), vec![0; 64]);
        out.extend((0..self.last.len()).filter(|host| *host != self.own).map(beat));
        for host in 0..self.last.len() {
            let silent = self.last[host].is_some_and(|last| last + self.silence < now);
            if silent && !self.failed[host] {
                self.failed[host] = true;
                self.tell(now, host, State::Failed, out);
            }
        }
    }

    fn handle_datagram(&mut self, now: Time, from: SocketAddr, _bytes: &[u8], out: &mut Vec<Output>) {
        let SocketAddr::V4(address) = from else { return };
        let [_, _, high, low] = address.ip().octets();
        let host = usize::from(high) << 8 | usize::from(low);
        if host >= self.last.len() {
            return;
        }
        self.last[host] = Some(now);
        if std::mem::take(&mut self.failed[host]) {
            self.tell(now, host, State::Alive, out);
        }
    }
}
