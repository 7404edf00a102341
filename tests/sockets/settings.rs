//! Settings of other deployments: optional fields, limits of one, arbitrary names.

use crate::ms;
use pinetrail_test_harness::*;
use std::time::Instant;

/// Checks that a proxy serves a read and a write after these texts of its configuration are
/// replaced.
fn assert_serves(changes: &[(&str, &str)], read: &str, write: &str, tenant: &str) {
    let node = StubServer::hit_node("v");
    let origin = StubServer::origin(|_| http_200("r1"));
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let fixture = ProxyFixture::with_config_changes(&entries, changes);
    let mut client = fixture.client();
    let line = client.request(&format!("mg k v O1 Pc={read}{tenant},d=900\r\n"));
    assert_eq!((line.as_str(), client.read_line().as_str()), ("VA 1 O1\r\n", "v\r\n"), "{changes:?}");
    let line = client.request(&format!("ms k 2 O2 Pc={write}{tenant},d=900,k=5\r\nhi\r\n"));
    assert_eq!(line, "HD O2 cr1\r\n", "{changes:?}");
    let forwarded = origin.received().concat();
    assert!(
        forwarded.contains(&format!("X-Labels: c={write}{tenant},d=")),
        "the labels are forwarded unchanged: {forwarded}"
    );
}

/// Guards against a program that depends on the names and limits of one deployment.
#[test]
fn other_names_limits_of_one_and_absent_fields_are_served() {
    assert_serves(&[], "read", "put", ",t=acme");
    assert_serves(
        &[
            (r#""Name":"read""#, r#""Name":"zapytań=1""#),
            (r#""Name":"put""#, r#""Name":"書く""#),
            ("acme", "ł#/%"),
        ],
        "zapytań=1",
        "書く",
        ",t=ł#/%",
    );
    // No tenants, no zones and no machine type but the origin's: the endpoint list has a zone and a
    // machine type that the settings do not name.
    assert_serves(
        &[
            (r#""Orgs":[{"Name":"acme"}],"#, ""),
            (r#""Zones":["a"],"#, ""),
            (r#""Kinds":["c6","origin"]"#, r#""Kinds":["origin"]"#),
            (r#""OriginKind":1"#, r#""OriginKind":0"#),
            (r#","MustAskIn":10000.0"#, ""),
            (r#","Zone":0,"Tick":1.0"#, ""),
        ],
        "read",
        "put",
        "",
    );
    assert_serves(
        &[
            (r#""MaxAttempts":3"#, r#""MaxAttempts":1"#),
            (r#""RepeatWindow":5000.0"#, r#""RepeatWindow":1.0"#),
            (r#""MaxRetryAfter":2000.0"#, r#""MaxRetryAfter":0.0"#),
            (r#""ConnIdle":1500.0"#, r#""ConnIdle":1.0"#),
            (r#""GiveUp":1000.0"#, r#""GiveUp":150.0"#),
            (r#""Aim":400.0"#, r#""Aim":1.0"#),
            (r#""sockets":256"#, r#""sockets":64"#),
            (r#""memory_mb":192"#, r#""memory_mb":16"#),
            (r#""Zones":["a"]"#, r#""Zones":["b","c","a"]"#),
        ],
        "read",
        "put",
        ",t=acme",
    );
}

/// Guards against a request that hangs because its deadline is shorter than any timer.
#[test]
fn a_deadline_of_a_few_milliseconds_is_kept() {
    let node = StubServer::node(|_| StubAction::Ignore);
    let fixture = ProxyFixture::with_backends(&[&node], &StubServer::origin(|_| StubAction::Ignore));
    for (n, d) in [0, 1, 5, 30, 150].into_iter().enumerate() {
        let started_at = Instant::now();
        let line = fixture.client().request(&format!("mg k v O{n} Pc=read,t=acme,d={d}\r\n"));
        assert!(line.starts_with("SERVER_ERROR "), "{d}: {line}");
        assert!(started_at.elapsed() < ms(d + 400), "{d}: {:?}", started_at.elapsed());
    }
}
