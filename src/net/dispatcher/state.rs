//! The state behind the dispatcher's lock: the decision module, every open request
//! ([`InFlightRequest`]) and every listed backend ([`Endpoint`]). Read [`DispatcherState`] first.

use super::endpoint_ids::EndpointIds;
use super::executed_ids::{hash_id, ExecutedIds};
use super::maintenance::MaintenanceSet;
use super::messages::{ClientRequest, Response, ResponseCallback};
use super::start_times::StartTimes;
use crate::interface::{BackendId, EndpointState, RequestId};
use crate::logic::Balancer;
use crate::net::timer::TimerSet;
use crate::settings::Idempotency;
use crate::time::Timestamp;
use pinetrail_config::Names;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

/// The mutable state of the dispatcher.
pub(super) struct DispatcherState {
    /// The decision module.
    pub balancer: Balancer,
    /// The names in the active settings, with the decision module's numbers for them.
    pub names: Arc<Names>,
    /// The number of the origin's machine kind; negative if there is no origin.
    pub origin_kind: i64,
    /// The requests that have no response yet or have an attempt in flight.
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    /// The due times of pending responses, the earliest first.
    pub due: BTreeSet<(Instant, RequestId)>,
    /// The ids that clients gave to `requests`. An id identifies at most one open request.
    pub open_ids: BTreeSet<String>,
    /// The ids of ended requests that may have been executed and may not be repeated.
    pub executed_ids: ExecutedIds,
    /// The request id that was assigned last.
    pub last_id: RequestId,
    /// The backends in the endpoint list, and removed ones with an attempt in flight.
    pub endpoints: BTreeMap<BackendId, Endpoint>,
    /// The decision module's numbers for the names of backends.
    pub endpoint_ids: EndpointIds,
    /// The start times of the listed backends' processes.
    pub start_times: StartTimes,
    /// The endpoint list as discovery sent it, and the nodes in maintenance.
    pub maintenance: MaintenanceSet,
    /// Whether the process stops and has ended its open requests, so that none is accepted.
    pub is_stopping: bool,
    /// The version of the fleet's policy that the settings belong to; 0 for the proxy's own
    /// settings.
    pub policy_version: u64,
}

/// A request whose response is not sent yet or whose attempts have not all ended.
pub(super) struct InFlightRequest {
    /// The client's request.
    pub request: Arc<ClientRequest>,
    /// The pending response; `None` once the response is sent. Only
    /// [`DispatcherState::take_pending`] takes it.
    pub pending: Option<PendingResponse>,
    /// The time at which the response is due.
    pub due: Instant,
    /// The number of attempts that the decision module has requested, including those that were not
    /// sent.
    pub attempts_requested: u8,
    /// The attempts in flight, by attempt number.
    pub attempts: BTreeMap<u8, InFlightAttempt>,
    /// The time at which the response began to stream, in Unix ms.
    pub stream_began: Option<Timestamp>,
    /// Whether the request may run any number of times.
    pub is_idempotent: bool,
    /// Whether an attempt that has ended may have executed the request.
    pub may_have_run: bool,
}

/// An attempt that the backend service has received and that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    /// The backend to which the attempt is sent.
    pub backend: BackendId,
    /// The time at which the attempt was handed to the backend service, in Unix ms.
    pub sent: Timestamp,
}

/// A response that is still to be sent, and the timers that are cancelled with it.
pub(super) struct PendingResponse {
    /// The callback that receives the response.
    pub respond: ResponseCallback,
    /// The decision module's timers for the request.
    pub timers: TimerSet,
}

impl PendingResponse {
    /// Sends the response, then cancels the timers, so that the response is sent before their
    /// coroutines run.
    pub(super) fn send(self, response: Response) {
        (self.respond)(response);
        drop(self.timers);
    }
}

/// A backend as described by the last endpoint list.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// The address of the backend.
    pub address: Arc<str>,
    /// The state of the backend in the list.
    pub state: EndpointState,
    /// The start time of the backend's process, in Unix ms on this proxy process's clock.
    pub started: Timestamp,
    /// Whether the backend is the origin.
    pub is_origin: bool,
}

impl Endpoint {
    /// Returns whether the backend takes new attempts.
    pub(super) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns whether `other` is the same process at the same address.
    pub(super) fn is_same_process(&self, other: &Endpoint) -> bool {
        self.address == other.address && self.started == other.started
    }
}

impl DispatcherState {
    /// Removes the backends that are no longer listed and have no attempt in flight. Otherwise the
    /// map would grow with every replaced backend.
    pub(super) fn remove_unlisted_endpoints(&mut self) {
        let requests = self.requests.values();
        let busy: BTreeSet<BackendId> =
            requests.flat_map(|request| request.attempts.values().map(|attempt| attempt.backend)).collect();
        self.endpoints
            .retain(|backend, endpoint| endpoint.state != EndpointState::Gone || busy.contains(backend));
        let endpoints = &self.endpoints;
        self.endpoint_ids.retain(|backend| endpoints.contains_key(&backend));
    }

    /// Returns the id that the client gave to a request; empty if the request was removed.
    pub(super) fn opaque(&self, id: RequestId) -> &str {
        self.requests.get(&id).map_or("", |in_flight| &in_flight.request.opaque)
    }

    /// Returns whether a request of a class may run any number of times.
    pub(super) fn is_idempotent(&self, class: u8) -> bool {
        let class = self.balancer.settings().classes.get(usize::from(class));
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Removes a request, and frees the id that its client gave to it, or remembers the id if the
    /// request may not run again.
    fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let opaque = &request.request.opaque;
        self.open_ids.remove(opaque);
        if request.may_have_run && !request.is_idempotent {
            self.executed_ids.insert(hash_id(opaque), Instant::now());
        }
    }

    /// Removes a request if its response is sent and it has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            |request: &InFlightRequest| request.pending.is_none() && request.attempts.is_empty();
        if self.requests.get(&id).is_some_and(is_finished) {
            self.remove_request(id);
        }
    }

    /// Takes the pending response of a request; `None` if the request has none.
    ///
    /// Invariant: the caller sends the response or drops it, so that a request gets at most one.
    pub(super) fn take_pending(&mut self, id: RequestId) -> Option<PendingResponse> {
        let request = self.requests.get_mut(&id)?;
        let pending = request.pending.take()?;
        self.due.remove(&(request.due, id));
        Some(pending)
    }
}
