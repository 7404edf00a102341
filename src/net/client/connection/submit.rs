//! Submits requests to the dispatcher. A request is parsed again after a change of the settings,
//! and waits while a change of the fleet's policy is being decided. Read [`Connection::submit`]
//! first.

use super::Connection;
use crate::interface::RequestId;
use crate::net::client::request::{parse_request, RequestError};
use crate::net::deadline_stream::sleep;
use crate::net::dispatcher::{ClientPresence, ClientRequest, ResponseCallback, SubmitError};
use crate::net::time_limits::time_span;
use crate::time::TimeSpan;
use pinetrail_codec::memcache::RequestCommand;
use pinetrail_policy_consensus::Admission;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval at which a request is submitted again while a policy change is being decided.
const POLICY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The reason why a request is not accepted.
#[derive(Debug)]
pub(super) enum Rejection {
    /// The request is malformed.
    Malformed(RequestError),
    /// This process may not admit the request now: it is fenced, or has no room for the id.
    RetryLater {
        /// The time that the client should wait before it sends the request again.
        retry_after: Duration,
    },
    /// The process stops, or the connection is about to end.
    Stopping,
    /// The client has disconnected.
    ClientDisconnected,
}

impl Connection<'_> {
    /// Parses a command by the names of the active policy, and decides whether the command is
    /// accepted, is rejected as malformed, or is rejected because this process is fenced.
    ///
    /// Inputs: the labels of the command, the version of the names, and the admission lease.
    /// Reason: the active policy defines which commands are malformed, so a response that rejects a
    /// malformed command needs an active policy too.
    /// Source: docs/policy-design.md.
    pub(super) fn parse_by_active_policy(&self, command: RequestCommand) -> Result<ClientRequest, Rejection> {
        let dispatcher = &self.service.dispatcher;
        if !dispatcher.requires_lease() {
            return parse_request(dispatcher, self.presence(), command).map_err(Rejection::Malformed);
        }
        loop {
            let version = dispatcher.names().version;
            let error = match parse_request(dispatcher, self.presence(), command.clone()) {
                Ok(request) => return Ok(request),
                Err(error) => error,
            };
            match dispatcher.admission_for(version) {
                Some(Admission::Admit) => return Err(Rejection::Malformed(error)),
                Some(Admission::Reject { retry_after }) => return Err(Rejection::RetryLater { retry_after }),
                Some(Admission::Wait) => self.wait_for_policy()?,
                // The names have changed, so the command is parsed again.
                None => {}
            }
        }
    }

    fn presence(&self) -> Arc<dyn ClientPresence> {
        Arc::clone(&self.presence)
    }

    /// Waits one interval for the policy change that is being decided. Fails if the client has
    /// disconnected by then.
    fn wait_for_policy(&self) -> Result<(), Rejection> {
        sleep(POLICY_POLL_INTERVAL);
        self.check_client_present().map_err(|_| Rejection::ClientDisconnected)
    }

    /// Submits a request. If other settings become active first, the request is parsed again.
    pub(super) fn submit(
        &self,
        mut request: ClientRequest,
        mut respond: ResponseCallback,
    ) -> Result<RequestId, Rejection> {
        self.service.dispatcher.announce_id(&request);
        loop {
            match self.service.dispatcher.submit(request, respond) {
                Ok(id) => return Ok(id),
                Err(SubmitError::Stopping) => return Err(Rejection::Stopping),
                Err(SubmitError::IdInUse) => return Err(Rejection::Malformed(RequestError::IdInUse)),
                Err(SubmitError::Fenced { retry_after } | SubmitError::NoRoomForId { retry_after }) => {
                    return Err(Rejection::RetryLater { retry_after });
                }
                Err(SubmitError::PolicyChanging { request: returned, respond: callback }) => {
                    request = self.wait_for_policy_with(*returned)?;
                    respond = callback;
                }
                Err(SubmitError::Outdated { request: outdated, respond: callback }) => {
                    request = self.parse_again(*outdated)?;
                    respond = callback;
                }
            }
        }
    }

    /// Waits one interval for the policy change, and subtracts the wait from the request's budget.
    fn wait_for_policy_with(&self, mut request: ClientRequest) -> Result<ClientRequest, Rejection> {
        let started = Instant::now();
        self.wait_for_policy()?;
        request.budget = (request.budget - time_span(started.elapsed())).max(TimeSpan::ZERO);
        Ok(request)
    }

    /// Parses a request by the settings that are active now. The budget does not increase, since
    /// the request may have waited.
    fn parse_again(&self, outdated: ClientRequest) -> Result<ClientRequest, Rejection> {
        let ClientRequest { key, opaque, labels, value, budget, delivery, lost_at, .. } = outdated;
        let mut request = self.parse_by_active_policy(RequestCommand { key, opaque, labels, value })?;
        request.budget = request.budget.min(budget);
        request.delivery = delivery;
        request.lost_at = lost_at;
        Ok(request)
    }
}
