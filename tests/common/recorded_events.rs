//! What is seen of a world from outside, written down as a history for the checker.

use super::{settings_json, CLASSES};
use pinetrail::interface::{Member, Outcome, ServerId, State, Time};
use pinetrail_history_checker as seen;
use pinetrail_history_checker::{Class, Effect, End, Figures, History, HistoryEvent, Node, Scope};

/// Events, in the order in which they were seen. Of a call nothing is seen where no connection came about: its
/// place is kept until its end is known.
#[derive(Default)]
pub(crate) struct Tape {
    events: Vec<Option<(Time, HistoryEvent)>>,
    calls: Vec<(usize, Option<(Time, HistoryEvent)>)>,
}

impl Tape {
    pub(crate) fn write(&mut self, at: Time, seen: HistoryEvent) {
        self.events.push(Some((at, seen)));
    }

    /// A call is made; its number.
    pub(crate) fn call(&mut self, at: Time, proxy: &str, request: &str, server: ServerId, work: f64) -> u64 {
        let call = self.calls.len() as u64;
        let (proxy, request) = (proxy.to_owned(), request.to_owned());
        let received = HistoryEvent::AttemptReceived {
            proxy,
            request,
            attempt: call,
            address: address(server),
            first: at,
            work,
        };
        self.calls.push((self.events.len(), Some((at, received))));
        self.events.push(None);
        call
    }

    /// A call has ended.
    pub(crate) fn close(&mut self, at: Time, call: u64, outcome: Outcome, value: &str) {
        let (index, received) = &mut self.calls[call as usize];
        let end = match outcome {
            Outcome::ConnectFailed | Outcome::Moot => return *received = None,
            Outcome::Ok => End::Served(value.to_owned()),
            Outcome::Miss => End::Missed,
            Outcome::Full => End::Rejected,
            Outcome::Error => End::Failed,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => End::Broken,
        };
        self.events[*index] = received.take();
        self.write(at, HistoryEvent::AttemptEnded { attempt: call, end });
    }

    pub(crate) fn tell(&mut self, at: Time, proxy: &str, whole: bool, members: &[Member]) {
        let nodes = members.iter().map(node).collect();
        self.write(at, HistoryEvent::EndpointsListed { proxy: proxy.to_owned(), whole, nodes });
    }

    pub(crate) fn answer(&mut self, at: Time, request: &str, answer: seen::Answer) {
        self.write(at, HistoryEvent::ResponseReceived { request: request.to_owned(), answer });
    }

    /// All that was seen, by time.
    pub(crate) fn history(mut self) -> History {
        for (index, received) in &mut self.calls {
            if let Some(received) = received.take() {
                self.events[*index] = Some(received);
            }
        }
        let mut events: Vec<_> = self.events.into_iter().flatten().collect();
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        History { clock_error: 0.0, events }
    }
}

pub(crate) fn address(server: ServerId) -> String {
    format!("n{server}")
}

fn node(member: &Member) -> Node {
    Node {
        name: address(member.server),
        address: address(member.server),
        zone: member.zone,
        cell: member.cell,
        state: match member.state {
            State::Ready => seen::State::Ready,
            State::Draining => seen::State::Draining,
            State::Gone => seen::State::Gone,
        },
        started: member.started,
    }
}

/// The figures that [`settings_json`] states, read from it anew.
pub(crate) fn figures() -> Figures {
    let settings: serde_json::Value = serde_json::from_str(&settings_json(true)).unwrap();
    let figure = |group: &str, name: &str| settings[group][name].as_f64().unwrap();
    let effects = [
        (Effect::Safe, Scope::All),
        (Effect::Keyed, Scope::All),
        (Effect::Keyed, Scope::Zone),
        (Effect::Keyed, Scope::Cell),
        (Effect::Unsafe, Scope::All),
    ];
    let window = settings["Grades"][0]["RepeatWindow"].as_f64().unwrap();
    let class = |(effect, scope)| Class { effect, scope, window };
    Figures {
        classes: CLASSES.iter().map(|name| (*name).to_owned()).zip(effects.map(class)).collect(),
        attempts: figure("Permissions", "MaxAttempts") as usize,
        second_copies: settings["Permissions"]["SecondCopies"].as_bool().unwrap(),
        answer_slack: figure("Safety", "AnswerSlack"),
        stop_within: figure("Safety", "StopSendingWithin"),
        start_capacity: figure("Safety", "StartCapacity"),
        cold: figure("Safety", "Cold"),
        fall_multiple: figure("Safety", "FallMultiple"),
        tip_after: figure("Safety", "TipAfter"),
    }
}
