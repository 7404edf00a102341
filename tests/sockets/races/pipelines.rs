//! Pipelines whose connection is due to close: some of their commands still wait for a limit when
//! the proxy stops, or when clients are directed to other proxies.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// More commands than may be open at a time on one connection.
const COMMANDS: usize = 90;

/// Which commands a pipeline has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Reads,
    Writes,
}

fn pipeline(kind: Kind) -> String {
    let command = |n: usize| match kind {
        Kind::Reads => format!("mg k{n} v O{n} Pc=read,t=acme,d=2000\r\n"),
        Kind::Writes => format!("ms k{n} 1 O{n} Pc=put,t=acme,d=2000,k=id{n}\r\nv\r\n"),
    };
    (0..COMMANDS).map(command).collect()
}

/// Reads responses until the end of the connection; returns their number.
fn count_responses(client: &mut Client) -> usize {
    let mut responses = 0;
    loop {
        let line = client.read_line();
        match line.split(' ').next() {
            Some("VA") => assert_eq!(client.read_line(), "v\r\n"),
            Some("HD" | "SERVER_ERROR") => {}
            _ => {
                assert_eq!(line, "", "a response, or the end of the connection");
                return responses;
            }
        }
        responses += 1;
    }
}

/// Waits until the flag is set, but no longer than a test waits.
fn wait_for(flag: &AtomicBool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !flag.load(Ordering::SeqCst) && Instant::now() < deadline {
        sleep(ms(2));
    }
}

/// Starts a node that has every key but that of the first command of a pipeline, and an origin whose
/// response to that command waits for the returned flag.
fn holding_backends() -> (StubServer, StubServer, Arc<AtomicBool>) {
    let release = Arc::new(AtomicBool::new(false));
    let is_released = Arc::clone(&release);
    let node = StubServer::node(|line| {
        if opaque(line) == "O0" {
            StubAction::Reply("EN O0\r\n".to_owned())
        } else {
            StubAction::Reply(hit_response(line, "v"))
        }
    });
    let origin = StubServer::origin(move |request| {
        if request.contains("X-Txn: 0\r\n") {
            wait_for(&is_released);
        }
        http_200("v")
    });
    (node, origin, release)
}

/// Guards against commands without a response late in a drain: the last ones of a pipeline wait
/// until the first ones are answered, which is after the proxy began to close idle connections.
#[test]
fn commands_that_wait_for_a_limit_late_in_a_drain_are_answered() {
    for (kind, has_newer_process) in [(Kind::Reads, false), (Kind::Writes, false), (Kind::Reads, true)] {
        let (node, origin, release) = holding_backends();
        let mut fixture = ProxyFixture::with_backends(&[&node], &origin);
        let (mut client, mut idle) = (fixture.client(), fixture.client());
        assert_eq!((client.request("mn\r\n"), idle.request("mn\r\n")), ("MN\r\n".into(), "MN\r\n".into()));
        let older = has_newer_process.then(|| {
            let newer = fixture.start_second_process();
            fixture.replace_process(newer)
        });
        match &older {
            Some(older) => signal(older, "TERM"),
            None => fixture.signal("TERM"),
        }
        client.send(&pipeline(kind));
        fixture.wait_until("idle connections are closed", || idle.is_closed());
        sleep(ms(50));
        release.store(true, Ordering::SeqCst);
        assert_eq!(count_responses(&mut client), COMMANDS, "{kind:?}, newer process: {has_newer_process}");
        let output = match older {
            Some(older) => wait_for_exit(older),
            None => fixture.wait_for_exit(),
        };
        assert!(output.status.success(), "{:?}", output.status);
    }
}

