//! Indexes the requests of a history, each with its attempts and responses. Read [`RequestIndex`]
//! first.

use crate::history::{AttemptEnd, Class, History, HistoryEvent, Limits, ProxyEnd, ResponseOutcome, Time};
use crate::violation::CheckError;
use std::collections::BTreeMap;

/// The index of an event in the history, and its time in ms.
#[derive(Clone, Copy)]
pub(crate) struct EventPosition {
    pub event: usize,
    pub at: Time,
}

/// A request, and the limits that were active at its proxy when it was sent.
pub(crate) struct Request<'a> {
    pub sent: EventPosition,
    pub proxy: &'a str,
    pub limits: &'a Limits,
    pub class: Class,
    /// The time for which the client waits for the response, in ms.
    pub budget: Time,
    /// When a body stream began to arrive in response.
    pub body_began: Option<Time>,
    pub responses: Vec<Response<'a>>,
    /// When the client disconnected or the proxy was killed. No response is due from then on.
    pub excused: Option<Time>,
    /// When the proxy exited on its own. The response is still due.
    pub proxy_exited: Option<EventPosition>,
    pub attempts: Vec<Attempt<'a>>,
}

/// A final response that a client received.
pub(crate) struct Response<'a> {
    pub received: EventPosition,
    pub outcome: &'a ResponseOutcome,
}

/// An attempt of a request at a backend.
pub(crate) struct Attempt<'a> {
    /// The index of the event of the attempt's arrival at the backend.
    pub event: usize,
    /// The address of the backend.
    pub address: &'a str,
    /// When the first byte of the attempt arrived at the backend.
    pub began_at: Time,
    /// The end of the attempt; none if the attempt is in flight at the end of the history.
    pub end: Option<ObservedEnd<'a>>,
}

/// The end of an attempt, and its time in ms.
pub(crate) struct ObservedEnd<'a> {
    pub at: Time,
    pub end: &'a AttemptEnd,
}

impl Attempt<'_> {
    /// Whether the request may have run by this attempt, given the events up to a time.
    pub(crate) fn may_have_run(&self, at: Time) -> bool {
        let Some(ObservedEnd { at: ended_at, end }) = &self.end else { return true };
        let did_not_run = matches!(end, AttemptEnd::Missed | AttemptEnd::Rejected);
        *ended_at > at || !did_not_run
    }
}

/// An attempt for which no client sent a request.
pub(crate) struct StrayAttempt<'a> {
    pub received: EventPosition,
    /// The request id that the attempt states.
    pub request: &'a str,
}

/// All requests by their ids, and the attempts that belong to no request.
#[derive(Default)]
pub(crate) struct RequestIndex<'a> {
    pub requests: BTreeMap<&'a str, Request<'a>>,
    pub stray_attempts: Vec<StrayAttempt<'a>>,
}

impl<'a> RequestIndex<'a> {
    /// Builds the index of a history.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the history cannot be checked.
    pub(crate) fn read(history: &'a History) -> Result<RequestIndex<'a>, CheckError> {
        if history.events.is_empty() {
            return Err(CheckError::Empty);
        }
        if let Some(at) = history.events.windows(2).position(|pair| pair[1].0 < pair[0].0) {
            return Err(CheckError::OutOfOrder(at + 1));
        }
        let mut builder = Builder::default();
        for (event, (at, seen)) in history.events.iter().enumerate() {
            builder.add(EventPosition { event, at: *at }, seen)?;
        }
        if builder.index.requests.is_empty() {
            return Err(CheckError::NoRequest);
        }
        Ok(builder.index)
    }
}

/// The position of an attempt in the index: its request, and its number among the request's
/// attempts.
#[derive(Clone, Copy)]
struct AttemptPosition<'a> {
    request: &'a str,
    number: usize,
}

#[derive(Default)]
struct Builder<'a> {
    index: RequestIndex<'a>,
    /// The limits that are active at each proxy.
    active: BTreeMap<&'a str, &'a Limits>,
    /// The positions of attempts by their numbers; none for a stray attempt.
    positions: BTreeMap<u64, Option<AttemptPosition<'a>>>,
}

