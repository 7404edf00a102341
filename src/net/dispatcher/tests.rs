//! Tests of the dispatcher with a client and a backend service that are this test: what each is
//! owed, and what it is refused.

use super::*;
use crate::interface::{ListForm, Outcome};
use crate::net::config::{Instance, ParsedSettings};
use crate::net::time_limits::GUARD_DELAY;
use may::sync::mpsc::{channel, Receiver};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long a command that is to come may take.
const PATIENCE: Duration = Duration::from_secs(10);

const SETTINGS: &str = r#"{
    "GroupSize": 1, "MyNumber": 0, "Zone": 0, "Discovery": "poll", "Tick": 10,
    "Grades": [{"Name": "read", "Aim": 1000, "GiveUp": 5000, "Semantics": "safe", "DedupScope": "all",
                "RepeatWindow": 1, "Worth": 1}],
    "Kinds": ["origin", "node"], "Zones": ["z"],
    "Permissions": {"MaxAttempts": 3, "ConnIdle": 60000, "MaxRetryAfter": 5000},
    "Safety": {"StartCapacity": 1, "Cold": 0, "FallMultiple": 2, "TipAfter": 500, "MustAskIn": 2000},
    "Prices": {"CrossZone": 0},
    "FamilyInfo": {"OriginKind": 0}
}"#;

/// A dispatcher with one ready cache node and an origin.
struct Fixture {
    dispatcher: Arc<Dispatcher>,
    commands: Receiver<BackendCommand>,
    _subscriptions: Receiver<()>,
}

fn settings() -> ParsedSettings {
    ParsedSettings::parse(&serde_json::from_str(SETTINGS).unwrap()).unwrap()
}

fn fixture() -> Fixture {
    let (commands, received) = channel();
    let (subscribe, subscriptions) = channel();
    let ParsedSettings { settings, names, .. } = settings();
    let counters = Arc::new(Counters::default());
    let dispatcher = Dispatcher::new(settings, 1, names, counters, commands, subscribe);
    dispatcher.update_endpoints(ListForm::Full, vec![instance("o", "origin"), instance("n", "node")]);
    Fixture { dispatcher, commands: received, _subscriptions: subscriptions }
}

fn instance(name: &str, kind: &str) -> Instance {
    Instance {
        instance_id: name.to_owned(),
        host_port: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        machine_type: kind.to_owned(),
        cell: 0,
        lifecycle: Instance::READY.to_owned(),
        weight: 1.0,
        started_at_ms: 0.0,
    }
}

/// A client that stays until it is told to go, which nobody reads.
#[derive(Debug, Default)]
struct FakeClient(AtomicBool);

impl ClientPresence for FakeClient {
    fn is_gone(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

fn request(opaque: &str) -> ClientRequest {
    ClientRequest {
        client: Arc::<FakeClient>::default(),
        opaque: opaque.to_owned(),
        key: "k".to_owned(),
        class: 0,
        tenant: 0,
        version: 0,
        budget: 5000.0,
        hint: None,
        repeat: false,
        labels: Vec::new(),
        value: None,
    }
}

/// A callback, and where the response that it is given is found.
fn client() -> (ResponseCallback, Arc<Mutex<Vec<Response>>>) {
    let responses = Arc::new(Mutex::new(Vec::new()));
    let slot = Arc::clone(&responses);
    (Box::new(move |response| slot.lock().unwrap().push(response)), responses)
}

impl Fixture {
    fn ordered_attempt(&self) -> AttemptRequest {
        match self.commands.recv_timeout(PATIENCE).unwrap() {
            BackendCommand::Attempt(attempt) => attempt,
            BackendCommand::Forget(server) => panic!("server {server} is forgotten"),
        }
    }
}

#[test]
fn a_request_whose_attempt_is_served_gets_its_value_once() {
    let fixture = fixture();
    let (respond, responses) = client();
    fixture.dispatcher.submit(request("a"), respond).ok().unwrap();
    let attempt = fixture.ordered_attempt();
    assert!(fixture.dispatcher.should_send(&attempt));

    let value = || Some(Payload::Value(b"v".to_vec()));
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Ok, value());
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Ok, value());

    let responses = responses.lock().unwrap();
    assert!(matches!(&responses[..], [Response::Complete(Payload::Value(value))] if value == b"v"));
    assert_eq!(fixture.dispatcher.pending_count(), 0);
    assert!(!fixture.dispatcher.should_send(&attempt));
}