/// Starts a proxy whose backends never respond, and which keeps requests open until the process
/// ends them, 1.35 s after SIGTERM.
fn proxy_of_hanging_backends(memory_mb: usize) -> ProxyFixture {
    let node = StubServer::node(|_| StubAction::Ignore);
    let origin = StubServer::origin(|_| StubAction::Ignore);
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let memory = format!(r#""memory_mb":{memory_mb}"#);
    let changes = [(r#""Aim":400.0"#, r#""Aim":20000.0"#), (r#""memory_mb":192"#, memory.as_str())];
    ProxyFixture::with_config_changes(&entries, &changes)
}

/// Guards against commands that are lost at the end of a drain in which no backend responds: they
/// wait for a limit until the process ends the open requests, and find no time for an attempt.
#[test]
fn commands_that_wait_when_the_open_requests_are_aborted_are_answered() {
    for kind in [Kind::Reads, Kind::Writes] {
        let fixture = proxy_of_hanging_backends(192);
        let mut client = fixture.client();
        assert_eq!(client.request("mn\r\n"), "MN\r\n");
        fixture.signal("TERM");
        let started_at = Instant::now();
        sleep(ms(800));
        client.send(&pipeline(kind));
        assert_eq!(count_responses(&mut client), COMMANDS, "{kind:?}");
        let output = fixture.wait_for_exit();
        assert!(output.status.success(), "{:?}", output.status);
        // The earliest kill.
        assert!(started_at.elapsed() < ms(1700), "{:?}", started_at.elapsed());
    }
}

/// Guards against the same loss where commands wait for memory.
#[test]
fn commands_that_wait_for_memory_at_the_end_of_a_drain_are_answered() {
    // 16 MB have room for 53 open requests, so that one connection has commands of either kind.
    let fixture = proxy_of_hanging_backends(16);
    let mut clients: Vec<Client> = (0..14).map(|_| fixture.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request("mn\r\n"), "MN\r\n");
    }
    fixture.signal("TERM");
    let started_at = Instant::now();
    sleep(ms(800));
    for (number, client) in clients.iter_mut().enumerate() {
        let commands: String =
            (0..4).map(|n| format!("mg k{n} v O{number}.{n} Pc=read,t=acme,d=1000\r\n")).collect();
        client.send(&commands);
    }
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(count_responses(client), 4, "client {number}");
    }
    assert!(fixture.wait_for_exit().status.success());
    assert!(started_at.elapsed() < ms(1700), "{:?}", started_at.elapsed());
}

/// Guards against commands without a response while clients are directed to other proxies: a
/// connection is closed after its first response, and the further commands had arrived before.
#[test]
fn a_pipeline_on_a_new_connection_long_out_of_service_is_answered() {
    let fixture = ProxyFixture::with_backends(
        &[&StubServer::hit_node("v")],
        &StubServer::origin(|_| StubAction::Ignore),
    );
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200);
    let started_at = Instant::now();
    for after_ms in [1000, 2500, 3500, 3800] {
        sleep(ms(after_ms).saturating_sub(started_at.elapsed()));
        let mut client = fixture.client();
        let commands: String =
            (0..3).map(|n| format!("mg k{n} v O{after_ms}.{n} Pc=read,t=acme,d=900\r\n")).collect();
        client.send(&commands);
        let responses = (0..3).filter(|_| {
            let line = client.read_line();
            if line.starts_with("VA ") {
                client.read_line();
            }
            !line.is_empty()
        });
        assert_eq!(responses.count(), 3, "{after_ms} ms after the call");
    }
}

/// Guards against a connection that never closes because its client sends without a pause.
#[test]
fn a_client_that_sends_without_a_pause_does_not_delay_the_close() {
    let fixture = ProxyFixture::with_backends(
        &[&StubServer::hit_node("v")],
        &StubServer::origin(|_| StubAction::Ignore),
    );
    let mut client = fixture.client();
    assert_eq!(client.request("mn\r\n"), "MN\r\n");
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200);
    let started_at = Instant::now();
    let stream = client.reader().get_ref().try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        while !client.read_line().is_empty() {}
        started_at.elapsed()
    });
    let commands = "mn\r\n".repeat(100);
    while started_at.elapsed() < Duration::from_secs(4) {
        if std::io::Write::write_all(&mut &stream, commands.as_bytes()).is_err() {
            break;
        }
    }
    assert!(reader.join().unwrap() < ms(4000), "the connection is closed within 4 s of the call");
}
