//! Graceful shutdown: the behavior of a process after SIGTERM.

use crate::{idle_origin, ms};
use pinetrail_test_harness::*;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn the_proxy_finishes_accepted_requests_after_sigterm() {
    let node = StubServer::node(|line| {
        sleep(ms(700));
        StubAction::Reply(format!("VA 4 {}\r\nlate\r\n", opaque(line)))
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (mut before, mut idle) = (fixture.client(), fixture.client());
    assert_eq!(idle.request("mn\r\n"), "MN\r\n");
    before.send("mg k v O1 Pc=read,t=acme,d=2000\r\n");
    fixture.wait_until("the node has the request", || node.received().len() == 1);
    fixture.signal("TERM");
    sleep(ms(100));
    let mut after = fixture.client();
    after.send("mg j v O2 Pc=read,t=acme,d=2000\r\n");
    assert_eq!((before.read_line(), before.read_line()), ("VA 4 O1\r\n".into(), "late\r\n".into()));
    assert_eq!((after.read_line(), after.read_line()), ("VA 4 O2\r\n".into(), "late\r\n".into()));
    assert_eq!([before.read_line(), after.read_line(), idle.read_line()], [""; 3], "all connections closed");
    let output = fixture.wait_for_exit();
    assert!(output.status.success());
    let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output_text.contains("taken_reads=2") && output_text.contains("answered_served=2"),
        "{output_text}"
    );
}

/// Guards against a drain that closes open connections early: clients of the only proxy must be
/// able to use them for nearly as long as the drain takes.
#[test]
fn a_draining_proxy_serves_open_connections_until_shortly_before_the_kill() {
    let node = StubServer::node(|line| {
        if line.contains("slow") {
            StubAction::Ignore
        } else {
            StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)))
        }
    });
    let origin = idle_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (mut kept, mut slow) = (fixture.client(), fixture.client());
    assert_eq!((kept.request("mn\r\n"), slow.request("mn\r\n")), ("MN\r\n".into(), "MN\r\n".into()));
    fixture.signal("TERM");
    let started_at = Instant::now();
    sleep(ms(800));
    assert!(std::net::TcpStream::connect(fixture.client_address).is_err(), "the proxy still listens");
    assert_eq!(kept.get("k", "1", 900).1, "v\r\n");
    // Clients wait for at most 1 s, so the earliest kill is 1.7 s after SIGTERM. This request gets
    // its response before that.
    slow.send("mg slow v O2 Pc=read,t=acme,d=1000\r\n");
    assert!(slow.read_line().starts_with("SERVER_ERROR "));
    assert_eq!((kept.read_line(), slow.read_line()), (String::new(), String::new()));
    let output = fixture.wait_for_exit();
    assert!(output.status.success() && started_at.elapsed() < ms(3000), "{:?}", started_at.elapsed());
}
