//! Property tests: the rules hold for one balancer under arbitrary legal sequences of events. The
//! sequences are generated from fixed seeds.

mod common;

use common::recorded_events::{self, EventRecorder};
use common::*;
use pinetrail::interface::*;
use pinetrail::settings::Settings;
use pinetrail::time::TimeSpan;
use pinetrail_history_checker::{check, CheckError, HistoryEvent, Limits, ResponseOutcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Wait(f64),
    Arrive { class: u8, key: KeyNumber, budget: f64, is_write: bool },
    End { pick: usize, outcome: u8 },
    Disconnect { pick: usize },
    ChangeEndpoint { server: BackendNumber, state: u8, restart: bool },
    CompleteList { mask: u8, form: u8 },
    ListFailed,
    ChangeSettings { shift: u8, max_attempts: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0.0..60.0f64).prop_map(Step::Wait),
        6 => (0..5u8, 0..12u64, 0.0..900.0f64, any::<bool>())
            .prop_map(|(class, key, budget, is_write)| Step::Arrive { class, key, budget, is_write }),
        6 => (any::<usize>(), 0..9u8).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => (1..6u32, 0..3u8, any::<bool>())
            .prop_map(|(server, state, restart)| Step::ChangeEndpoint { server, state, restart }),
        1 => (any::<u8>(), 0..2u8).prop_map(|(mask, form)| Step::CompleteList { mask, form }),
        1 => Just(Step::ListFailed),
        1 => (0..5u8, 1..5u32).prop_map(|(shift, max_attempts)| Step::ChangeSettings { shift, max_attempts }),
    ]
}

/// Applies steps to one proxy and records the history that is visible from outside.
struct RecordedProxy {
    harness: BalancerHarness,
    recorder: EventRecorder,
    /// The requests without a final response, with the number of attempts of each.
    open: BTreeMap<RequestNumber, u8>,
    /// The attempts in flight.
    in_flight: Vec<SentAttempt>,
    /// The times at which timers fire, and their tokens.
    timers: Vec<(Milliseconds, u64)>,
    next_request: RequestNumber,
    /// The number of places by which the active settings rotate the list of classes.
    class_shift: u8,
}

struct SentAttempt {
    id: RequestNumber,
    /// The number of the attempt among those of its request.
    ordinal: u8,
    server: BackendNumber,
    sent: Milliseconds,
    /// The number of the attempt among all recorded attempts.
    number: u64,
}

const PROXY: &str = "p";

impl RecordedProxy {
    fn new() -> Self {
        let mut proxy = RecordedProxy {
            harness: BalancerHarness::with_origin(4),
            recorder: EventRecorder::default(),
            open: BTreeMap::new(),
            in_flight: vec![],
            timers: vec![],
            next_request: 1,
            class_shift: 0,
        };
        proxy.record_active_settings(4);
        let list: Vec<EndpointInfo> = (1..=4).chain([ORIGIN]).map(endpoint).collect();
        proxy.recorder.record_list(proxy.harness.now, PROXY, true, &list);
        proxy
    }

    fn record_active_settings(&mut self, attempts: usize) {
        // A proxy that knows of a drain sends nothing more to the backend at once. The time that
        // the rules allow for this is meant for the network.
        let limits = Limits { max_attempts: attempts, drain_grace: 0.0, ..recorded_events::limits() };
        self.recorder.record(self.harness.now, HistoryEvent::ConfigActivated { proxy: PROXY.into(), limits });
    }

