//! The shares of a member that speaks: between the core of shares, the members that carry its words, and the decision
//! module, which is told each time that its share changes.

use crate::net::config::QuotaConfig;
use crate::net::log::log;
use pinetrail_membership::{Membership, Output as RawMemberId, Time};
use pinetrail_quota::{
    decode, encode, DecodeError, Output, Process, QuotaCounters, QuotaEvent, QuotaLeases, WHOLE_PARTS,
};
use serde::Serialize;

/// This process's share, by the fleet's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Share {
    /// Its part of the whole.
    pub part: f64,
    /// Until then.
    pub until: Time,
    /// Its part from then on.
    pub base: f64,
    /// Calls in flight of all together, at one node and at the origin.
    pub whole: [f64; 2],
}

/// What operators see.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Seen {
    /// This process's part of the whole now.
    pub share: f64,
    /// What is always its own.
    pub base: f64,
    /// How long it holds the rest, if it is not renewed.
    pub lease_ms: u64,
    /// The number of the view that counts.
    pub view: u64,
    /// Whether this process is the steward.
    pub steward: bool,
}

/// The shares of one process.
pub(super) struct QuotaDriver {
    config: QuotaConfig,
    shares: QuotaLeases,
    me: Process,
    /// Whether it was said that another has other settings.
    differs: bool,
    /// Words that were not heard, and counts of processes before.
    unheard: u64,
    earlier: QuotaCounters,
}

impl QuotaDriver {
    /// A process that has its base.
    pub(super) fn new(config: QuotaConfig, members: &Membership, now: Time) -> QuotaDriver {
        let me = own(members);
        let shares = QuotaLeases::new(config.settings.clone(), me, now).expect("settings were checked");
        QuotaDriver { config, shares, me, differs: false, unheard: 0, earlier: QuotaCounters::default() }
    }

    /// When [`QuotaDriver::due`] is to be called at the latest.
    pub(super) fn next_due(&self) -> Time {
        self.shares.next_timeout()
    }

    /// Time has passed. Who is there may have changed; another process under this name may count.
    pub(super) fn due(
        &mut self,
        now: Time,
        members: &mut Membership,
        out: &mut Vec<RawMemberId>,
    ) -> Option<Share> {
        if own(members) != self.me {
            // It has come back as another process, which knows nothing of leases.
            let before = self.shares.counters();
            *self = QuotaDriver {
                earlier: sum(self.earlier, before),
                ..QuotaDriver::new(self.config.clone(), members, now)
            };
        }
        self.shares
            .set_live_processes(members.live_peers().map(|(place, start)| Process { address: place, start }));
        let mut said = Vec::new();
        self.shares.handle_timeout(now, &mut said);
        self.carry_out(now, said, members, out)
    }

    /// This process ends soon.
    pub(super) fn leave(&mut self) {
        self.shares.leave();
    }

    /// Another member has said something.
    pub(super) fn heard(
        &mut self,
        now: Time,
        bytes: &[u8],
        members: &mut Membership,
        out: &mut Vec<RawMemberId>,
    ) -> Option<Share> {
        let message = match decode(&self.config.settings, bytes) {
            Ok(message) => message,
            Err(DecodeError::Malformed(_) | DecodeError::TrailingBytes(_)) => {
                self.unheard += 1;
                return None;
            }
            Err(DecodeError::OtherSettings) => {
                self.unheard += 1;
                // Said once: it is for operators to mend.
                if !std::mem::replace(&mut self.differs, true) {
                    log("fleet: ERROR: a member has other founders, size or times of shares than this one: they do not share");
                }
                return None;
            }
        };
        let mut said = Vec::new();
        self.shares.handle_message(now, &message, &mut said);
        self.carry_out(now, said, members, out)
    }

    /// What the decision module is to be told now.
    pub(super) fn share(&self, now: Time) -> Share {
        let lease = self.shares.lease();
        Share {
            part: part(self.shares.guaranteed_minimum() + lease.parts_at(now)),
            until: lease.expires_at,
            base: part(self.shares.guaranteed_minimum()),
            whole: self.config.whole,
        }
    }

    /// What operators see.
    pub(super) fn seen(&self, now: Time) -> Seen {
        Seen {
            share: part(self.shares.usable_parts(now)),
            base: part(self.shares.guaranteed_minimum()),
            lease_ms: self.shares.lease().expires_at.saturating_sub(now),
            view: self.shares.view_number(),
            steward: self.shares.is_leader(now),
        }
    }

    /// What was counted, by name.
    pub(super) fn list(&self) -> Vec<(&'static str, u64)> {
        let counts = sum(self.earlier, self.shares.counters());
        vec![
            ("fleet_leases_granted", counts.leases_granted),
            ("fleet_leases_refused", counts.leases_refused),
            ("fleet_leases_ended", counts.leases_expired),
            ("fleet_stewardships", counts.terms_led),
            ("fleet_shares_unheard", self.unheard),
        ]
    }

    fn carry_out(
        &self,
        now: Time,
        said: Vec<Output>,
        members: &mut Membership,
        out: &mut Vec<RawMemberId>,
    ) -> Option<Share> {
        let mut changed = false;
        for output in said {
            match output {
                Output::Send(to, message) => {
                    members.send_quota_message(to, &encode(&self.config.settings, &message), out);
                }
                Output::Event(QuotaEvent::LeaseGranted(_)) => changed = true,
                Output::Event(news) => {
                    changed |= news == QuotaEvent::LeaseExpired;
                    log(&format!("fleet: {}", in_words(&news)));
                }
            }
        }
        changed.then(|| self.share(now))
    }
}

fn own(members: &Membership) -> Process {
    Process { address: members.local_id().address, start: members.local_id().start }
}

fn part(of: u64) -> f64 {
    of as f64 / WHOLE_PARTS as f64
}

fn sum(a: QuotaCounters, b: QuotaCounters) -> QuotaCounters {
    QuotaCounters {
        leases_granted: a.leases_granted + b.leases_granted,
        leases_refused: a.leases_refused + b.leases_refused,
        leases_expired: a.leases_expired + b.leases_expired,
        terms_led: a.terms_led + b.terms_led,
    }
}

fn in_words(news: &QuotaEvent) -> String {
    match news {
        QuotaEvent::LeaseGranted(lease) => format!("holds {} of {WHOLE_PARTS} by lease", lease.parts),
        QuotaEvent::LeaseExpired => "its lease has ended: this process has only its base".to_owned(),
        QuotaEvent::BecameLeader => "this process is the steward: it leases shares".to_owned(),
        QuotaEvent::LostLeadership => "this process is the steward no longer".to_owned(),
        QuotaEvent::ViewChanged(number) => format!("view {number} counts"),
    }
}