impl<'a> Builder<'a> {
    fn add(&mut self, when: EventPosition, seen: &'a HistoryEvent) -> Result<(), CheckError> {
        match seen {
            HistoryEvent::ConfigActivated { proxy, limits } => {
                self.active.insert(proxy, limits);
            }
            HistoryEvent::RequestSent { proxy, request, class, budget } => {
                let sent = self.request_sent(when, proxy, class, *budget)?;
                if self.index.requests.insert(request, sent).is_some() {
                    return Err(CheckError::DuplicateId(when.event));
                }
            }
            HistoryEvent::BodyStarted { request } => {
                self.request(when, request)?.body_began.get_or_insert(when.at);
            }
            HistoryEvent::ResponseReceived { request, outcome } => {
                let response = Response { received: when, outcome };
                self.request(when, request)?.responses.push(response);
            }
            HistoryEvent::ClientDisconnected { request } => {
                self.request(when, request)?.excused.get_or_insert(when.at);
            }
            HistoryEvent::ProxyEnded { proxy, how } => self.proxy_ended(when, proxy, *how),
            HistoryEvent::AttemptReceived { request, attempt: number, address, first_byte_at, .. } => {
                let attempt = Attempt { event: when.event, address, began_at: *first_byte_at, end: None };
                let position = self.attempt_received(when, request, attempt);
                if self.positions.insert(*number, position).is_some() {
                    return Err(CheckError::DuplicateId(when.event));
                }
            }
            HistoryEvent::AttemptEnded { attempt, end } => self.attempt_ended(when, *attempt, end)?,
            HistoryEvent::EndpointsListed { .. }
            | HistoryEvent::BackendStarted { .. }
            | HistoryEvent::QuotaStated { .. }
            | HistoryEvent::AttemptLimitSet { .. } => {}
        }
        Ok(())
    }

    fn request(&mut self, when: EventPosition, id: &str) -> Result<&mut Request<'a>, CheckError> {
        self.index.requests.get_mut(id).ok_or(CheckError::UnknownSubject(when.event))
    }

    fn request_sent(
        &self,
        sent: EventPosition,
        proxy: &'a str,
        class: &str,
        budget: Time,
    ) -> Result<Request<'a>, CheckError> {
        let unknown = CheckError::UnknownSubject(sent.event);
        let limits = *self.active.get(proxy).ok_or(unknown.clone())?;
        let class = *limits.classes.get(class).ok_or(unknown)?;
        Ok(Request {
            sent,
            proxy,
            limits,
            class,
            budget,
            body_began: None,
            responses: Vec::new(),
            excused: None,
            proxy_exited: None,
            attempts: Vec::new(),
        })
    }

    fn proxy_ended(&mut self, when: EventPosition, proxy: &str, how: ProxyEnd) {
        let of_proxy = self.index.requests.values_mut().filter(|request| request.proxy == proxy);
        for request in of_proxy.filter(|request| request.responses.is_empty()) {
            match how {
                ProxyEnd::Killed => {
                    request.excused.get_or_insert(when.at);
                }
                ProxyEnd::Exited => {
                    request.proxy_exited.get_or_insert(when);
                }
            }
        }
    }

    fn attempt_received(
        &mut self,
        when: EventPosition,
        id: &'a str,
        attempt: Attempt<'a>,
    ) -> Option<AttemptPosition<'a>> {
        let Some(request) = self.index.requests.get_mut(id) else {
            self.index.stray_attempts.push(StrayAttempt { received: when, request: id });
            return None;
        };
        request.attempts.push(attempt);
        Some(AttemptPosition { request: id, number: request.attempts.len() - 1 })
    }

    fn attempt_ended(
        &mut self,
        when: EventPosition,
        attempt: u64,
        end: &'a AttemptEnd,
    ) -> Result<(), CheckError> {
        let position = self.positions.get(&attempt).ok_or(CheckError::UnknownSubject(when.event))?;
        let Some(AttemptPosition { request, number }) = *position else { return Ok(()) };
        let request = self.index.requests.get_mut(request);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(number)) {
            attempt.end.get_or_insert(ObservedEnd { at: when.at, end });
        }
        Ok(())
    }
}
