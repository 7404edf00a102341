//! The proxy closes a client's connection while the client sends.

use super::*;
use std::time::Instant;

/// Sends a command repeatedly for `time_ms` on a connection that the proxy has ended, and returns
/// whether the connection was reset.
fn is_reset_within(client: &mut Client, command: &str, time_ms: u64) -> bool {
    let until = Instant::now() + ms(time_ms);
    while Instant::now() < until {
        if !client.try_send(command) {
            return true;
        }
        std::thread::sleep(ms(5));
    }
    false
}

/// Guards against a reset that destroys the response before it: input that crosses the end of a
/// connection is discarded without a reset, and not executed. A client that never closes its side
/// holds its descriptor only briefly.
#[test]
fn a_command_that_crosses_the_end_of_its_connection_causes_no_reset_and_is_not_executed() {
    for scenario in ["sigterm", "sigterm over half a command", "out of service"] {
        let node = StubServer::hit_node("v");
        let fixture = ProxyFixture::with_backends(&[&node], &StubServer::origin(|_| StubAction::Ignore));
        let mut client = fixture.client();
        assert_eq!(client.get("k", "1", 900).1, "v\r\n");
        if scenario == "sigterm over half a command" {
            client.send("mg k v O2 Pc=re");
        }
        match scenario {
            "out of service" => {
                assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200)
            }
            _ => fixture.signal("TERM"),
        }
        fixture.wait_until("the proxy ends the connection", || client.is_closed());
        assert!(!is_reset_within(&mut client, "mg k v O3 Pc=read,t=acme,d=900\r\n", 150), "{scenario}");
        assert_eq!(client.read_line(), "", "{scenario}: nothing is answered after the end");
        assert_eq!(node.received().len(), 1, "{scenario}: no command behind the end is executed");
        // The proxy releases the descriptor nevertheless.
        assert!(is_reset_within(&mut client, "\r\n", 2000), "{scenario}");
        if scenario != "out of service" {
            let output = fixture.wait_for_exit();
            assert!(output.status.success(), "{scenario}: {:?}", output.status);
        }
    }
}

/// Guards against a further signal that ends a drain or restarts it.
#[test]
fn signals_in_a_drain_change_nothing() {
    let (node, origin) = (AcceptBarrier::new(), StubServer::origin(|_| StubAction::Ignore));
    let fixture =
        ProxyFixture::new(&[node.entry("s-0", "c6", "ready", 0), origin.entry("o", "origin", "ready")]);
    let mut client = fixture.client();
    client.send("mg k v O1 Pc=read,t=acme,d=900\r\n");
    let mut attempt = node.accept().expect("the attempt is sent");
    let command = attempt.read_request(false).expect("a complete request");
    let started_at = Instant::now();
    for name in ["TERM", "HUP", "TERM", "USR1"] {
        fixture.signal(name);
    }
    assert!(attempt.send(&hit_response(&command, "v")));
    assert_eq!((client.read_line(), client.read_line()), ("VA 1 O1\r\n".into(), "v\r\n".into()));
    drop((client, attempt));
    let output = fixture.wait_for_exit();
    assert!(output.status.success(), "{:?}", output.status);
    // Clients wait for at most 1 s, and the earliest kill is 0.7 s after that.
    assert!(started_at.elapsed() < ms(1700), "{:?}", started_at.elapsed());
}

/// The observations of one client during a drain.
#[derive(Clone, Copy, Debug, Default)]
struct DrainObservations {
    sent: usize,
    answered: usize,
    /// Requests without a response on a connection that had responses before. The client can send
    /// them again elsewhere.
    crossed: usize,
    /// Requests without a response on a new connection.
    unanswered: usize,
}

/// Sends requests until `send_until`, on one connection for as long as it is open, and opens new
/// connections until `connect_until`.
fn send_through_a_drain(
    address: std::net::SocketAddr,
    client_number: usize,
    connect_until: Instant,
    send_until: Instant,
) -> DrainObservations {
    let mut observations = DrainObservations::default();
    while Instant::now() < connect_until {
        let Some(mut client) = Client::try_connect(address) else { break };
        let before = observations.answered;
        while Instant::now() < send_until {
            let id = format!("{client_number}.{}", observations.sent);
            observations.sent += 1;
            let is_new = observations.answered == before;
            let is_sent = client.try_send(&format!("mg {id} v O{id} Pc=read,t=acme,d=600\r\n"));
            let line = if is_sent { client.read_line() } else { String::new() };
            match line.as_str() {
                "" if is_new => observations.unanswered += 1,
                "" => observations.crossed += 1,
                line => {
                    assert!(line.starts_with("VA ") || line.starts_with("SERVER_ERROR "), "{line}");
                    observations.answered += 1;
                    if line.starts_with("VA ") {
                        assert_eq!(client.read_line(), "v\r\n", "a value that began is complete");
                    }
                }
            }
            if line.is_empty() {
                break;
            }
        }
    }
    observations
}

/// Guards against requests that a drain loses while half of the nodes do not respond: clients send
/// on every open connection up to the exit, and new ones connect for 0.3 s. All requests must get a
/// response except those that cross the end of their connection.
#[test]
fn a_draining_proxy_under_load_with_half_of_the_nodes_hanging_answers_all_requests() {
    let (node, hanging_node) = (StubServer::hit_node("v"), StubServer::node(|_| StubAction::Ignore));
    let fixture =
        ProxyFixture::with_backends(&[&node, &hanging_node], &StubServer::origin(|_| StubAction::Ignore));
    let start = Instant::now();
    let clients: Vec<_> = (0..40)
        .map(|n| {
            let address = fixture.client_address;
            std::thread::spawn(move || send_through_a_drain(address, n, start + ms(800), start + ms(5000)))
        })
        .collect();
    std::thread::sleep(ms(500));
    fixture.signal("TERM");
    let observations: Vec<DrainObservations> =
        clients.into_iter().map(|client| client.join().unwrap()).collect();
    let sum = |count: fn(&DrainObservations) -> usize| observations.iter().map(count).sum::<usize>();
    let (sent, answered) = (sum(|s| s.sent), sum(|s| s.answered));
    assert!(sent > 400, "too little load: {sent} requests");
    assert_eq!(sum(|s| s.unanswered), 0, "requests without a response on a new connection, of {sent}");
    // Each connection ends once, with at most one request that crosses the end.
    assert!(sum(|s| s.crossed) <= 40 && answered + sum(|s| s.crossed) == sent, "{observations:?}");
    assert!(fixture.wait_for_exit().status.success());
}
