//! What a steward has leased, and what may still be in use of it.

use crate::message::LeaseRequest;
use crate::settings::Settings;
use crate::view::Process;
use crate::{Parts, Time, LEASED_PARTS};
use std::collections::BTreeMap;

/// What one holder was given for one want.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Given {
    want_at: Time,
    part: Parts,
    /// Until when calls that began under it may run, by this process's clock.
    until: Time,
}

/// What a steward has leased in its office.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    /// Before this time somebody may hold by lease of an earlier steward what this one does not know of.
    settled: Time,
    given: BTreeMap<Process, Vec<Given>>,
    wanted: BTreeMap<Process, Time>,
}

impl Ledger {
    /// The ledger of an office that begins now.
    pub(crate) fn new(now: Time, settings: &Settings) -> Ledger {
        let settled = now + settings.in_use();
        Ledger { settled, given: BTreeMap::new(), wanted: BTreeMap::new() }
    }

    /// What is leased to a holder that wants it; none if there is nothing for it yet.
    ///
    /// Danger: until it is settled what earlier stewards gave, all that holders have together is at most what there
    /// is, but not all of it is known here: what they have is renewed, and nothing more is given.
    pub(crate) fn lease(
        &mut self,
        now: Time,
        holder: Process,
        want: LeaseRequest,
        settings: &Settings,
    ) -> Parts {
        self.given.retain(|_, given| {
            given.retain(|one| now < one.until);
            !given.is_empty()
        });
        let silent = settings.in_use();
        self.wanted.insert(holder, now);
        self.wanted.retain(|_, at| *at + silent > now);
        let due = LEASED_PARTS / self.wanted.len().max(1) as Parts;
        let own = self.given.entry(holder).or_default();
        // What was leased for wants before the one by which it holds is in use until calls of then have ended.
        let ended = now + settings.stretched(settings.calls);
        own.iter_mut()
            .filter(|one| one.want_at < want.since)
            .for_each(|one| one.until = one.until.min(ended));
        let step = due.div_ceil(settings.steps);
        let part = if now < self.settled {
            due.min(want.holds)
        } else {
            let others: Parts =
                self.given.iter().filter(|(who, _)| **who != holder).map(|(_, given)| most(given)).sum();
            due.min(want.holds + step).min(LEASED_PARTS.saturating_sub(others))
        };
        let until = now + settings.in_use();
        let own = self.given.entry(holder).or_default();
        // Danger: what it holds by an earlier steward is in use as well.
        let since = Given { want_at: want.since, part: want.holds, until };
        if want.holds > 0 && !own.iter().any(|one| one.want_at == want.since && one.part >= want.holds) {
            own.push(since);
        }
        own.push(Given { want_at: want.at, part, until });
        part
    }
}

fn most(given: &[Given]) -> Parts {
    given.iter().map(|one| one.part).max().unwrap_or(0)
}
