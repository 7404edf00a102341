//! Records the events of a proxy or a fleet that are visible from outside, as a history for the
//! checker. Read [`EventRecorder`] first.

use super::{settings_json, BackendNumber, Milliseconds, CLASSES};
use pinetrail::interface::{EndpointInfo, EndpointState, Outcome};
use pinetrail_history_checker as checker;
use pinetrail_history_checker::{
    AttemptEnd, Class, DeduplicationScope, History, HistoryEvent, Idempotency, Limits, Node,
};

/// Recorder of events in the order in which they happen. An attempt whose connection fails is not
/// visible at the backend, so the place of each attempt stays reserved until its end is known.
#[derive(Default)]
pub(crate) struct EventRecorder {
    events: Vec<Option<(Milliseconds, HistoryEvent)>>,
    /// For each attempt, the index of its reserved place among the events and the event that fills
    /// the place unless the connection fails.
    attempts: Vec<(usize, Option<(Milliseconds, HistoryEvent)>)>,
}

impl EventRecorder {
    pub(crate) fn record(&mut self, at: Milliseconds, event: HistoryEvent) {
        self.events.push(Some((at, event)));
    }

    /// Records an attempt; returns its number.
    pub(crate) fn record_attempt(
        &mut self,
        at: Milliseconds,
        proxy: &str,
        request: &str,
        server: BackendNumber,
        work: f64,
    ) -> u64 {
        let attempt = self.attempts.len() as u64;
        let received = HistoryEvent::AttemptReceived {
            proxy: proxy.to_owned(),
            request: request.to_owned(),
            attempt,
            address: node_address(server),
            first_byte_at: at,
            work,
        };
        self.attempts.push((self.events.len(), Some((at, received))));
        self.events.push(None);
        attempt
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(&mut self, at: Milliseconds, attempt: u64, outcome: Outcome, value: &str) {
        let (index, received) = &mut self.attempts[attempt as usize];
        let end = match outcome {
            Outcome::ConnectFailed | Outcome::Moot => return *received = None,
            Outcome::Ok => AttemptEnd::Served(value.to_owned()),
            Outcome::Miss => AttemptEnd::Missed,
            Outcome::Full => AttemptEnd::Rejected,
            Outcome::Error => AttemptEnd::Failed,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => AttemptEnd::Broken,
        };
        self.events[*index] = received.take();
        self.record(at, HistoryEvent::AttemptEnded { attempt, end });
    }

    pub(crate) fn record_list(
        &mut self,
        at: Milliseconds,
        proxy: &str,
        is_full: bool,
        members: &[EndpointInfo],
    ) {
        let nodes = members.iter().map(node).collect();
        self.record(at, HistoryEvent::EndpointsListed { proxy: proxy.to_owned(), is_full, nodes });
    }

    pub(crate) fn record_response(
        &mut self,
        at: Milliseconds,
        request: &str,
        answer: checker::ResponseOutcome,
    ) {
        self.record(at, HistoryEvent::ResponseReceived { request: request.to_owned(), outcome: answer });
    }

    /// Returns all recorded events in the order of time.
    pub(crate) fn history(mut self) -> History {
        for (index, received) in &mut self.attempts {
            if let Some(received) = received.take() {
                self.events[*index] = Some(received);
            }
        }
        let mut events: Vec<_> = self.events.into_iter().flatten().collect();
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        History { clock_error: 0.0, events }
    }
}

pub(crate) fn node_address(server: BackendNumber) -> String {
    format!("n{server}")
}

fn node(member: &EndpointInfo) -> Node {
    Node {
        name: node_address(member.backend.0),
        address: node_address(member.backend.0),
        zone: member.zone,
        cell: member.cell,
        state: match member.state {
            EndpointState::Ready => checker::NodeState::Ready,
            EndpointState::Draining => checker::NodeState::Draining,
            EndpointState::Gone => checker::NodeState::Gone,
        },
        started: member.started_at.as_ms(),
    }
}

/// Returns the limits in [`settings_json`], read independently of the program's own parser.
pub(crate) fn limits() -> Limits {
    let settings: serde_json::Value = serde_json::from_str(&settings_json(true)).unwrap();
    let figure = |group: &str, name: &str| settings[group][name].as_f64().unwrap();
    let effects = [
        (Idempotency::Idempotent, DeduplicationScope::All),
        (Idempotency::Keyed, DeduplicationScope::All),
        (Idempotency::Keyed, DeduplicationScope::Zone),
        (Idempotency::Keyed, DeduplicationScope::Cell),
        (Idempotency::NotIdempotent, DeduplicationScope::All),
    ];
    let window = settings["Grades"][0]["RepeatWindow"].as_f64().unwrap();
    let class = |(effect, scope)| Class { idempotency: effect, scope, window };
    Limits {
        classes: CLASSES.iter().map(|name| (*name).to_owned()).zip(effects.map(class)).collect(),
        max_attempts: figure("Permissions", "MaxAttempts") as usize,
        allows_hedging: settings["Permissions"]["SecondCopies"].as_bool().unwrap(),
        response_slack: figure("Safety", "AnswerSlack"),
        drain_grace: figure("Safety", "StopSendingWithin"),
        start_capacity: figure("Safety", "StartCapacity"),
        warm_up_time: figure("Safety", "Cold"),
        overload_multiple: figure("Safety", "FallMultiple"),
        overload_time: figure("Safety", "TipAfter"),
    }
}
