//! Tests of the dispatcher. Each test acts as the client and the backend service, and checks the
//! responses, the commands and the rejections.

use super::*;
use crate::interface::{ListForm, Outcome, RequestId};
use crate::net::time_limits::GUARD_DELAY;
use crate::time::TimeSpan;
use may::sync::mpsc::{channel, Receiver};
use pinetrail_config::{Instance, ParsedSettings};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The timeout for an expected command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

const SETTINGS: &str = r#"{
    "GroupSize": 1, "MyNumber": 0, "Zone": 0, "Discovery": "ask", "Tick": 10,
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
    let (subscriptions, received_subscriptions) = channel();
    let ParsedSettings { settings, names, .. } = settings();
    let counters = Arc::new(Counters::default());
    let dispatcher = Dispatcher::new(DispatcherParameters {
        settings,
        seed: 1,
        names,
        counters,
        commands,
        subscriptions,
        memory_mb: 32,
    });
    dispatcher.update_endpoints(ListForm::Full, vec![instance("o", "origin"), instance("n", "node")]);
    Fixture { dispatcher, commands: received, _subscriptions: received_subscriptions }
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

/// A client that is connected until the test sets its flag.
#[derive(Debug, Default)]
struct FakeClient(AtomicBool);

impl ClientPresence for FakeClient {
    fn is_disconnected(&self) -> bool {
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
        budget: TimeSpan::from_ms(5000.0),
        hint: None,
        repeat: false,
        labels: pinetrail_codec::memcache::Labels::default(),
        value: None,
        delivery: Arc::default(),
        lost_at: None,
    }
}

/// Returns a callback, and the responses that it has received.
fn response_recorder() -> (ResponseCallback, Arc<Mutex<Vec<Response>>>) {
    let responses = Arc::new(Mutex::new(Vec::new()));
    let slot = Arc::clone(&responses);
    (Box::new(move |response| slot.lock().unwrap().push(response)), responses)
}

impl Fixture {
    fn next_attempt(&self) -> AttemptRequest {
        match self.commands.recv_timeout(COMMAND_TIMEOUT).unwrap() {
            BackendCommand::Attempt(attempt) => attempt,
            BackendCommand::CloseIdleConnections(backend) => panic!("connections to {backend} are closed"),
        }
    }
}

#[test]
fn a_request_whose_attempt_is_served_gets_one_response() {
    let fixture = fixture();
    let (respond, responses) = response_recorder();
    fixture.dispatcher.submit(request("a"), respond).ok().unwrap();
    let attempt = fixture.next_attempt();
    assert!(fixture.dispatcher.permits_write(&attempt));

    let value = || Some(Payload::Value(b"v".to_vec()));
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Ok, value());
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Ok, value());

    let responses = responses.lock().unwrap();
    assert!(matches!(&responses[..], [Response::Complete(Payload::Value(value))] if value == b"v"));
    assert_eq!(fixture.dispatcher.pending_count(), 0);
    assert!(!fixture.dispatcher.permits_write(&attempt));
}

#[test]
fn a_second_request_with_an_open_id_is_rejected_and_one_after_its_end_is_accepted() {
    let fixture = fixture();
    fixture.dispatcher.submit(request("a"), response_recorder().0).ok().unwrap();
    let attempt = fixture.next_attempt();

    let rejected = fixture.dispatcher.submit(request("a"), response_recorder().0);
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Ok, Some(Payload::Value(Vec::new())));

    assert!(matches!(rejected, Err(SubmitError::IdInUse)));
    assert!(fixture.dispatcher.submit(request("a"), response_recorder().0).is_ok());
}

#[test]
fn a_request_parsed_by_older_settings_is_returned() {
    let fixture = fixture();
    let ParsedSettings { settings, names, .. } = settings();
    fixture.dispatcher.apply_settings(settings, names);

    let rejected = fixture.dispatcher.submit(request("a"), response_recorder().0);

    assert!(matches!(rejected, Err(SubmitError::Outdated { request, .. }) if request.opaque == "a"));
    assert_eq!(fixture.dispatcher.pending_count(), 0);
}

#[test]
fn a_cancelled_request_gets_no_response_and_its_attempt_is_not_sent() {
    let fixture = fixture();
    let (respond, responses) = response_recorder();
    let id = fixture.dispatcher.submit(request("a"), respond).ok().unwrap();
    let attempt = fixture.next_attempt();

    fixture.dispatcher.cancel(id);

    assert!(!fixture.dispatcher.permits_write(&attempt));
    fixture.dispatcher.attempt_finished(attempt.id, Outcome::Moot, None);
    assert!(responses.lock().unwrap().is_empty());
    assert_eq!(fixture.dispatcher.pending_count(), 0);
}

#[test]
fn requests_that_are_open_when_the_process_stops_fail() {
    let fixture = fixture();
    let (respond, responses) = response_recorder();
    fixture.dispatcher.submit(request("a"), respond).ok().unwrap();

    fixture.dispatcher.abort_all();

    assert!(matches!(responses.lock().unwrap()[..], [Response::Failed]));
}

#[test]
fn maintenance_closes_connections_to_a_node_and_is_rejected_for_the_origin() {
    let fixture = fixture();
    let (respond, _responses) = response_recorder();
    fixture.dispatcher.submit(request("a"), respond).ok().unwrap();
    let attempt = fixture.next_attempt();
    let started = attempt.backend_started;
    assert!(fixture.dispatcher.accepts_attempts(attempt.backend, started));

    fixture.dispatcher.enter_maintenance("n").unwrap();
    let rejected = fixture.dispatcher.enter_maintenance("o");

    assert!(!fixture.dispatcher.accepts_attempts(attempt.backend, started));
    assert!(
        matches!(fixture.commands.recv_timeout(COMMAND_TIMEOUT).unwrap(), BackendCommand::CloseIdleConnections(backend) if backend == attempt.backend)
    );
    assert_eq!(rejected, Err(MaintenanceError::Origin("o".to_owned())));
}

/// Guards against an attempt for a client that disconnected while the process was held up, so that
/// the end of the client's stream has not been read yet.
#[test]
fn no_attempt_is_written_for_a_client_that_has_disconnected() {
    let fixture = fixture();
    let presence = Arc::<FakeClient>::default();
    let request = ClientRequest { client: Arc::clone(&presence) as Arc<dyn ClientPresence>, ..request("a") };
    fixture.dispatcher.submit(request, response_recorder().0).ok().unwrap();
    let attempt = fixture.next_attempt();
    assert!(fixture.dispatcher.permits_write(&attempt));

    presence.0.store(true, Ordering::SeqCst);

    assert!(!fixture.dispatcher.permits_write(&attempt));
}

/// Guards against a request that stays open because its timer is lost and the decision module gets
/// no event at the deadline.
#[test]
fn the_guard_expires_a_request_whose_timer_is_lost() {
    let fixture = fixture();
    let (respond, responses) = response_recorder();
    // The request is stored without an event for the decision module, so that no timer is set.
    let lost = ClientRequest { budget: TimeSpan::ZERO, ..request("a") };
    fixture.dispatcher.insert_request(&mut fixture.dispatcher.lock(), RequestId(1), lost, respond);
    fixture.dispatcher.expire_requests();
    assert!(
        responses.lock().unwrap().is_empty(),
        "the request expired before GUARD_DELAY, although its timer may only be late"
    );

    std::thread::sleep(GUARD_DELAY);
    fixture.dispatcher.expire_requests();

    assert!(matches!(responses.lock().unwrap()[..], [Response::Failed]));
    assert_eq!(fixture.dispatcher.counters.requests_expired.get(), 1);
}