#[test]
fn a_second_request_under_an_open_id_is_refused_and_one_after_its_end_is_not() {
    let fixture = fixture();
    fixture.dispatcher.submit(request("a"), client().0).ok().unwrap();
    let attempt = fixture.ordered_attempt();

    let refused = fixture.dispatcher.submit(request("a"), client().0);
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Ok, Some(Payload::Value(Vec::new())));

    assert!(matches!(refused, Err(SubmitError::IdInUse)));
    assert!(fixture.dispatcher.submit(request("a"), client().0).is_ok());
}

#[test]
fn a_request_parsed_by_older_settings_is_handed_back() {
    let fixture = fixture();
    let ParsedSettings { settings, names, .. } = settings();
    fixture.dispatcher.apply_settings(settings, names);

    let refused = fixture.dispatcher.submit(request("a"), client().0);

    assert!(matches!(refused, Err(SubmitError::Outdated { request, .. }) if request.opaque == "a"));
    assert_eq!(fixture.dispatcher.pending_count(), 0);
}

#[test]
fn a_cancelled_request_gets_no_response_and_its_attempt_is_not_sent() {
    let fixture = fixture();
    let (respond, responses) = client();
    let id = fixture.dispatcher.submit(request("a"), respond).ok().unwrap();
    let attempt = fixture.ordered_attempt();

    fixture.dispatcher.cancel(id);

    assert!(!fixture.dispatcher.should_send(&attempt));
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Moot, None);
    assert!(responses.lock().unwrap().is_empty());
    assert_eq!(fixture.dispatcher.pending_count(), 0);
}

#[test]
fn requests_that_are_open_when_the_program_stops_fail() {
    let fixture = fixture();
    let (respond, responses) = client();
    fixture.dispatcher.submit(request("a"), respond).ok().unwrap();

    fixture.dispatcher.abort_all();

    assert!(matches!(responses.lock().unwrap()[..], [Response::Failed]));
}

#[test]
fn a_node_in_maintenance_is_forgotten_by_the_backend_service_and_the_origin_cannot_be() {
    let fixture = fixture();
    let (respond, _responses) = client();
    fixture.dispatcher.submit(request("a"), respond).ok().unwrap();
    let attempt = fixture.ordered_attempt();
    let started = attempt.server_started;
    assert!(fixture.dispatcher.accepts_attempts(attempt.server, started));

    fixture.dispatcher.enter_maintenance("n").unwrap();
    let refused = fixture.dispatcher.enter_maintenance("o");

    assert!(!fixture.dispatcher.accepts_attempts(attempt.server, started));
    assert!(
        matches!(fixture.commands.recv_timeout(PATIENCE).unwrap(), BackendCommand::Forget(server) if server == attempt.server)
    );
    assert_eq!(refused, Err(MaintenanceError::Origin("o".to_owned())));
}

/// Guards against an attempt for a client that has gone while the process was held up: its end is
/// there, and nobody has read it.
#[test]
fn no_attempt_is_sent_for_a_client_whose_end_nobody_has_read() {
    let fixture = fixture();
    let presence = Arc::<FakeClient>::default();
    let asked = ClientRequest { client: Arc::clone(&presence) as Arc<dyn ClientPresence>, ..request("a") };
    fixture.dispatcher.submit(asked, client().0).ok().unwrap();
    let attempt = fixture.ordered_attempt();
    assert!(fixture.dispatcher.should_send(&attempt));

    presence.0.store(true, Ordering::SeqCst);

    assert!(!fixture.dispatcher.should_send(&attempt));
}

/// Guards against a request whose timer is lost: the module never hears that its time is over.
#[test]
fn the_guard_ends_a_request_whose_timer_is_lost() {
    let fixture = fixture();
    let (respond, responses) = client();
    // Kept, but never told to the module, which therefore sets no timer.
    let lost = ClientRequest { budget: 0.0, ..request("a") };
    fixture.dispatcher.insert_request(&mut fixture.dispatcher.lock(), 1, lost, respond);
    fixture.dispatcher.abort_overdue();
    assert!(responses.lock().unwrap().is_empty(), "the timer may only be late");

    std::thread::sleep(GUARD_DELAY);
    fixture.dispatcher.abort_overdue();

    assert!(matches!(responses.lock().unwrap()[..], [Response::Failed]));
    assert_eq!(fixture.dispatcher.counters.overdue.get(), 1);
}
