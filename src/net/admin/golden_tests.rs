//! Golden tests of the responses of the operators' endpoint, byte by byte, because operators'
//! scripts and probes read the status, the headers and the text. The expected texts were recorded
//! before any identifier was renamed.

use super::handler::maintenance_rejected;
use super::request::{parse, AdminRequest, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use super::response::AdminResponse;
use crate::net::dispatcher::MaintenanceError;
use crate::net::hot_restart::{ControlCommand, ServiceState};

fn written(response: &AdminResponse) -> String {
    String::from_utf8(response.encode()).unwrap()
}

fn read(request: &str) -> Result<AdminRequest, AdminResponse> {
    parse(request.as_bytes()).transpose().unwrap().map_err(AdminResponse::from)
}

/// Returns the status and the text of the response to an invalid request.
fn rejected(request: &str) -> (u16, String) {
    let response = read(request).unwrap_err();
    (response.status, response.text)
}

#[test]
fn a_text_answer_is_the_recorded_bytes() {
    let recorded = concat!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n",
        "Content-Length: 6\r\nConnection: close\r\n\r\nready\n",
    );
    assert_eq!(written(&AdminResponse::text(200, "ready")), recorded);
}

#[test]
fn a_json_answer_is_the_recorded_bytes() {
    let recorded = concat!(
        "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\n",
        "Content-Length: 3\r\nConnection: close\r\n\r\n{}\n",
    );
    assert_eq!(written(&AdminResponse::json(202, "{}")), recorded);
    let recorded = recorded.replace("202 Accepted", "200 OK");
    assert_eq!(written(&AdminResponse::json(200, "{}")), recorded);
}

#[test]
fn a_response_to_a_wrong_method_is_the_recorded_bytes() {
    let recorded = concat!(
        "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain; charset=utf-8\r\n",
        "Content-Length: 44\r\nAllow: GET\r\nConnection: close\r\n\r\n",
        "/control/ready is called by GET, not DELETE\n",
    );
    assert_eq!(written(&read("DELETE /control/ready HTTP/1.1\r\n\r\n").unwrap_err()), recorded);
    let policy = read("PUT /control/policy HTTP/1.1\r\n\r\n").unwrap_err();
    assert_eq!(policy.allow, Some("GET, POST"));
    assert_eq!(policy.text, "/control/policy is called by GET, POST, not PUT");
}

#[test]
fn reasons_of_all_statuses_are_the_recorded_texts() {
    let recorded = [
        (200, "OK"),
        (202, "Accepted"),
        (400, "Bad Request"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (409, "Conflict"),
        (411, "Length Required"),
        (413, "Content Too Large"),
        (431, "Request Header Fields Too Large"),
        (503, "Service Unavailable"),
        (500, "Error"),
    ];
    for (status, reason) in recorded {
        let first = format!("HTTP/1.1 {status} {reason}\r\n");
        assert!(written(&AdminResponse::text(status, "")).starts_with(&first), "{status}");
    }
}

#[test]
fn requests_are_parsed_by_the_recorded_methods_and_paths() {
    let command = AdminRequest::Command;
    let recorded = [
        ("GET /control/ready", AdminRequest::Ready),
        ("GET /control/fleet", AdminRequest::Fleet),
        ("GET /control/policy", AdminRequest::Policy),
        ("GET /control/drift", AdminRequest::Drift),
        ("POST /control/policy/restore", AdminRequest::Restore),
        ("GET /control/policy/changes/c%201", AdminRequest::Change("c 1".into())),
        ("POST /control/cache-nodes/a/offline", command(ControlCommand::EnterMaintenance("a".into()))),
        ("POST /control/cache-nodes/a/online", command(ControlCommand::LeaveMaintenance("a".into()))),
        ("POST /control/out-of-service", command(ControlCommand::SetService(ServiceState::OutOfService))),
        ("POST /control/in-service", command(ControlCommand::SetService(ServiceState::InService))),
    ];
    for (line, recorded) in recorded {
        assert_eq!(read(&format!("{line} HTTP/1.1\r\n\r\n")), Ok(recorded), "{line}");
    }
    let propose = "POST /control/policy HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
    assert_eq!(read(propose), Ok(AdminRequest::Propose(b"{}".to_vec())));
}

#[test]
fn responses_to_invalid_requests_are_the_recorded_texts() {
    let no_call = rejected("GET /control HTTP/1.1\r\n\r\n");
    assert_eq!(no_call, (404, "no such call: \"/control\"".into()));
    let no_id = rejected("POST /control/cache-nodes/%zz/offline HTTP/1.1\r\n\r\n");
    assert_eq!(no_id, (400, "\"%zz\" is no id: empty, or badly escaped".into()));
    let no_length = rejected("POST /control/policy HTTP/1.1\r\n\r\n");
    assert_eq!(no_length, (411, "the call needs a body and its Content-Length".into()));
    let length = MAX_BODY_BYTES + 1;
    let long = rejected(&format!("POST /control/policy HTTP/1.1\r\nContent-Length: {length}\r\n\r\n"));
    assert_eq!(long, (413, "the body has over 524288 bytes".into()));
    let no_http = rejected("mn\r\n");
    assert_eq!(no_http, (400, "no HTTP request: invalid token".into()));
    let head = rejected(&format!("GET / HTTP/1.1\r\nA: {}\r\n", "x".repeat(MAX_HEAD_BYTES)));
    assert_eq!(head, (431, "the head has over 8192 bytes or 64 lines".into()));
}

#[test]
fn rejected_maintenance_commands_have_the_recorded_statuses() {
    let status = |error: MaintenanceError| maintenance_rejected(&error).status;
    assert_eq!(status(MaintenanceError::NeverListed("a".into())), 404);
    assert_eq!(status(MaintenanceError::Origin("a".into())), 409);
    assert_eq!(status(MaintenanceError::TooMany), 409);
    assert_eq!(maintenance_rejected(&MaintenanceError::NeverListed("a".into())).text, "a was never listed");
}
