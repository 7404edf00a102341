//! Shared support for tests: a harness that drives one balancer by hand, its settings, a simulated
//! fleet, and recorded histories. Read [`BalancerHarness`] first.
#![allow(dead_code)]

pub(crate) mod edited_history;
pub(crate) mod fleet;
pub(crate) mod recorded_events;

use pinetrail::interface::*;
use pinetrail::logic::Balancer;
use pinetrail::settings::Settings;
use pinetrail::time::{TimeSpan, Timestamp};

/// Number of a request in a test.
pub(crate) type RequestNumber = u64;
/// Number of a backend in a test.
pub(crate) type BackendNumber = u32;
/// Number of a key in a test; 0 if a request has no key.
pub(crate) type KeyNumber = u64;
/// Time or duration on the clock of a test, in ms.
pub(crate) type Milliseconds = f64;

/// Converts a duration in ms.
pub(crate) fn span(ms: Milliseconds) -> TimeSpan {
    TimeSpan::from_ms(ms)
}

/// Converts a time in ms since the origin of a test's clock.
pub(crate) fn time(ms: Milliseconds) -> Timestamp {
    Timestamp::from_ms(ms)
}

/// All outcomes that an attempt can have.
pub(crate) const ALL_OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
    Outcome::Miss,
];

pub(crate) const ORIGIN: BackendNumber = 1000;
pub(crate) const SAFE: u8 = 0;
pub(crate) const KEYED_ALL: u8 = 1;
pub(crate) const KEYED_ZONE: u8 = 2;
pub(crate) const KEYED_CELL: u8 = 3;
pub(crate) const UNSAFE: u8 = 4;
/// Names of the request classes, indexed by class number.
pub(crate) const CLASSES: [&str; 5] = ["safe", "keyed all", "keyed zone", "keyed cell", "unsafe"];

pub(crate) fn settings_json(with_origin: bool) -> String {
    let class = |effect: &str, scope: &str| {
        format!(
            r#"{{"Aim":400.0,"GiveUp":1000.0,"Worth":1.0,"Semantics":"{effect}","DedupScope":"{scope}","RepeatWindow":300.0}}"#
        )
    };
    format!(
        r#"{{"GroupSize":3,"Grades":[{},{},{},{},{}],"Discovery":"ask","Zone":0,"Tick":1.0,
        "Prices":{{"CrossZone":0.0}},"FamilyInfo":{{"OriginKind":{}}},
        "Permissions":{{"MaxAttempts":4,"SecondCopies":true,"Cancel":true,"MaxRetryAfter":1000.0,"ConnIdle":60000.0}},
        "Safety":{{"StartCapacity":0.2,"Cold":9000.0,"FallMultiple":3.0,"TipAfter":1500.0,"StopSendingWithin":1000.0,
        "AnswerSlack":20.0,"MustAskIn":10000.0}},"SomethingNew":1}}"#,
        class("safe", "all"),
        class("keyed", "all"),
        class("keyed", "zone"),
        class("keyed", "cell"),
        class("unsafe", "all"),
        if with_origin { 1 } else { -1 }
    )
}

pub(crate) fn endpoint(server: BackendNumber) -> EndpointInfo {
    EndpointInfo {
        backend: BackendId(server),
        zone: (server % 2) as u16,
        kind: u8::from(server == ORIGIN),
        cell: (server % 3) as u16,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: Timestamp::ZERO,
    }
}

pub(crate) fn read(id: RequestNumber, key: KeyNumber) -> Request {
    Request {
        id: RequestId(id),
        class: SAFE,
        tenant: 0,
        key: Key(key),
        budget: span(800.0),
        work_hint: Some(span(10.0)),
        is_repeat: false,
        is_write: false,
    }
}

/// A balancer and its simulated clock.
pub(crate) struct BalancerHarness {
    pub balancer: Balancer,
    pub now: Milliseconds,
}

impl BalancerHarness {
    /// Creates a balancer that knows the cache nodes 1 to `servers` and an origin.
    pub(crate) fn with_origin(servers: u32) -> BalancerHarness {
        BalancerHarness::new(true, servers)
    }

    /// Creates a balancer that knows the cache nodes 1 to `servers`, which fetch missing values
    /// themselves.
    pub(crate) fn without_origin(servers: u32) -> BalancerHarness {
        BalancerHarness::new(false, servers)
    }

