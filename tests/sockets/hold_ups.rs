//! Hold-ups: the process does not run for a while, as on a machine that is short of processors.
//! Found on 2026-12-02 (`docs/incidents`).

use crate::idle_origin;
use pinetrail_test_harness::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a hold-up may last.
const HOLD_UP_DURATION: Duration = Duration::from_millis(150);
/// How long before the deadline a hold-up begins here.
const HOLD_UP_BEFORE_DEADLINE: Duration = Duration::from_millis(50);
/// How long after the deadline a client still takes a final response: 50 ms on sockets, and the
/// shortest `AnswerSlack`.
const ANSWER_SLACK: Duration = Duration::from_millis(60);
/// By then a process that was sent SIGSTOP has stopped.
const STOP_DELAY: Duration = Duration::from_millis(20);
/// How long the clients of these tests wait.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(700);

/// A node that does not respond for a key with `hang` in its name, and lacks all others.
fn hanging_node() -> StubServer {
    StubServer::node(|line| {
        if line.contains("hang") {
            StubAction::Ignore
        } else {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        }
    })
}

/// Whether the client's socket holds a complete line.
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

/// A final response is not planned for the deadline itself, since a process that is held up around
/// it would write the response too late. Requests at a backend that hangs are answered in time, at
/// a node and at the origin.
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

    assert_eq!(answered, [true; 4], "answered by the deadline and the slack");
    for client in &mut clients {
        assert!(client.read_line().starts_with("SERVER_ERROR "));
    }
    fixture.wait_until("the process runs again", || fixture.client().request("mn\r\n") == "MN\r\n");
    assert_eq!(fixture.counter("answered_late"), 0);
    assert_eq!(fixture.counter("overdue"), 0, "no guard was needed");
}

/// Operators can see a hold-up in the log and in the counters.
#[test]
fn a_hold_up_is_counted() {
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&hanging_node()], &origin);
    assert_eq!(fixture.counter("held_up"), 0);
    fixture.signal("STOP");
    sleep(HOLD_UP_DURATION);
    fixture.signal("CONT");
    fixture.wait_until("it is counted", || fixture.counter("held_up") > 0);
}

/// A deadline does not count from when a request is read: one that arrives during a hold-up has
/// lost that time already.
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

        assert_eq!(answered, [true; 2], "answered by the deadline of {wait_ms} ms and the slack");
        for client in &mut clients {
            assert!(client.read_line().starts_with("SERVER_ERROR "));
        }
    }
}
