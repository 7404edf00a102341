//! Tests of the proxy's requests to cache nodes, the origin and discovery.

use crate::{compare, escaped, origin, without_number};
use pinetrail_test_harness::{
    config, endpoint_list_json, opaque, start_proxy, ProxyFixture, StubAction, StubServer,
};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Longest time that the test waits for a request.
const WAIT: Duration = Duration::from_secs(10);

/// Formats requests as lines of a recording, with marks for the remaining time and the address,
/// which vary.
fn normalized(received: &[String], server: &StubServer) -> String {
    let normalized: String = received.iter().map(|request| escaped(request) + "\n").collect();
    without_number(&normalized, ",d=", "LEFT").replace(&server.address.to_string(), "ADDRESS")
}

#[test]
fn attempts_at_a_cache_node_and_the_origin_are_as_recorded() {
    let node = StubServer::node(|line| {
        if line.starts_with("mg absent") {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        } else {
            StubAction::Reply(format!("VA 1 {} h1\r\nv\r\n", opaque(line)))
        }
    });
    let origin = origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    let reads = [
        "mg hit v O1 Pc=read,t=acme,d=9000\r\n",
        // Special characters of a path, and labels in another order.
        "mg absent/a?b%c:@~ v O9b1f Pt=acme,d=9000,c=read\r\n",
    ];
    for command in reads {
        assert!(client.request(command).starts_with("VA "), "{command:?}");
        client.read_line();
    }
    let writes = [
        "ms w/1 5 O3 Pc=put,t=acme,d=9000,k=5c\r\nhello\r\n",
        // No idempotency key, and an empty value.
        "ms w 0 O4 Pc=confirm,t=acme,d=9000\r\n\r\n",
    ];
    for command in writes {
        assert!(client.request(command).starts_with("HD "), "{command:?}");
    }
    let (to_node, to_origin) = (normalized(&node.received(), &node), normalized(&origin.received(), &origin));
    let actual = format!("# to the cache node\n{to_node}# to the origin\n{to_origin}");
    compare("attempts", include_str!("recorded/calls.txt"), &actual);
}

#[test]
fn watch_requests_to_discovery_are_as_recorded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let origin = origin();
    let list = endpoint_list_json(7, true, &[origin.entry("o", "origin", "ready")]);
    let (sender, watches) = channel();
    thread::spawn(move || {
        // Each watch gets one list, then its connection ends.
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).unwrap() > 0 {}
            let response = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
                list.len() + 1
            );
            // The proxy or the test may have ended.
            let _ = stream.write_all(response.as_bytes());
            let _ = sender.send(head);
        }
    });
    let known = endpoint_list_json(3, true, &[origin.entry("o", "origin", "ready")]);
    let mut child = start_proxy(&config("127.0.0.1:0", &address.to_string(), 256, &known));
    let heads: Vec<_> = (0..2).map(|_| watches.recv_timeout(WAIT)).collect();
    child.kill().and_then(|()| child.wait()).unwrap();
    let heads: String = heads.into_iter().map(|head| escaped(&head.unwrap()) + "\n").collect();
    let heads = heads.replace(&address.to_string(), "ADDRESS");
    compare("watches", include_str!("recorded/watches.txt"), &heads);
}