    fn new(with_origin: bool, servers: u32) -> BalancerHarness {
        let settings =
            Settings::from_json(settings_json(with_origin).as_bytes()).expect("the settings are valid");
        let mut harness = BalancerHarness { balancer: Balancer::new(settings, 7), now: 100_000.0 };
        let mut list: Vec<EndpointInfo> = (1..=servers).map(endpoint).collect();
        if with_origin {
            list.push(endpoint(ORIGIN));
        }
        harness.event(Event::EndpointList { form: ListForm::Full, endpoints: list });
        harness
    }

    /// Creates the balancer of one of 200 proxies, without an origin.
    pub(crate) fn numbered(number: u32, servers: u32) -> BalancerHarness {
        BalancerHarness::numbered_with(number, servers, |json| json)
    }

    /// Creates the balancer of one of 200 proxies with its settings edited by `change`.
    pub(crate) fn numbered_with(
        number: u32,
        servers: u32,
        change: impl Fn(String) -> String,
    ) -> BalancerHarness {
        let json = change(
            settings_json(false)
                .replace(r#""GroupSize":3"#, &format!(r#""GroupSize":200,"MyNumber":{number}"#)),
        );
        let settings = Settings::from_json(json.as_bytes()).expect("the settings are valid");
        let mut harness =
            BalancerHarness { balancer: Balancer::new(settings, u64::from(number)), now: 100_000.0 };
        harness.event(Event::EndpointList {
            form: ListForm::Full,
            endpoints: (1..=servers).map(endpoint).collect(),
        });
        harness
    }

    /// Serves many keys once each, so that no key counts as a large share of the traffic.
    pub(crate) fn serve_many_keys(&mut self) {
        for id in 800_000..800_200 {
            assert_ne!(self.serve_read(id, id), 0);
        }
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(time(self.now), event, &mut out);
        out
    }

    pub(crate) fn request(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    /// Reports the end of an attempt that took 10 ms.
    pub(crate) fn end(
        &mut self,
        id: RequestNumber,
        attempt: u8,
        server: BackendNumber,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_after(id, attempt, server, outcome, 10.0)
    }

    pub(crate) fn end_after(
        &mut self,
        id: RequestNumber,
        attempt: u8,
        server: BackendNumber,
        outcome: Outcome,
        latency: Milliseconds,
    ) -> Vec<Action> {
        let is_request_finished = outcome == Outcome::Ok;
        self.event(Event::AttemptEnd(AttemptEnd {
            id: RequestId(id),
            attempt,
            backend: BackendId(server),
            latency: span(latency),
            is_request_finished,
            outcome,
            load_report: vec![],
        }))
    }

    /// Advances the clock to the deadline of a request and fires its timer, which is the longest
    /// one among the actions that the arrival of the request caused.
    pub(crate) fn fire_deadline(&mut self, arrival: &[Action]) -> Vec<Action> {
        let longest = arrival
            .iter()
            .filter_map(|a| match a {
                Action::SetTimer { delay, token } | Action::SetRequestTimer { delay, token, .. } => {
                    Some((delay.as_ms(), *token))
                }
                _ => None,
            })
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let (delay, token) = longest.expect("the arrival of a request sets its deadline timer");
        self.now += delay;
        self.event(Event::Timer(token))
    }

    /// Sends a read of `key` and serves it at once; returns the backend that received it.
    pub(crate) fn serve_read(&mut self, id: RequestNumber, key: KeyNumber) -> BackendNumber {
        let server = sent(&self.request(read(id, key))).expect("the read is sent").1;
        self.end(id, 0, server, Outcome::Ok);
        server
    }
}

/// Returns the request and the backend of each attempt that the actions start.
pub(crate) fn sent_attempts(actions: &[Action]) -> Vec<(RequestNumber, BackendNumber)> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::StartAttempt { request: id, backend: server, .. } = a {
                Some((id.0, server.0))
            } else {
                None
            }
        })
        .collect()
}

/// Returns the request and the backend of the first attempt that the actions start.
pub(crate) fn sent(actions: &[Action]) -> Option<(RequestNumber, BackendNumber)> {
    sent_attempts(actions).first().copied()
}

/// Returns the failure of a request whose effect another attempt could repeat.
pub(crate) fn unsafe_to_repeat(request: RequestNumber) -> Action {
    Action::Fail { request: RequestId(request), reason: GiveUpReason::RepeatUnsafe }
}

/// Returns the actions that end a request without serving it.
pub(crate) fn final_responses(actions: &[Action]) -> Vec<&Action> {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).collect()
}
