//! No effect twice: which calls and which refusals a request may have after the calls before them.

use crate::history::{Answer, Effect, History, HistoryEvent, Node, Scope, Time};
use crate::request_index::{Call, Ledger, Request};
use crate::violation::{Reason, Violation};
use std::collections::BTreeMap;

pub(crate) fn check(history: &History, ledger: &Ledger) -> Vec<Violation> {
    let nodes = places(history);
    let mut breaches = Vec::new();
    for (id, request) in &ledger.requests {
        let mut broken = |reason, at, events| {
            breaches.push(Violation { reason, about: (*id).to_owned(), at, events });
        };
        for (number, call) in request.calls.iter().enumerate() {
            let before = &request.calls[..number];
            if number >= request.figures.attempts {
                broken(Reason::TooMany, call.first, vec![request.asked.0, call.event]);
            }
            let is_out = |earlier: &&Call| {
                earlier.end.is_none_or(|(ended, _)| ended > call.first + history.clock_error)
            };
            if let Some(earlier) = before.iter().find(is_out).filter(|_| !request.figures.second_copies) {
                broken(Reason::TwoAtOnce, call.first, vec![earlier.event, call.event]);
            }
            // Each one that may have run binds: the group and the window are those of every earlier call.
            let ran = before.iter().filter(|earlier| earlier.may_have_run(call.first + history.clock_error));
            let harms = ran.map(|ran| (ran, harm(history, request, ran, call, &nodes)));
            if let Some((ran, reason)) = harms.filter_map(|(ran, harm)| Some((ran, harm?))).next() {
                broken(reason, call.first, vec![ran.event, call.event]);
            }
        }
        for (event, at, _) in request.answers.iter().filter(|answer| *answer.2 == Answer::Refused) {
            let ran = request.calls.iter().filter(|call| call.first <= *at && call.may_have_run(*at));
            let harmful = ran.into_iter().find(|ran| !may_refuse(history, request, ran, *at));
            if let Some(ran) = harmful {
                broken(Reason::Refused, *at, vec![ran.event, *event]);
            }
        }
    }
    breaches
}

fn may_refuse(history: &History, request: &Request, ran: &Call, at: Time) -> bool {
    match request.class.effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed => {
            request.class.scope == Scope::All && at - ran.first <= request.class.window + history.clock_error
        }
    }
}

/// Why a call does harm after one that may have run.
fn harm(
    history: &History,
    request: &Request,
    ran: &Call,
    call: &Call,
    nodes: &BTreeMap<&str, &Node>,
) -> Option<Reason> {
    let of = |call: &Call| nodes.get(call.place).map(|node| (node.zone, node.cell));
    let together = match (request.class.scope, of(ran), of(call)) {
        (Scope::All, ..) => true,
        (Scope::Zone, Some(a), Some(b)) => a.0 == b.0,
        (Scope::Cell, Some(a), Some(b)) => a.1 == b.1,
        _ => false,
    };
    match request.class.effect {
        Effect::Safe => None,
        Effect::Unsafe => Some(Reason::Effect),
        Effect::Keyed if !together => Some(Reason::Scope),
        Effect::Keyed if call.first - ran.first > request.class.window + history.clock_error => {
            Some(Reason::Window)
        }
        Effect::Keyed => None,
    }
}

/// The nodes by the places at which they were last told of.
fn places(history: &History) -> BTreeMap<&str, &Node> {
    let told = history.events.iter().filter_map(|(_, seen)| match seen {
        HistoryEvent::Told { nodes, .. } => Some(nodes),
        _ => None,
    });
    told.flatten().map(|node| (node.place.as_str(), node)).collect()
}