    fn feed(&mut self, event: Event) {
        let actions = self.harness.event(event);
        for action in actions {
            match action {
                Action::StartAttempt { request: id, backend: server, timeout, send_within: within } => {
                    assert!(timeout > TimeSpan::ZERO && within > TimeSpan::ZERO);
                    let (id, server) = (id.0, server.0);
                    let now = self.harness.now;
                    let number = self.recorder.record_attempt(now, PROXY, &id.to_string(), server, 10.0);
                    let attempts =
                        self.open.get_mut(&id).expect("an attempt is sent only for a pending request");
                    self.in_flight.push(SentAttempt { id, ordinal: *attempts, server, sent: now, number });
                    *attempts += 1;
                }
                Action::Reject { request: id, .. } => self.answer(id.0, ResponseOutcome::Rejected),
                Action::Fail { request: id, .. } => self.answer(id.0, ResponseOutcome::Failed),
                Action::SetTimer { delay, token } | Action::SetRequestTimer { delay, token, .. } => {
                    self.timers.push((self.harness.now + delay.as_ms().max(0.0), token));
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, id: RequestNumber, answer: ResponseOutcome) {
        self.open.remove(&id);
        self.recorder.record_response(self.harness.now, &id.to_string(), answer);
    }

    fn send_list(&mut self, form: ListForm, list: Vec<EndpointInfo>) {
        self.recorder.record_list(self.harness.now, PROXY, form != ListForm::Delta, &list);
        self.feed(Event::EndpointList { form, endpoints: list });
        // Attempts that follow must have a later time than the list.
        self.harness.now += 0.01;
    }

    fn wait(&mut self, time: Milliseconds) {
        let end = self.harness.now + time;
        // A timer fires in the first batch at or after its time, never in the batch that set it.
        while self.harness.now < end {
            self.harness.now = (self.harness.now + 1.0).min(end);
            let now = self.harness.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            for token in due {
                self.feed(Event::Timer(token));
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait(time) => self.wait(time),
            Step::Arrive { class, key, budget, is_write } => self.arrive(class, key, budget, is_write),
            Step::End { pick, outcome } => self.end(pick, outcome),
            Step::Disconnect { pick } => self.disconnect(pick),
            Step::ChangeEndpoint { server, state, restart } => {
                let state =
                    [EndpointState::Gone, EndpointState::Ready, EndpointState::Draining][usize::from(state)];
                let started = if restart { self.harness.now } else { 0.0 };
                self.send_list(
                    ListForm::Delta,
                    vec![EndpointInfo { state, started_at: time(started), ..endpoint(server) }],
                );
            }
            Step::CompleteList { mask, form } => {
                let list: Vec<EndpointInfo> = (1..6).filter(|id| mask >> id & 1 == 1).map(endpoint).collect();
                self.send_list([ListForm::Full, ListForm::Cached][usize::from(form)], list);
            }
            Step::ChangeSettings { shift, max_attempts } => self.change_settings(shift, max_attempts),
            Step::ListFailed => self.feed(Event::EndpointList { form: ListForm::Failed, endpoints: vec![] }),
        }
    }

    fn arrive(&mut self, class: u8, key: KeyNumber, budget: f64, is_write: bool) {
        let id = self.next_request;
        self.next_request += 1;
        self.open.insert(id, 0);
        let class_name = CLASSES[usize::from((class + self.class_shift) % 5)].to_owned();
        let request = id.to_string();
        let asked = HistoryEvent::RequestSent { proxy: PROXY.into(), request, class: class_name, budget };
        self.recorder.record(self.harness.now, asked);
        let work_hint = (!key.is_multiple_of(3)).then_some(span(10.0 * key as f64));
        self.feed(Event::Request(Request {
            class,
            budget: span(budget),
            is_write,
            work_hint,
            ..read(id, key)
        }));
    }

    fn end(&mut self, pick: usize, outcome: u8) {
        if self.in_flight.is_empty() {
            return;
        }
        let attempt = self.in_flight.remove(pick % self.in_flight.len());
        let id = attempt.id;
        let outcome = ALL_OUTCOMES[usize::from(outcome)];
        let value = format!("{id} {}", attempt.ordinal);
        self.recorder.record_end(self.harness.now, attempt.number, outcome, &value);
        if outcome == Outcome::Ok && self.open.contains_key(&id) {
            self.answer(id, ResponseOutcome::Served(value));
        }
        self.feed(Event::AttemptEnd(AttemptEnd {
            id: RequestId(id),
            attempt: attempt.ordinal,
            backend: BackendId(attempt.server),
            latency: span(self.harness.now - attempt.sent),
            is_request_finished: !self.open.contains_key(&id),
            outcome,
            load_report: vec![],
        }));
    }

    fn disconnect(&mut self, pick: usize) {
        let ids: Vec<RequestNumber> = self.open.keys().copied().collect();
        if let Some(id) = ids.get(pick % ids.len().max(1)) {
            self.open.remove(id);
            self.recorder
                .record(self.harness.now, HistoryEvent::ClientDisconnected { request: id.to_string() });
            self.feed(Event::ClientGone(RequestId(*id)));
        }
    }

    fn change_settings(&mut self, shift: u8, max_attempts: u32) {
        self.class_shift = shift;
        self.record_active_settings(max_attempts as usize);
        let mut settings = Settings::from_json(settings_json(true).as_bytes()).unwrap();
        settings.classes.rotate_left(usize::from(shift));
        settings.limits.max_attempts = max_attempts;
        self.harness.balancer.apply_settings(settings);
    }
}

#[test]
fn the_rules_hold_under_arbitrary_events() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..150);
    let result = runner.run(&steps, |steps| {
        let mut proxy = RecordedProxy::new();
        for step in &steps {
            proxy.apply(step);
        }
        proxy.wait(1000.0);
        // The last event is later than every deadline, so that the checker sees missing responses.
        proxy.recorder.record_list(proxy.harness.now, PROXY, false, &[]);
        let history = proxy.recorder.history();
        match check(&history) {
            Ok(breaches) => prop_assert!(breaches.is_empty(), "{}", breaches[0]),
            Err(error) => prop_assert_eq!(error, CheckError::NoRequest, "the checker rejected the history"),
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn the_same_events_cause_the_same_actions() {
    let config = Config { cases: 50, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let keys = prop::collection::vec((0..40u64, any::<bool>()), 1..100);
    let result = runner.run(&keys, |keys| {
        let play = || {
            let mut harness = BalancerHarness::with_origin(5);
            let mut log = vec![];
            for (id, (key, ends)) in keys.iter().enumerate() {
                harness.now += 3.0;
                let actions = harness.request(read(id as u64, *key));
                if let (Some((id, server)), true) = (sent(&actions), *ends) {
                    log.push(harness.end(id, 0, server, Outcome::ConnectFailed));
                }
                log.push(actions);
            }
            log
        };
        prop_assert_eq!(play(), play());
        Ok(())
    });
    result.unwrap();
}
