//! One final answer for each request, in time, and given by a provider.

use crate::history::{Answer, End, History};
use crate::request_index::{Ledger, Request};
use crate::violation::{CheckError, Reason, Violation};

pub(crate) fn check(history: &History, ledger: &Ledger) -> Result<Vec<Violation>, CheckError> {
    let end = history.events.last().map_or(0.0, |event| event.0);
    let mut breaches = Vec::new();
    for (id, request) in &ledger.requests {
        let mut broken = |reason, at, events| {
            breaches.push(Violation { reason, about: (*id).to_owned(), at, events });
        };
        let (asked, from) = request.asked;
        let due = from + request.budget + request.figures.answer_slack + history.clock_error;
        match request.answers.as_slice() {
            [] if request.began.is_some() || request.excused.is_some_and(|at| at <= due) => {}
            [] => match request.proxy_left {
                Some((left, at)) => broken(Reason::Lost, at, vec![asked, left]),
                None if end <= due => return Err(CheckError::Unfinished((*id).to_owned())),
                None => broken(Reason::Lost, due, vec![asked]),
            },
            [(event, at, answer), more @ ..] => {
                if request.began.unwrap_or(*at) > due {
                    broken(Reason::Late, *at, vec![asked, *event]);
                }
                if !given(request, answer) {
                    broken(Reason::MadeUp, *at, vec![asked, *event]);
                }
                for (again, at, _) in more {
                    broken(Reason::Twice, *at, vec![*event, *again]);
                }
                for call in request.calls.iter().filter(|call| call.first > *at + history.clock_error) {
                    broken(Reason::AfterTheEnd, call.first, vec![*event, call.event]);
                }
            }
        }
    }
    for (event, at, request) in &ledger.unasked {
        let about = (*request).to_owned();
        breaches.push(Violation { reason: Reason::Unasked, about, at: *at, events: vec![*event] });
    }
    Ok(breaches)
}

/// Whether what was served came from a provider, for this request.
fn given(request: &Request, answer: &Answer) -> bool {
    let Answer::Served(value) = answer else { return true };
    request.calls.iter().any(|call| matches!(call.end, Some((_, End::Served(given))) if given == value))
}
