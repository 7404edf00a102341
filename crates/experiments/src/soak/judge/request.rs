//! What clients and backends observed of one request: [`Request`].

use crate::soak::record::{AttemptEnd, Class, FinalResponse, Observation};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An attempt, as its backend observed it.
pub(super) struct Attempt {
    pub(super) backend: usize,
    pub(super) budget_ms: u64,
    pub(super) arrived: Instant,
    pub(super) end: Option<(Instant, AttemptEnd)>,
    pub(super) is_of_other_client: bool,
}

/// The observations of one request.
pub(super) struct Request {
    /// The time before the first byte was written.
    pub(super) sent: Instant,
    /// The time after the last byte was written. The timeout counts from a time between
    /// [`Request::sent`] and this one.
    pub(super) written: Instant,
    pub(super) proxy: usize,
    pub(super) class: Class,
    pub(super) timeout: Duration,
    pub(super) is_first_on_connection: bool,
    pub(super) answered: Option<(Instant, FinalResponse)>,
    /// The time at which the connection ended without a response.
    pub(super) ended: Option<Instant>,
    pub(super) disconnected_at: Option<Instant>,
    pub(super) attempts: BTreeMap<u64, Attempt>,
}

impl Request {
    /// Returns the attempts for the request's own client.
    pub(super) fn own_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|attempt| !attempt.is_of_other_client)
    }

    /// Returns the latest time at which the client's timeout may have ended.
    pub(super) fn deadline(&self) -> Instant {
        self.written + self.timeout
    }

    /// Returns whether a long value of an attempt was cut off.
    pub(super) fn is_long_value_cut_off(&self) -> bool {
        let is_cut_off = |attempt: &Attempt| matches!(attempt.end, Some((_, AttemptEnd::LongValueCutOff)));
        self.own_attempts().any(is_cut_off)
    }
}

/// Groups the observations of a run by their request.
pub(super) fn group_by_request(observations: &[(Instant, String, Observation)]) -> BTreeMap<String, Request> {
    let mut requests: BTreeMap<String, Request> = BTreeMap::new();
    for (at, id, observation) in observations {
        if let Observation::Sent { proxy, class, timeout_ms, is_first_on_connection, write_time } =
            observation
        {
            let request = Request {
                sent: *at,
                written: *at + *write_time,
                proxy: *proxy,
                class: *class,
                timeout: Duration::from_millis(*timeout_ms),
                is_first_on_connection: *is_first_on_connection,
                answered: None,
                ended: None,
                disconnected_at: None,
                attempts: BTreeMap::new(),
            };
            requests.insert(id.clone(), request);
        }
    }
    for (at, id, observation) in observations {
        let Some(request) = requests.get_mut(id) else { continue };
        match observation {
            Observation::Sent { .. } => {}
            Observation::Answered(answer) => request.answered = Some((*at, answer.clone())),
            Observation::ConnectionEnded => request.ended = Some(*at),
            Observation::Disconnected => request.disconnected_at = Some(*at),
            Observation::AttemptArrived { attempt, backend, budget_ms, is_of_other_client, .. } => {
                let (backend, budget_ms, is_of_other_client) = (*backend, *budget_ms, *is_of_other_client);
                let arrived = Attempt { backend, budget_ms, arrived: *at, end: None, is_of_other_client };
                request.attempts.insert(*attempt, arrived);
            }
            Observation::AttemptEnded { attempt, end } => {
                if let Some(attempt) = request.attempts.get_mut(attempt) {
                    attempt.end = Some((*at, end.clone()));
                }
            }
        }
    }
    requests
}
