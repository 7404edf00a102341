//! The requests of a history, each with its calls and answers.

use crate::history::{Answer, Class, End, Figures, History, HistoryEvent, Process, Time};
use crate::violation::CheckError;
use std::collections::BTreeMap;

/// A request, and under which figures it was taken.
pub(crate) struct Request<'a> {
    pub asked: (usize, Time),
    pub proxy: &'a str,
    pub figures: &'a Figures,
    pub class: Class,
    pub budget: Time,
    pub began: Option<Time>,
    pub answers: Vec<(usize, Time, &'a Answer)>,
    /// When it was no longer owed an answer: its consumer left, or its proxy was killed.
    pub excused: Option<Time>,
    /// When its proxy ended by itself, which excuses nothing.
    pub proxy_left: Option<(usize, Time)>,
    pub calls: Vec<Call<'a>>,
}

/// A call of a request.
pub(crate) struct Call<'a> {
    pub event: usize,
    pub place: &'a str,
    pub first: Time,
    pub end: Option<(Time, &'a End)>,
}

impl Call<'_> {
    /// Whether it may have run, by what was known at a time.
    pub(crate) fn may_have_run(&self, at: Time) -> bool {
        !self.end.is_some_and(|(ended, end)| ended <= at && matches!(end, End::Missed | End::TurnedAway))
    }
}

/// All requests by their ids, and the calls that belong to none.
#[derive(Default)]
pub(crate) struct Ledger<'a> {
    pub requests: BTreeMap<&'a str, Request<'a>>,
    pub unasked: Vec<(usize, Time, &'a str)>,
}

impl<'a> Ledger<'a> {
    /// Reads a history.
    pub(crate) fn read(history: &'a History) -> Result<Ledger<'a>, CheckError> {
        if history.events.is_empty() {
            return Err(CheckError::Empty);
        }
        if let Some(at) = history.events.windows(2).position(|pair| pair[1].0 < pair[0].0) {
            return Err(CheckError::OutOfOrder(at + 1));
        }
        let mut ledger = Ledger::default();
        let mut in_force: BTreeMap<&str, &Figures> = BTreeMap::new();
        let mut calls: BTreeMap<u64, Option<(&str, usize)>> = BTreeMap::new();
        for (event, (at, seen)) in history.events.iter().enumerate() {
            let (at, unknown) = (*at, CheckError::Unknown(event));
            match seen {
                HistoryEvent::InForce { proxy, figures } => drop(in_force.insert(proxy, figures)),
                HistoryEvent::Asked { proxy, request, class, budget } => {
                    let figures = *in_force.get(proxy.as_str()).ok_or(unknown.clone())?;
                    let class = *figures.classes.get(class).ok_or(unknown)?;
                    let request_of = Request {
                        asked: (event, at),
                        proxy,
                        figures,
                        class,
                        budget: *budget,
                        began: None,
                        answers: Vec::new(),
                        excused: None,
                        proxy_left: None,
                        calls: Vec::new(),
                    };
                    if ledger.requests.insert(request, request_of).is_some() {
                        return Err(CheckError::Again(event));
                    }
                }
                HistoryEvent::Began { request } => {
                    ledger.find(request).ok_or(unknown)?.began.get_or_insert(at);
                }
                HistoryEvent::Answered { request, answer } => {
                    ledger.find(request).ok_or(unknown)?.answers.push((event, at, answer));
                }
                HistoryEvent::Left { request } => {
                    ledger.find(request).ok_or(unknown)?.excused.get_or_insert(at);
                }
                HistoryEvent::Ended { proxy, how } => {
                    let held = ledger.requests.values_mut().filter(|r| r.proxy == proxy);
                    for held in held.filter(|r| r.answers.is_empty()) {
                        match how {
                            Process::Killed => _ = held.excused.get_or_insert(at),
                            Process::Left => _ = held.proxy_left.get_or_insert((event, at)),
                        }
                    }
                }
                HistoryEvent::Received { request, call, place, first, .. } => {
                    let of = match ledger.find(request) {
                        Some(of) => {
                            of.calls.push(Call { event, place, first: *first, end: None });
                            Some((request.as_str(), of.calls.len() - 1))
                        }
                        None => {
                            ledger.unasked.push((event, at, request));
                            None
                        }
                    };
                    if calls.insert(*call, of).is_some() {
                        return Err(CheckError::Again(event));
                    }
                }
                HistoryEvent::Closed { call, end } => {
                    if let Some((request, number)) = calls.get(call).ok_or(unknown)? {
                        let closed = ledger.find(request).and_then(|of| of.calls.get_mut(*number));
                        if let Some(call) = closed {
                            call.end.get_or_insert((at, end));
                        }
                    }
                }
                HistoryEvent::Told { .. }
                | HistoryEvent::Started { .. }
                | HistoryEvent::Share { .. }
                | HistoryEvent::Bound { .. } => {}
            }
        }
        if ledger.requests.is_empty() {
            Err(CheckError::NoRequest)
        } else {
            Ok(ledger)
        }
    }

    fn find(&mut self, request: &str) -> Option<&mut Request<'a>> {
        self.requests.get_mut(request)
    }
}
