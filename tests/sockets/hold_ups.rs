//! Hold-ups: the process does not run for a while, as on a machine that is short of processors.
//! These tests follow from the incident of 2026-12-02 (`docs/incidents`).

use crate::idle_origin;
use pinetrail_test_harness::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Duration of a hold-up that the proxy must tolerate.
const HOLD_UP_DURATION: Duration = Duration::from_millis(150);
/// Time before the deadline at which a hold-up begins.
const HOLD_UP_BEFORE_DEADLINE: Duration = Duration::from_millis(50);
/// Time after the deadline within which a client still accepts a final response: 50 ms on sockets,
/// plus the shortest `AnswerSlack`.
const ANSWER_SLACK: Duration = Duration::from_millis(60);
/// Time after SIGSTOP by which a process has stopped.
const STOP_DELAY: Duration = Duration::from_millis(20);
/// Time for which the clients of these tests wait for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Starts a node that does not respond for keys that contain `hang`, and misses all others.
fn hanging_node() -> StubServer {
    StubServer::node(|line| {
        if line.contains("hang") {
            StubAction::Ignore
        } else {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        }
    })
}

/// Returns whether the client's socket holds a complete line.
fn has_complete_line(client: &mut Client) -> bool {
    let stream = client.reader().get_ref();
    let mut bytes = [0; 256];
    stream.set_nonblocking(true).unwrap();
    let seen = stream.peek(&mut bytes).unwrap_or(0);
    stream.set_nonblocking(false).unwrap();
    bytes[..seen].ends_with(b"\r\n")
}

fn sleep_until(moment: Instant) {
    sleep(moment.saturating_duration_since(Instant::now()));
}

/// Guards against final responses that are scheduled for the deadline itself: a process that is
/// held up around it would write them too late. The requests wait for a node and for an origin that
/// do not respond.
#[test]
fn final_responses_are_written_before_a_hold_up_at_the_deadline() {
    let node = hanging_node();
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let commands = [
        "mg hang v O1 Pc=read,t=acme,d=700\r\n",
        "mg miss v O2 Pc=read,t=acme,d=700\r\n",
        "ms write 5 O3 Pc=put,t=acme,d=700,k=a\r\nhello\r\n",
        "ms other 5 O4 Pc=confirm,t=acme,d=700,k=b\r\nhello\r\n",
    ];
    let mut clients: Vec<Client> = commands.iter().map(|_| fixture.client()).collect();
    let sent_at = Instant::now();
    for (client, command) in clients.iter_mut().zip(commands) {
        client.send(command);
    }

    sleep_until(sent_at + CLIENT_TIMEOUT - HOLD_UP_BEFORE_DEADLINE);
    fixture.signal("STOP");
    let stopped_at = Instant::now();
    sleep_until(sent_at + CLIENT_TIMEOUT + ANSWER_SLACK);
    let answered: Vec<bool> = clients.iter_mut().map(has_complete_line).collect();
    sleep_until(stopped_at + HOLD_UP_DURATION);
    fixture.signal("CONT");

    assert_eq!(answered, [true; 4], "each client has a final response by the deadline and the slack");
    for client in &mut clients {
        assert!(client.read_line().starts_with("SERVER_ERROR "));
    }
    fixture.wait_until("the process runs again", || fixture.client().request("mn\r\n") == "MN\r\n");
    assert_eq!(fixture.counter("answered_late"), 0);
    assert_eq!(fixture.counter("overdue"), 0, "no request was ended by its guard");
}

/// Guards against a hold-up that operators cannot see in the counters.
#[test]
fn a_hold_up_is_counted() {
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&hanging_node()], &origin);
    assert_eq!(fixture.counter("held_up"), 0);
    fixture.signal("STOP");
    sleep(HOLD_UP_DURATION);
    fixture.signal("CONT");
    fixture.wait_until("the hold-up is counted", || fixture.counter("held_up") > 0);
}

/// Guards against a deadline that counts from the read of a request instead of its arrival: when a
/// request that arrives during a hold-up is read, part of its time has passed.
#[test]
fn the_deadline_of_a_request_that_arrives_in_a_hold_up_counts_from_its_arrival() {
    let node = hanging_node();
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    for (round, wait_ms) in [300, 700].into_iter().enumerate() {
        let commands = [
            format!("mg hang v O{round}a Pc=read,t=acme,d={wait_ms}\r\n"),
            format!("ms write 5 O{round}b Pc=put,t=acme,d={wait_ms},k=k{round}\r\nhello\r\n"),
        ];
        let mut clients: Vec<Client> = commands.iter().map(|_| fixture.client()).collect();
        for client in &mut clients {
            assert_eq!(client.request("mn\r\n"), "MN\r\n");
        }
        fixture.signal("STOP");
        sleep(STOP_DELAY);
        let sent_at = Instant::now();
        for (client, command) in clients.iter_mut().zip(&commands) {
            client.send(command);
        }
        sleep_until(sent_at + HOLD_UP_DURATION - STOP_DELAY);
        fixture.signal("CONT");

        // Held up again at the end of the slack, the process cannot write a late response.
        sleep_until(sent_at + Duration::from_millis(wait_ms) + ANSWER_SLACK);
        fixture.signal("STOP");
        let answered: Vec<bool> = clients.iter_mut().map(has_complete_line).collect();
        fixture.signal("CONT");

        assert_eq!(answered, [true; 2], "final responses by the deadline of {wait_ms} ms and the slack");
        for client in &mut clients {
            assert!(client.read_line().starts_with("SERVER_ERROR "));
        }
    }
}
