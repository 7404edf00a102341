//! Clients that disconnect while their requests are queued.

use super::*;
use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Serves short values, so that further commands of a pipeline do not wait for the values before them,
/// and makes the node hold its responses from then on.
fn hold_after_short_values(fixture: &ProxyFixture, release: &AtomicBool) {
    release.store(true, Ordering::SeqCst);
    serve_short_values(fixture);
    release.store(false, Ordering::SeqCst);
}

/// Returns how many reads were accepted after the short values.
fn accepted_reads(fixture: &ProxyFixture) -> u64 {
    fixture.counter("taken_reads") - SHORT_VALUES as u64
}

/// Starts a node that does not respond until the returned flag is set.
fn holding_node() -> (StubServer, Arc<AtomicBool>) {
    let release = Arc::new(AtomicBool::new(false));
    let is_released = Arc::clone(&release);
    let node = StubServer::node(move |line| {
        while !is_released.load(Ordering::SeqCst) {
            sleep(ms(2));
        }
        StubAction::Reply(hit_response(line, "v"))
    });
    (node, release)
}

fn read_commands(from: usize, to: usize) -> String {
    (from..to).map(|n| format!("mg k{n} v O{n} Pc=read,t=acme,d=20000\r\n")).collect()
}

/// Time within which a forwarded request arrives at its backend.
const FORWARDING_TIME: Duration = Duration::from_millis(400);

