//! One process's shares: what comes in, what goes out, and what it may use now.

use crate::leader_term::{LeaderTerm, Phase};
use crate::lease::Lease;
use crate::message::{LeaseGrant, Message, VoteRequest, VoteResponse};
use crate::settings::{Settings, SettingsError};
use crate::view::Process;
use crate::voter::Voter;
use crate::{Parts, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Say this there.
    Send(SocketAddr, Message),
    /// Hear something.
    QuotaEvent(QuotaEvent),
}

/// What the rest of the program hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// It holds another lease, or the same for longer.
    Leased(Lease),
    /// Its lease has ended without another: it has its base.
    Ended,
    /// It is the steward from now on, or no longer.
    Steward(bool),
    /// Another view counts.
    View(u64),
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaCounters {
    /// Leases given as the steward.
    pub granted: u64,
    /// Times that the steward had nothing to lease to somebody who wanted it.
    pub refused: u64,
    /// Leases that ended without another.
    pub ended: u64,
    /// Times that it became the steward.
    pub offices: u64,
}

/// The shares as one process knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    settings: Settings,
    me: Process,
    seat: Voter,
    standing: Option<LeaderTerm>,
    lease: Lease,
    has_lease: bool,
    alive: BTreeSet<Process>,
    began: Time,
    /// When it asks next, or stands.
    next: Time,
    lost: u64,
    counts: QuotaCounters,
}

impl QuotaLeases {
    /// A process that has just started: it has its base.
    pub fn new(settings: Settings, me: Process, now: Time) -> Result<QuotaLeases, SettingsError> {
        settings.check()?;
        let mut shares = QuotaLeases {
            seat: Voter::new(me, now),
            me,
            standing: None,
            lease: Lease::default(),
            has_lease: false,
            alive: BTreeSet::new(),
            began: now,
            next: now,
            lost: 0,
            counts: QuotaCounters::default(),
            settings,
        };
        shares.next = shares.patience(now);
        Ok(shares)
    }

    /// What it may use at this time.
    pub fn share(&self, now: Time) -> Parts {
        self.settings.base() + self.lease.at(now)
    }

    /// What is always its own.
    pub fn base(&self) -> Parts {
        self.settings.base()
    }

    /// What it holds by lease.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// The number of the view that counts; 0 if it knows none.
    pub fn view(&self) -> u64 {
        self.seat.view.as_ref().map_or(0, |view| view.number)
    }

    /// Whether it is the steward at this time.
    pub fn is_leader(&self, now: Time) -> bool {
        self.standing.as_ref().is_some_and(|standing| standing.serves(now))
    }

    /// What was counted.
    pub fn counters(&self) -> QuotaCounters {
        self.counts
    }

    /// When [`QuotaLeases::due`] is to be called at the latest.
    pub fn next_timeout(&self) -> Time {
        if self.has_lease {
            self.next.min(self.lease.until)
        } else {
            self.next
        }
    }

    /// Who is there, itself aside, as far as is known. Nothing that holds depends on whether that is true.
    pub fn set_live_processes(&mut self, alive: impl IntoIterator<Item = Process>) {
        self.alive = alive.into_iter().filter(|process| process.address != self.me.address).collect();
    }

    /// This process ends soon. It holds what it holds for as long as it is there, but votes in no view after this one.
    pub fn leave(&mut self) {
        self.seat.leaves = true;
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        self.look(now, out);
        if now < self.next {
            return;
        }
        if let Some(standing) = &self.standing {
            let gives_up =
                standing.phase == Phase::Asking && now >= standing.began + self.settings.period * 4;
            if !gives_up {
                return self.ask(now, out);
            }
            self.standing = None;
            self.lost += 1;
            self.next = self.patience(now);
            return;
        }
        self.next = self.patience(self.seat.heard.max(self.began));
        if now < self.next || !self.seat.is_free(now) {
            self.next = self.next.max(now + self.settings.period);
            return;
        }
        let is_founder = self.settings.founders.binary_search(&self.me.address).is_ok();
        let is_lost = now >= self.seat.heard + self.settings.lease * 2 && self.lost % 2 == 1;
        let founds = is_founder && (!self.seat.is_seated() || is_lost);
        if founds || self.seat.is_seated() {
            self.standing = Some(LeaderTerm::new(self.me, now, &mut self.seat, founds));
            self.ask(now, out);
        } else {
            self.next = now + self.settings.period;
        }
    }

    /// Another process has said something.
    pub fn handle_message(&mut self, now: Time, message: &Message, out: &mut Vec<Output>) {
        self.look(now, out);
        match message {
            Message::VoteRequest(ask) if ask.ballot.who != self.me => self.asked(now, ask, out),
            Message::VoteRequest(_) => {}
            Message::VoteResponse(answer) => self.answered(now, answer, out),
            Message::LeaseGrant(grant) => self.granted(now, grant, out),
        }
    }

    /// What has ended by now.
    fn look(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_lease && self.lease.at(now) == 0 {
            self.has_lease = false;
            self.counts.ended += 1;
            out.push(Output::QuotaEvent(QuotaEvent::Ended));
        }
        if self.standing.as_ref().is_some_and(|standing| standing.is_over(now)) {
            self.stand_down(now, out);
        }
    }

    fn stand_down(&mut self, now: Time, out: &mut Vec<Output>) {
        let before = self.standing.take();
        if before.is_some_and(|standing| matches!(standing.phase, Phase::Serving { .. })) {
            out.push(Output::QuotaEvent(QuotaEvent::Steward(false)));
        }
        self.next = self.patience(now);
    }

