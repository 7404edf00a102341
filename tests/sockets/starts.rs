//! Starts, and many client connections, while discovery is down.

use crate::ms;
use pinetrail_test_harness::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Time within which a started process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a start that waits for discovery, which refuses connections, does not accept
/// them, or hangs.
#[test]
fn processes_started_together_are_ready_without_discovery() {
    let node = StubServer::hit_node("v");
    let (mut closed, hanging) = (AcceptBarrier::new(), TcpListener::bind("127.0.0.1:0").unwrap());
    closed.close();
    let addresses =
        ["127.0.0.1:1".to_owned(), closed.address.to_string(), hanging.local_addr().unwrap().to_string()];
    let entries = [node.entry("s-0", "c6", "ready"), node.entry("o", "origin", "ready")];
    let started_at = Instant::now();
    let processes: Vec<_> = (0..12)
        .map(|n| {
            let listen = format!("127.0.0.1:{}", free_port());
            let text = config(&listen, &addresses[n % 3], 256, &endpoint_list_json(1, true, &entries));
            (start_proxy(&text), listen.parse().unwrap())
        })
        .collect();
    for (_, address) in &processes {
        let until = started_at + READY_TIMEOUT;
        while Client::try_connect(*address)
            .is_none_or(|mut client| !client.try_send("mn\r\n") || client.read_line() != "MN\r\n")
        {
            assert!(Instant::now() < until, "{address} was not ready within {READY_TIMEOUT:?}");
            std::thread::sleep(ms(20));
        }
    }
    for (child, address) in processes {
        assert_eq!(Client::connect(address).get("k", "1", 900).1, "v\r\n");
        signal(&child, "TERM");
        assert!(wait_for_exit(child).status.success());
    }
}

/// Returns a port that is free at the moment.
fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// Guards against idle clients that occupy the descriptors of discovery, nodes and the admin
/// server: they connect while discovery is down, with more connections than there are descriptors.
#[test]
fn idle_clients_do_not_keep_the_watch_from_coming_back() {
    let node = StubServer::hit_node("v");
    let entries = [node.entry("s-0", "c6", "ready"), node.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_sockets(&entries, 64);
    let down_address = format!("127.0.0.1:{}", free_port());
    fixture.reload(&fixture.discovery.address.to_string(), &down_address);
    fixture.wait_until("the watch is lost", || fixture.counter("watches_failed") > 0);
    let mut first = fixture.client();
    assert_eq!(first.get("k", "1", 900).1, "v\r\n");
    // Connections beyond the descriptors wait to be accepted.
    let mut idle: Vec<Client> = (0..100).map(|_| fixture.client()).collect();
    for client in &mut idle {
        client.send("mn\r\n");
    }
    let restored = TcpListener::bind(&down_address).unwrap();
    let started_at = Instant::now();
    restored.set_nonblocking(true).unwrap();
    while restored.accept().is_err() {
        assert!(
            started_at.elapsed() < Duration::from_secs(6),
            "discovery is reachable again, but not polled"
        );
        std::thread::sleep(ms(5));
    }
    assert_eq!(call_admin(fixture.admin_address, "GET", "/control/ready").0, 200);
    // The first connection may have been evicted.
    let response = fixture.client().get("k", "2", 2000).1;
    assert_eq!(response, "v\r\n");
}

#[test]
fn a_failed_start_ends_with_one_line() {
    let good = config("127.0.0.1:0", "127.0.0.1:1", 256, "{}");
    let node = |name: &str, lifecycle: &str, weight: &str, started: &str| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:1","machineType":"c6","lifecycle":"{lifecycle}","weight":{weight},"startedAtMs":{started}}}"#
        )
    };
    let origin = || node("o", "ready", "1.0", "0").replace("c6", "origin");
    let with_known =
        |entries: &[String]| config("127.0.0.1:0", "127.0.0.1:1", 256, &endpoint_list_json(1, true, entries));
    let bad = [
        ("{".to_owned(), "EOF"),
        (good.replace(r#""listen":"127.0.0.1:0""#, r#""listen":"here""#), "listen"),
        (good.replace("8c1f30d27a5be964", "seed"), "seed"),
        (good.replace(r#""sockets":256"#, r#""sockets":3"#), "sockets"),
        (good.replace(r#""Grades""#, r#""Grates""#), "Grades"),
        (
            good.replacen(r#""Aim":400.0"#, r#""Aim":"soon""#, 1),
            r#"settings.Grades[0].Aim: invalid type: string "soon", expected"#,
        ),
        (good.replacen(r#""Aim":400.0,"#, "", 1), "settings.Grades[0]: missing field `Aim`"),
        (good.replace(r#""Tick":1.0"#, r#""Tick":0"#), r#"settings.Tick "0" is not given and above 0"#),
        (
            good.replace(r#""memory_mb":192"#, r#""memory_mb":-1"#),
            "limits.memory_mb: invalid value: integer `-1`",
        ),
        (
            good.replace(r#""MaxAttempts":3"#, r#""MaxAttempts":256"#),
            r#"settings.Permissions.MaxAttempts "256""#,
        ),
        // Too large for a `Duration`: the conversion would panic at a start and at a reload.
        (good.replace(r#""ConnectTimeout":250.0"#, r#""ConnectTimeout":1e300"#), "ConnectTimeout"),
        (
            with_known(&[node("s-0", "ready", "1.0", "0"), node("s-0", "ready", "1.0", "0"), origin()]),
            "given once",
        ),
        (with_known(&[node("s-0", "ready", "1.0", "0")]), "with the origin"),
        (with_known(&[node("s-0", "asleep", "1.0", "0"), origin()]), "known.instances[0].lifecycle"),
        (with_known(&[origin(), node("s-0", "ready", "-1.0", "0")]), "known.instances[1].weight"),
        (with_known(&[origin(), node("s-0", "ready", "1e300", "0")]), "known.instances[1].weight"),
        (with_known(&[origin(), node("s-0", "ready", "1.0", "-5")]), "known.instances[1].startedAtMs"),
        (
            with_known(&[origin(), node("s-0", "ready", "1.0", "0").replace("127.0.0.1:1", "there")]),
            "hostPort",
        ),
        (with_known(&[r#"{"instanceId":"s-0","lifecycle":"ready"}"#.to_owned()]), "hostPort"),
    ];
    for (text, expected_text) in bad {
        let output = wait_for_exit(start_proxy(&text));
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), log.lines().count()), (Some(2), 1), "{log}");
        assert!(log.starts_with("pinetrail: cannot start: ") && log.contains(expected_text), "{log}");
    }
}
