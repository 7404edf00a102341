//! What the dispatcher's one lock guards: [`DispatcherState`]. It holds every open request
//! ([`InFlightRequest`]) and every known backend ([`Endpoint`]) beside the decision module.

use super::endpoint_ids::EndpointIds;
use super::maintenance::MaintenanceSet;
use super::messages::{ClientRequest, Response, ResponseCallback};
use super::start_times::StartTimes;
use crate::interface::{RequestId, ServerId, State, Time};
use crate::logic::Balancer;
use crate::net::config::Names;
use crate::net::timer::TimerSet;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

/// All that changes while the dispatcher runs.
pub(super) struct DispatcherState {
    /// The decision module.
    pub balancer: Balancer,
    /// What names mean to the module.
    pub names: Arc<Names>,
    /// Number of the kind of machine that is the origin; negative for none.
    pub origin_kind: i64,
    /// Requests that are not responded to, or still have an attempt in flight.
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    /// When responses that are pending are due, the earliest first.
    pub due: BTreeSet<(Instant, RequestId)>,
    /// The clients' ids of `requests`: no two may be open under one.
    pub open_ids: BTreeSet<String>,
    /// The request id given last.
    pub last_id: RequestId,
    /// The backends of discovery's list, and those that were in it and have an attempt in flight.
    pub endpoints: BTreeMap<ServerId, Endpoint>,
    /// The numbers of backends' names.
    pub endpoint_ids: EndpointIds,
    /// When the processes of listed backends started.
    pub start_times: StartTimes,
    /// What discovery listed, and what operators keep out of service.
    pub maintenance: MaintenanceSet,
    /// Which version of the fleet's policy the settings are; 0 for this proxy's own.
    pub policy_version: u64,
}

/// A request, until it is responded to and all its attempts have ended.
pub(super) struct InFlightRequest {
    /// What the client asked.
    pub request: Arc<ClientRequest>,
    /// Until it is responded to; taken by [`DispatcherState::take_pending`] only.
    pub pending: Option<PendingResponse>,
    /// When its response is due.
    pub due: Instant,
    /// How many attempts the module has asked for, including those that were not sent.
    pub attempts_ordered: u8,
    /// The attempts in flight by their number.
    pub attempts: BTreeMap<u8, InFlightAttempt>,
    /// When its response began to stream.
    pub stream_began: Option<Time>,
}

/// An attempt that was handed to the backend service and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    /// The backend that it went to.
    pub server: ServerId,
    /// When that was, in Unix ms.
    pub sent: Time,
}

/// The response that is owed, and the timers that end with it.
pub(super) struct PendingResponse {
    /// Who takes the response.
    pub respond: ResponseCallback,
    /// The deadline of the request and the module's timers for it.
    pub timers: TimerSet,
}

impl PendingResponse {
    /// Responds, and only then ends the timers: the response goes out before they wake.
    pub(super) fn send(self, response: Response) {
        (self.respond)(response);
        drop(self.timers);
    }
}

/// A backend as discovery listed it last.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Where it is reached.
    pub address: Arc<str>,
    /// Whether it takes attempts.
    pub state: State,
    /// When its process started, in ms on this process's clock.
    pub started: Time,
    /// Whether it is the origin.
    pub is_origin: bool,
}

impl Endpoint {
    /// Whether it takes new attempts.
    pub(super) fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether another entry of the list means the same process at the same address.
    pub(super) fn is_same_process(&self, other: &Endpoint) -> bool {
        self.address == other.address && self.started == other.started
    }
}

impl DispatcherState {
    /// Forgets backends that are gone and have no attempt in flight: they are replaced for as long
    /// as the program runs.
    pub(super) fn forget_gone_endpoints(&mut self) {
        let requests = self.requests.values();
        let busy: BTreeSet<ServerId> =
            requests.flat_map(|request| request.attempts.values().map(|attempt| attempt.server)).collect();
        self.endpoints.retain(|server, endpoint| endpoint.state != State::Gone || busy.contains(server));
        let endpoints = &self.endpoints;
        self.endpoint_ids.retain(|server| endpoints.contains_key(&server));
    }

    /// The client's id of a request; empty if it is not known any more.
    pub(super) fn opaque(&self, id: RequestId) -> &str {
        self.requests.get(&id).map_or("", |in_flight| &in_flight.request.opaque)
    }

    /// Forgets a request.
    pub(super) fn forget_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.open_ids.remove(&request.request.opaque);
        }
    }

    /// Forgets a request that is responded to and has no attempt in flight.
    pub(super) fn forget_if_over(&mut self, id: RequestId) {
        let is_over = |request: &InFlightRequest| request.pending.is_none() && request.attempts.is_empty();
        if self.requests.get(&id).is_some_and(is_over) {
            self.forget_request(id);
        }
    }

    /// Takes the response that is owed to a request, if it still is: whoever has it must send it or
    /// drop it.
    pub(super) fn take_pending(&mut self, id: RequestId) -> Option<PendingResponse> {
        let request = self.requests.get_mut(&id)?;
        let pending = request.pending.take()?;
        self.due.remove(&(request.due, id));
        Some(pending)
    }
}