    /// Does not become steward this time. Its vote for itself is counted by nobody else.
    fn give_up(&mut self, now: Time) {
        self.standing = None;
        self.seat.release();
        self.lost += 1;
        self.next = self.patience(now);
    }

    /// When it stands if it hears of no steward since: one after the other.
    fn patience(&self, since: Time) -> Time {
        let council = self.seat.view.as_ref().map(|view| &view.voters);
        let order: Vec<SocketAddr> = match council {
            Some(council) => council.iter().map(|process| process.address).collect(),
            None => self.settings.founders.clone(),
        };
        let is_there = |place: &&SocketAddr| self.alive.iter().any(|process| process.address == **place);
        let rank = order.iter().take_while(|place| **place != self.me.address).filter(is_there).count();
        let turn = (1 + rank as Time) * self.settings.period;
        // Those who failed together stand again at different times.
        let mixed = (self.me.start ^ rank as u64).wrapping_add(self.lost).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        since + self.settings.stretched(self.settings.vote) + turn + (mixed >> 32) % self.settings.period
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next = now + self.settings.period;
        let Some(standing) = &mut self.standing else { return };
        let founders = &self.settings.founders;
        let there = self.alive.iter().filter(|process| founders.binary_search(&process.address).is_ok());
        let council: Vec<Process> = there.copied().chain([self.me]).collect();
        standing.propose(now, council, &mut self.seat, &self.settings);
        let ask = standing.ask(now);
        let known = self.alive.iter().map(|process| process.address);
        let places: BTreeSet<SocketAddr> =
            known.chain(standing.electorate(&self.settings)).chain(founders.iter().copied()).collect();
        for place in places.into_iter().filter(|place| *place != self.me.address) {
            out.push(Output::Send(place, Message::VoteRequest(Box::new(ask.clone()))));
        }
        // Its own vote is one like any other.
        let want = self.lease.want(now);
        let own = self.seat.answer(now, &ask, want, &self.settings);
        self.answered(now, &own, out);
    }

    fn asked(&mut self, now: Time, ask: &VoteRequest, out: &mut Vec<Output>) {
        let before = self.view();
        let is_asking = self.standing.as_ref().is_some_and(|standing| standing.phase == Phase::Asking);
        if is_asking && ask.ballot > self.seat.seen {
            // Two that ask for votes at the same time would both get too few.
            self.give_up(now);
        }
        let answer = self.seat.answer(now, ask, self.lease.want(now), &self.settings);
        self.changed(now, before, out);
        if ask.in_office {
            self.lost = 0;
            if self.standing.is_none() {
                self.next = self.patience(now);
            }
        }
        out.push(Output::Send(ask.ballot.who.address, Message::VoteResponse(Box::new(answer))));
    }

    /// A view of another's has come to count, or not.
    fn changed(&mut self, now: Time, before: u64, out: &mut Vec<Output>) {
        if self.view() != before {
            out.push(Output::QuotaEvent(QuotaEvent::View(self.view())));
            self.stand_down(now, out);
        }
    }

    fn answered(&mut self, now: Time, answer: &VoteResponse, out: &mut Vec<Output>) {
        self.seat.sees(answer.promised, answer.number);
        let before = self.view();
        if let Some(view) = &answer.newer {
            self.seat.adopt(view);
            self.changed(now, before, out);
        }
        if answer.ballot.who != self.me {
            return;
        }
        let Some(standing) = &mut self.standing else { return };
        let served = standing.serves(now);
        standing.hear(now, answer, &mut self.seat, &self.settings);
        let serves = standing.serves(now);
        let number = self.seat.view.as_ref().map_or(0, |view| view.number);
        if number != before {
            out.push(Output::QuotaEvent(QuotaEvent::View(number)));
        }
        if serves && !served {
            self.counts.offices += 1;
            self.seat.heard = now;
            self.lost = 0;
            // What holders have ends soon: they are asked at once.
            self.next = now;
            out.push(Output::QuotaEvent(QuotaEvent::Steward(true)));
        }
        // A side that has lost the others goes down within a lease, whoever is steward there.
        let lasts = self.settings.lease.saturating_sub(standing.silence(now, &self.settings));
        if let Phase::Serving { began, ledger } = &mut standing.phase {
            // Danger: what it held before this office may be another's by now.
            if serves && answer.asked_at >= *began {
                self.seat.heard = now;
                let part = ledger.lease(now, answer.from, answer.want, &self.settings);
                self.counts.granted += u64::from(part > 0);
                self.counts.refused += u64::from(part == 0);
                let grant = LeaseGrant {
                    from: self.me,
                    to: answer.from,
                    want_at: answer.want.at,
                    part,
                    lasts,
                    view: number,
                };
                if answer.from == self.me {
                    self.granted(now, &grant, out);
                } else if part > 0 {
                    out.push(Output::Send(answer.from.address, Message::LeaseGrant(grant)));
                }
            }
        }
    }

    fn granted(&mut self, now: Time, grant: &LeaseGrant, out: &mut Vec<Output>) {
        // Danger: what was leased to the process before this one at its seat is none of its.
        if grant.to == self.me && grant.part > 0 && self.lease.take(grant, self.settings.lease) {
            self.has_lease = self.lease.at(now) > 0;
            out.push(Output::QuotaEvent(QuotaEvent::Leased(self.lease)));
        }
    }
}
