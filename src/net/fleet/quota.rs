//! The shares of a member that speaks: between the core of shares, the members that carry its words, and the decision
//! module, which is told each time that its share changes.

use super::SharesConfig;
use crate::net::log::log;
use pinetrail_membership::{Members, Output as Told, Time};
use pinetrail_quota::{read, words, Counts, News, Output, Process, Shares, Unheard, WHOLE};
use serde::Serialize;

/// This process's share, by the fleet's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
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
pub struct Seen {
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
pub struct Sharing {
    config: SharesConfig,
    shares: Shares,
    me: Process,
    /// Whether it was said that another has other settings.
    differs: bool,
    /// Words that were not heard, and counts of processes before.
    unheard: u64,
    earlier: Counts,
}

impl Sharing {
    /// A process that has its base.
    pub fn new(config: SharesConfig, members: &Members, now: Time) -> Sharing {
        let me = own(members);
        let shares = Shares::new(config.settings.clone(), me, now).expect("settings were checked");
        Sharing { config, shares, me, differs: false, unheard: 0, earlier: Counts::default() }
    }

    /// When [`Sharing::due`] is to be called at the latest.
    pub fn next_due(&self) -> Time {
        self.shares.next_due()
    }

    /// Time has passed. Who is there may have changed; another process under this name may count.
    pub fn due(&mut self, now: Time, members: &mut Members, out: &mut Vec<Told>) -> Option<Share> {
        if own(members) != self.me {
            // It has come back as another process, which knows nothing of leases.
            let before = self.shares.counts();
            *self = Sharing {
                earlier: sum(self.earlier, before),
                ..Sharing::new(self.config.clone(), members, now)
            };
        }
        self.shares.know(members.there().map(|(place, start)| Process { place, start }));
        let mut said = Vec::new();
        self.shares.due(now, &mut said);
        self.carry_out(now, said, members, out)
    }

    /// This process ends soon.
    pub fn leave(&mut self) {
        self.shares.leave();
    }

    /// Another member has said something.
    pub fn heard(
        &mut self,
        now: Time,
        bytes: &[u8],
        members: &mut Members,
        out: &mut Vec<Told>,
    ) -> Option<Share> {
        let message = match read(&self.config.settings, bytes) {
            Ok(message) => message,
            Err(Unheard::Spoilt) => {
                self.unheard += 1;
                return None;
            }
            Err(Unheard::OtherSettings) => {
                self.unheard += 1;
                // Said once: it is for operators to mend.
                if !std::mem::replace(&mut self.differs, true) {
                    log("fleet: ERROR: a member has other founders, size or times of shares than this one: they do not share");
                }
                return None;
            }
        };
        let mut said = Vec::new();
        self.shares.hear(now, &message, &mut said);
        self.carry_out(now, said, members, out)
    }

    /// What the decision module is to be told now.
    pub fn share(&self, now: Time) -> Share {
        let lease = self.shares.lease();
        Share {
            part: part(self.shares.base() + lease.at(now)),
            until: lease.until,
            base: part(self.shares.base()),
            whole: self.config.whole,
        }
    }

    /// What operators see.
    pub fn seen(&self, now: Time) -> Seen {
        Seen {
            share: part(self.shares.share(now)),
            base: part(self.shares.base()),
            lease_ms: self.shares.lease().until.saturating_sub(now),
            view: self.shares.view(),
            steward: self.shares.is_steward(now),
        }
    }

    /// What was counted, by name.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        let counts = sum(self.earlier, self.shares.counts());
        vec![
            ("fleet_leases_granted", counts.granted),
            ("fleet_leases_refused", counts.refused),
            ("fleet_leases_ended", counts.ended),
            ("fleet_stewardships", counts.offices),
            ("fleet_shares_unheard", self.unheard),
        ]
    }

    fn carry_out(
        &self,
        now: Time,
        said: Vec<Output>,
        members: &mut Members,
        out: &mut Vec<Told>,
    ) -> Option<Share> {
        let mut changed = false;
        for output in said {
            match output {
                Output::Send(to, message) => {
                    members.say_of_shares(to, &words(&self.config.settings, &message), out);
                }
                Output::News(News::Leased(_)) => changed = true,
                Output::News(news) => {
                    changed |= news == News::Ended;
                    log(&format!("fleet: {}", in_words(&news)));
                }
            }
        }
        changed.then(|| self.share(now))
    }
}

fn own(members: &Members) -> Process {
    Process { place: members.me().address, start: members.me().start }
}

fn part(of: u64) -> f64 {
    of as f64 / WHOLE as f64
}

fn sum(a: Counts, b: Counts) -> Counts {
    Counts {
        granted: a.granted + b.granted,
        refused: a.refused + b.refused,
        ended: a.ended + b.ended,
        offices: a.offices + b.offices,
    }
}

fn in_words(news: &News) -> String {
    match news {
        News::Leased(lease) => format!("holds {} of {WHOLE} by lease", lease.part),
        News::Ended => "its lease has ended: this process has only its base".to_owned(),
        News::Steward(true) => "this process is the steward: it leases shares".to_owned(),
        News::Steward(false) => "this process is the steward no longer".to_owned(),
        News::View(number) => format!("view {number} counts"),
    }
}
