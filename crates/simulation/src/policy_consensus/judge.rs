//! What was seen, and what is wrong with it. It knows the promise and nothing of the code.

use super::host::lock;
use super::plan::Plan;
use super::Run;
use pinetrail_policy_consensus::Outcome;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Where.
    pub host: usize,
    /// When, in ms of the simulation: one clock for all hosts.
    pub at: u64,
    /// Under which version.
    pub version: u64,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Good,
    /// A request was admitted under a version after one was under the next.
    Overlap(Admitted, Admitted),
    /// Two hosts had different rules under one number.
    TwoTexts(u64),
    /// A change was told to have ended in two ways, or one that was refused came into force.
    TwoEnds(String),
    /// All was well for long enough, and this host does not admit, or by other rules than others.
    Stuck(usize),
    /// A change is open for ever.
    Open(String),
}

#[derive(Default)]
struct Seen {
    first: BTreeMap<u64, Admitted>,
    last: BTreeMap<u64, Admitted>,
    texts: BTreeMap<u64, String>,
    two_texts: Option<u64>,
    proposed: BTreeMap<String, (String, u64)>,
    ended: BTreeMap<String, Outcome>,
    two_ends: Option<String>,
    stands: BTreeMap<usize, (u64, bool, Option<String>)>,
    last_admitted: BTreeMap<usize, u64>,
    longest_gap: u64,
    log: Vec<String>,
}

impl Seen {
    /// Whether a host cannot have these rules in force.
    fn refused_by(&self, version: u64, host: usize) -> bool {
        self.texts.get(&version).is_some_and(|text| text.starts_with(&format!("bad at {host} ")))
    }
}

/// All that was seen.
#[derive(Clone, Default)]
pub(super) struct RunChecker(Arc<Mutex<Seen>>);

impl RunChecker {
    pub(super) fn log(&self, line: String) {
        lock(&self.0).log.push(line);
    }

    pub(super) fn text(&self, version: u64, text: &str) {
        let mut seen = lock(&self.0);
        if seen.texts.entry(version).or_insert_with(|| text.to_owned()) != text {
            seen.two_texts = Some(version);
        }
    }

    pub(super) fn proposed(&self, id: &str, text: &str, now: u64) {
        lock(&self.0).proposed.insert(id.to_owned(), (text.to_owned(), now));
    }

    /// Changes of which it is not known how they ended.
    pub(super) fn unknown(&self) -> Vec<String> {
        let seen = lock(&self.0);
        seen.proposed.keys().filter(|id| !seen.ended.contains_key(*id)).cloned().collect()
    }

    pub(super) fn ended(&self, id: &str, outcome: Outcome) {
        let mut seen = lock(&self.0);
        if *seen.ended.entry(id.to_owned()).or_insert(outcome) != outcome {
            seen.two_ends = Some(id.to_owned());
        }
    }

    pub(super) fn stands(&self, host: usize, version: u64, steady: bool, open: Option<String>) {
        lock(&self.0).stands.insert(host, (version, steady, open));
    }

    pub(super) fn is_away(&self, host: usize) {
        let mut seen = lock(&self.0);
        seen.last_admitted.remove(&host);
        seen.stands.remove(&host);
    }

    pub(super) fn asked(&self, asked: Admitted, admitted: bool) {
        let mut seen = lock(&self.0);
        if !admitted {
            return;
        }
        seen.first.entry(asked.version).or_insert(asked);
        seen.last.insert(asked.version, asked);
        let before = seen.last_admitted.insert(asked.host, asked.at);
        let gap = before.map_or(0, |before| asked.at - before);
        seen.longest_gap = seen.longest_gap.max(gap);
    }

    pub(super) fn judged(self, plan: Plan) -> Run {
        let seen = std::mem::take(&mut *lock(&self.0));
        let verdict = verdict(&seen, &plan);
        let count = |outcome| seen.ended.values().filter(|ended| **ended == outcome).count() as u32;
        let unknown = seen.proposed.len() - seen.ended.len();
        let took = seen.proposed.values().filter_map(|(text, at)| {
            let version = seen.texts.iter().find(|(_, of)| *of == text)?.0;
            Some(seen.first.get(version)?.at - at)
        });
        Run {
            verdict,
            outcomes: [
                count(Outcome::Committed),
                count(Outcome::Rejected),
                count(Outcome::Abandoned),
                unknown as u32,
            ],
            took: took.collect(),
            longest_gap: seen.longest_gap,
            log: seen.log,
            plan,
        }
    }
}

fn verdict(seen: &Seen, plan: &Plan) -> Verdict {
    if let Some(version) = seen.two_texts {
        return Verdict::TwoTexts(version);
    }
    if let Some(id) = &seen.two_ends {
        return Verdict::TwoEnds(id.clone());
    }
    for (id, outcome) in &seen.ended {
        let text = &seen.proposed[id].0;
        if *outcome != Outcome::Committed && seen.texts.values().any(|of| of == text) {
            return Verdict::TwoEnds(id.clone());
        }
    }
    for (version, last) in &seen.last {
        let later = seen.first.iter().filter(|(other, _)| *other > version).map(|(_, first)| first);
        if let Some(first) = later.min_by_key(|first| first.at).filter(|first| first.at < last.at) {
            return Verdict::Overlap(*last, *first);
        }
    }
    let newest = seen.stands.values().map(|(version, ..)| *version).max().unwrap_or_default();
    for host in 0..plan.hosts {
        match seen.stands.get(&host) {
            Some((_, _, Some(open))) => return Verdict::Open(open.clone()),
            Some((version, true, None)) if *version == newest => {}
            // It was away when it could have said no: it does not take clients, and says why.
            Some((version, false, None)) if *version < newest && seen.refused_by(newest, host) => {}
            _ => return Verdict::Stuck(host),
        }
    }
    Verdict::Good
}
