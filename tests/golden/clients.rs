//! Tests of the responses to clients: to each command of the protocol, and to malformed input.

use crate::{compare, escaped, origin, silent_origin, without_number};
use pinetrail_test_harness::{call_admin, opaque, Client, ProxyFixture, StubAction, StubServer};

/// Starts a cache node that holds all keys except those that begin with `absent`.
fn node() -> StubServer {
    StubServer::node(|line| {
        if line.starts_with("mg absent") {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        } else {
            StubAction::Reply(format!("VA 5 {} h1\r\nhello\r\n", opaque(line)))
        }
    })
}

/// Sends a command; returns the command, its complete response, and whether the connection remains
/// usable.
fn exchange(client: &mut Client, command: &str) -> String {
    client.send(command);
    let mut response = client.read_line();
    if response.starts_with("VA ") {
        response += &client.read_line();
    }
    let shown = if command.len() < 200 { escaped(command) } else { escaped(&command[..40]) + "..." };
    let next = if client.try_send("mn\r\n") { client.read_line() } else { String::new() };
    let next = match next {
        line if line == "MN\r\n" => "serves on",
        line if line.is_empty() => "closes",
        line => panic!("unexpected output: {line:?}"),
    };
    format!("> {shown}\n< {}\n= {next}\n", escaped(&response))
}

fn exchanges(fixture: &ProxyFixture, commands: &[&str]) -> String {
    commands.iter().map(|command| exchange(&mut fixture.client(), command)).collect()
}

#[test]
fn each_command_is_answered_as_recorded() {
    let (node, origin) = (node(), origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let commands = [
        "mn\r\n",
        "version\r\n",
        "quit\r\n",
        "mg hit v O1 Pc=read,t=acme,d=9000\r\n",
        "mg hit Pc=read,t=acme,d=9000 O9b1f v\r\n",
        "mg absent/1 v O2 Pc=read,t=acme,d=9000\r\n",
        "ms w 5 O3 Pc=put,t=acme,d=9000,k=5c\r\nhello\r\n",
        "ms w 0 O4 Pc=confirm,t=acme,d=9000\r\n\r\n",
    ];
    compare("commands", include_str!("recorded/commands.txt"), &exchanges(&fixture, &commands));
}

#[test]
fn each_malformed_command_is_rejected_as_recorded() {
    let (node, origin) = (node(), origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (long, long_key) = ("x".repeat(3000), format!("mg {} v O1 Pc=read\r\n", "k".repeat(251)));
    let commands = [
        "get k\r\n",
        "gets k\r\n",
        "set k 0 0 1\r\n",
        "md k\r\n",
        "ma k\r\n",
        "me k\r\n",
        "MN\r\n",
        "\r\n",
        "mn 1\r\n",
        "stats items\r\n",
        "version 1\r\n",
        "quit 1\r\n",
        "mn\n",
        "mn\u{1}\r\n",
        &long,
        &long_key,
        "mg\r\n",
        "mg k\r\n",
        "mg k v\r\n",
        "mg k O1 Pc=read,t=acme,d=9000\r\n",
        "mg k v Pc=read,t=acme,d=9000\r\n",
        "mg k v O1\r\n",
        "mg k v v O1 Pc=read,t=acme,d=9000\r\n",
        "mg k v q O1 Pc=read,t=acme,d=9000\r\n",
        "mg k v O1 Pread\r\n",
        "mg k v O1 P=read\r\n",
        "ms k\r\n",
        "ms k x O1 Pc=put\r\n",
        "ms k 4194305 O1 Pc=put\r\n",
        "ms k 1 O1 Pc=put,t=acme,d=9000,k=5c\r\nxyz",
        "ms k 1 v O1 Pc=put,t=acme,d=9000,k=5c\r\nx\r\n",
        "mg k v O1 Pc=absent,t=acme,d=9000\r\n",
        "mg k v O1 Pc=read,t=absent,d=9000\r\n",
        "mg k v O1 Pc=read,t=acme,d=0\r\n",
        "mg k v O1 Pc=read,t=acme,d=soon\r\n",
        "mg k v O1 Pc=read,t=acme\r\n",
        "mg k v O1 Pt=acme,d=9000\r\n",
        "mg k v O1 Pc=read,d=9000\r\n",
        "mg k v O1 Pc=read,c=read,t=acme,d=9000\r\n",
        "mg k v O1 Pc=read,t=acme,d=9000,x=1\r\n",
        "mg k v O1 Pc=put,t=acme,d=9000,k=5c\r\n",
        "ms k 1 O1 Pc=read,t=acme,d=9000\r\nx\r\n",
        "ms k 1 O1 Pc=put,t=acme,d=9000\r\nx\r\n",
    ];
    compare("malformed", include_str!("recorded/malformed.txt"), &exchanges(&fixture, &commands));
}

#[test]
fn an_opaque_id_in_use_is_rejected_as_recorded() {
    let origin = silent_origin();
    let fixture = ProxyFixture::with_backends(&[], &origin);
    let (mut client, mut other) = (fixture.client(), fixture.client());
    let command = "mg k v O1 Pc=read,t=acme,d=900\r\n";
    client.send(command);
    fixture.wait_until("the request is open", || fixture.counter("taken_reads") == 1);
    // The rejection comes while the request is open; the request's own response comes first in the text.
    let rejection = escaped(&other.request(command));
    let actual = format!("{}\n{rejection}\n", escaped(&client.read_line()));
    let actual = without_number(&actual, "busy ", "MS");
    compare("id in use", include_str!("recorded/id_in_use.txt"), &actual);
}

#[test]
fn a_failed_or_rejected_request_is_answered_as_recorded() {
    let fails = |response: &'static str| StubServer::origin(move |_| StubAction::Reply(response.into()));
    let error = fails("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
    let busy = fails("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
    let mut actual = String::new();
    for (name, origin) in [("error", error), ("busy", busy), ("silent", silent_origin())] {
        let fixture = ProxyFixture::with_backends(&[], &origin);
        let commands = [
            "mg k v O1 Pc=read,t=acme,d=300\r\n",
            "ms w 1 O2 Pc=put,t=acme,d=300,k=5c\r\nx\r\n",
            "ms w 1 O3 Pc=confirm,t=acme,d=300\r\nx\r\n",
        ];
        let responses = exchanges(&fixture, &commands);
        actual += &format!("# origin: {name}\n{}", without_number(&responses, "busy ", "MS"));
    }
    compare("failures", include_str!("recorded/failures.txt"), &actual);
}

#[test]
fn a_proxy_out_of_service_answers_as_recorded() {
    let (node, origin) = (node(), origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200);
    let commands = ["mn\r\n", "version\r\n", "mg hit v O1 Pc=read,t=acme,d=9000\r\n"];
    let actual = exchanges(&fixture, &commands);
    compare("out of service", include_str!("recorded/out_of_service.txt"), &actual);
}

#[test]
fn half_a_command_is_rejected_in_time_as_recorded() {
    let origin = silent_origin();
    let fixture = ProxyFixture::with_backends(&[], &origin);
    let mut actual = String::new();
    for half in ["mg k v O1 Pc=re", "ms k 5 O1 Pc=put,t=acme,d=900,k=5c\r\nhel"] {
        let mut client = fixture.client();
        client.send(half);
        let (line, end) = (client.read_line(), client.read_line());
        actual += &format!("> {}\n< {}\n= {end:?}\n", escaped(half), escaped(&line));
    }
    compare("half a command", include_str!("recorded/half_commands.txt"), &actual);
}