/// Guards against attempts for a client that has disconnected: since its connection is full, its
/// end is not read, or is behind commands that are not executed yet.
#[test]
fn no_queued_request_is_sent_for_a_disconnected_client_whose_connection_is_full() {
    for ending in ["close", "close over unread answers", "half close", "reset", "quit"] {
        let (node, release) = holding_node();
        let origin = StubServer::origin(|_| StubAction::Ignore);
        let fixture = ProxyFixture::with_config_changes(
            &[node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")],
            // No request expires before the client disconnects.
            &[(r#""Aim":400.0"#, r#""Aim":20000.0"#)],
        );
        hold_after_short_values(&fixture, &release);
        let mut client = fixture.client();
        if ending == "close over unread answers" {
            client.send("mn\r\nversion\r\n");
        }
        // At most 64 commands may wait, so some of these stay unread.
        client.send(&read_commands(0, 400));
        if ending == "quit" {
            client.send("quit\r\n");
        }
        fixture.wait_until("its commands are accepted", || accepted_reads(&fixture) == 64);
        fixture.wait_until("the node has all attempts that are allowed", || {
            node.received().len() as u64 == fixture.counter("calls_ordered")
        });
        let before = node.received().len();
        assert!(
            (1..64).contains(&(before - SHORT_VALUES)),
            "some requests are sent and some wait: {before} sent"
        );
        let stream: TcpStream = client.reader().get_ref().try_clone().unwrap();
        match ending {
            "half close" => stream.shutdown(Shutdown::Write).unwrap(),
            "reset" => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
            _ => {}
        }
        if ending != "half close" {
            drop((client, stream));
        }
        fixture.wait_until("the disconnect is noticed", || fixture.counter("consumers_gone") == 64);
        release.store(true, Ordering::SeqCst);
        sleep(FORWARDING_TIME);
        assert_eq!(node.received().len(), before, "{ending}");
        assert_eq!(accepted_reads(&fixture), 64, "{ending}");
    }
}

/// Guards against attempts for a client that disconnects late in a drain: the proxy then no longer
/// reads a connection with an open command.
#[test]
fn a_client_that_disconnects_late_in_a_drain_is_noticed() {
    let (node, release) = holding_node();
    let origin = StubServer::origin(|_| StubAction::Ignore);
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_config_changes(&entries, &[(r#""Aim":400.0"#, r#""Aim":20000.0"#)]);
    hold_after_short_values(&fixture, &release);
    let mut client = fixture.client();
    client.send(&read_commands(0, 40));
    fixture.wait_until("its commands are accepted", || accepted_reads(&fixture) == 40);
    fixture.wait_until("the node has all attempts that are allowed", || {
        node.received().len() as u64 == fixture.counter("calls_ordered")
    });
    let before = node.received().len();
    assert!(
        (1..40).contains(&(before - SHORT_VALUES)),
        "some requests are sent and some wait: {before} sent"
    );
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200);
    // After this time a connection with open commands is no longer read.
    sleep(ms(2000));
    drop(client);
    fixture.wait_until("the disconnect is noticed", || fixture.counter("consumers_gone") == 40);
    release.store(true, Ordering::SeqCst);
    sleep(FORWARDING_TIME);
    assert_eq!(node.received().len(), before);
}

/// Guards against a request that is executed long after its client has closed its sending side: it
/// is behind malformed input, which is read with pauses. (If the client had closed the connection
/// completely, the first response to that input would show it.)
#[test]
fn a_request_behind_malformed_input_is_not_sent_for_a_disconnected_client() {
    let (node, _) = holding_node();
    let fixture = ProxyFixture::with_backends(&[&node], &StubServer::origin(|_| StubAction::Ignore));
    // The proxy pauses for 20 ms after each 64 of these: 900 ms in all.
    let malformed = "no such command\r\n".repeat(45 * 64);
    let mut client = fixture.client();
    client.send(&format!("{malformed}mg k v O1 Pc=read,t=acme,d=20000\r\n"));
    client.reader().get_ref().shutdown(Shutdown::Write).unwrap();
    fixture.wait_until("some of the input is read", || fixture.counter("taken_malformed") > 0);
    while !client.read_line().is_empty() {}
    // The request is executed neither before the connection ends nor after.
    assert_eq!((node.received(), fixture.counter("taken_reads")), (Vec::new(), 0));
}

/// Guards against requests that are executed for clients that disconnected while the process was
/// stopped, on an open connection or on one that is not accepted yet.
#[test]
fn a_process_that_was_stopped_makes_no_attempt_for_clients_that_have_disconnected() {
    let node = StubServer::hit_node("v");
    let fixture = ProxyFixture::with_backends(&[&node], &StubServer::origin(|_| StubAction::Ignore));
    let mut held = fixture.client();
    assert_eq!(held.get("k", "0", 900).1, "v\r\n");
    fixture.signal("STOP");
    let mut new = fixture.client();
    held.send(&read_commands(1, 2));
    new.send(&read_commands(2, 3));
    drop((held, new));
    fixture.signal("CONT");
    let accepted = fixture.counter("consumers_accepted");
    fixture.wait_until("both connections are read", || fixture.counter("consumers_accepted") > accepted);
    sleep(FORWARDING_TIME);
    assert_eq!(node.received().len(), 1, "only the earlier request was sent");
}

/// Guards against fetches for clients that disconnected while they waited for capacity at the
/// origin, or for the fetch of another request.
#[test]
fn waiting_misses_are_not_sent_for_disconnected_clients() {
    let release = Arc::new(AtomicBool::new(false));
    let is_released = Arc::clone(&release);
    let node = StubServer::miss_node();
    let origin = StubServer::origin(move |_| {
        while !is_released.load(Ordering::SeqCst) {
            sleep(ms(2));
        }
        http_200("v")
    });
    let fixture = ProxyFixture::with_config_changes(
        &[node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")],
        &[(r#""Aim":400.0"#, r#""Aim":20000.0"#)],
    );
    // One key is requested twice: the second request waits for the fetch of the first.
    let mut clients: Vec<Client> = (0..12).map(|_| fixture.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&format!("mg k{} v O{n} Pc=read,t=acme,d=20000\r\n", n.min(10)));
    }
    fixture.wait_until("the origin has all attempts that are allowed", || origin.received().len() == 8);
    fixture.wait_until("all are accepted", || fixture.counter("taken_reads") == 12);
    drop(clients);
    fixture.wait_until("the disconnect is noticed", || fixture.counter("consumers_gone") == 12);
    release.store(true, Ordering::SeqCst);
    sleep(FORWARDING_TIME);
    assert_eq!(origin.received().len(), 8, "no fetch was made for the others");
}
