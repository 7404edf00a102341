//! Tests of the responses, head and body, of the admin server of one proxy without a fleet.

use crate::{compare, escaped, origin, silent_origin};
use pinetrail_test_harness::{opaque, Client, ProxyFixture, StubAction, StubServer};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;

/// Returns the complete response of an admin server to the text of a request.
pub(crate) fn complete_response(admin: SocketAddr, request: &str) -> String {
    let mut client = Client::connect(admin);
    client.send(request);
    let mut response = String::new();
    client
        .reader()
        .read_to_string(&mut response)
        .expect("the admin server responds and closes the connection");
    response
}

/// Returns a request with this request line and without a body.
pub(crate) fn request(line: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: door\r\n\r\n")
}

fn exchanges(admin: SocketAddr, lines: &[&str]) -> String {
    let exchange = |line: &&str| {
        let response = complete_response(admin, &request(line));
        format!("> {line}\n< {}\n", escaped(&response))
    };
    lines.iter().map(exchange).collect()
}

#[test]
fn readiness_and_service_are_answered_as_recorded() {
    let (node, origin) = (StubServer::hit_node("v"), origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let lines = [
        "GET /control/ready",
        "GET /control/ready?verbose=1",
        "POST /control/out-of-service",
        "POST /control/out-of-service",
        "GET /control/ready",
        "POST /control/in-service",
        "POST /control/in-service",
        "GET /control/ready",
    ];
    compare("service", include_str!("recorded/service.txt"), &exchanges(fixture.admin_address, &lines));
}

#[test]
fn cache_nodes_are_taken_out_and_back_as_recorded() {
    let (node, origin) = (StubServer::hit_node("v"), origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let lines = [
        "POST /control/cache-nodes/s-0/offline",
        "POST /control/cache-nodes/s-0/offline",
        "POST /control/cache-nodes/s%2D0/online",
        "POST /control/cache-nodes/s-0/online",
        "POST /control/cache-nodes/nobody/offline",
        "POST /control/cache-nodes/nobody/online",
        "POST /control/cache-nodes/o/offline",
        "POST /control/cache-nodes/o/online",
        "POST /control/cache-nodes/%zz/online",
        "POST /control/cache-nodes//offline",
        "POST /control/cache-nodes/s-0/away",
        "GET /control/cache-nodes/s-0/offline",
        "GET /control/cache-nodes/s-0",
    ];
    compare("nodes", include_str!("recorded/nodes.txt"), &exchanges(fixture.admin_address, &lines));
}

#[test]
fn unknown_admin_requests_are_rejected_as_recorded() {
    let origin = origin();
    let fixture = ProxyFixture::with_backends(&[], &origin);
    let lines = [
        "GET /",
        "GET /control",
        "GET /control/nothing",
        "GET /control/ready/",
        "POST /control/ready",
        "POST /control/fleet",
        "PUT /control/policy",
        "POST /control/drift",
        "GET /control/policy/restore",
        "POST /control/policy/changes/x",
        "GET /control/policy/changes/",
        "GET /control/out-of-service",
        "GET /control/in-service",
        // These paths exist only with a fleet.
        "GET /control/fleet",
        "GET /control/policy",
        "GET /control/policy/changes/x",
        "GET /control/drift",
        "POST /control/policy/restore",
        "POST /control/policy",
    ];
    compare(
        "unknown requests",
        include_str!("recorded/wrong_calls.txt"),
        &exchanges(fixture.admin_address, &lines),
    );
}

#[test]
fn malformed_admin_requests_are_rejected_as_recorded() {
    let origin = origin();
    let fixture = ProxyFixture::with_backends(&[], &origin);
    let propose = "POST /control/policy HTTP/1.1\r\n";
    let requests = [
        "mn\r\n\r\n".to_owned(),
        "GET /control/ready HTTP/3\r\n\r\n".to_owned(),
        "GET /control/ready HTTP/1.1\r\nno colon\r\n\r\n".to_owned(),
        format!("GET /control/ready HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(9000)),
        format!("GET /control/ready HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65)),
        format!("{propose}Content-Length: soon\r\n\r\n"),
        format!("{propose}Content-Length: 524289\r\n\r\n"),
        format!("{propose}Content-Length: 2\r\n\r\n{{}}"),
    ];
    let exchanges = requests.map(|request| {
        let shown = if request.len() < 200 { escaped(&request) } else { escaped(&request[..40]) + "..." };
        format!("> {shown}\n< {}\n", escaped(&complete_response(fixture.admin_address, &request)))
    });
    compare("malformed requests", include_str!("recorded/no_calls.txt"), &exchanges.concat());
}

#[test]
fn a_draining_process_answers_admin_requests_as_recorded() {
    // The node responds only when the test releases it.
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let node = StubServer::node(move |line| {
        // Dropping the sender releases the node as well.
        let _ = released.lock().unwrap().recv();
        StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)))
    });
    let origin = silent_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    client.send("mg k v O1 Pc=read,t=acme,d=9000\r\n");
    fixture.wait_until("the node receives the request", || node.received().len() == 1);
    fixture.signal("TERM");
    let ready = request("GET /control/ready");
    fixture.wait_until("draining", || {
        !complete_response(fixture.admin_address, &ready).starts_with("HTTP/1.1 200")
    });
    let lines = ["GET /control/ready", "POST /control/out-of-service", "POST /control/in-service"];
    let actual = exchanges(fixture.admin_address, &lines);
    drop(release);
    compare("stopping", include_str!("recorded/stopping.txt"), &actual);
    assert!(fixture.wait_for_exit().status.success());
}

#[test]
fn half_an_admin_request_is_rejected_in_time_as_recorded() {
    let origin = silent_origin();
    let fixture = ProxyFixture::with_backends(&[], &origin);
    let body = "POST /control/policy HTTP/1.1\r\nContent-Length: 2\r\n\r\n{";
    let requests = ["GET /control/re", body];
    let admin = fixture.admin_address;
    let responses = std::thread::scope(|scope| {
        let handles = requests.map(|request| scope.spawn(move || complete_response(admin, request)));
        handles.map(|handle| handle.join().expect("the admin server responds"))
    });
    let shown = |(request, response): (&str, String)| {
        let (request, response) = (escaped(request), escaped(&response));
        format!("> {request}\n< {response}\n")
    };
    let actual: String = requests.into_iter().zip(responses).map(shown).collect();
    compare("half a request", include_str!("recorded/half_calls.txt"), &actual);
}
