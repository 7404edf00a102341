//! Tests of failed starts: the program logs one line with the reason and exits with code 2.

use crate::compare;
use pinetrail_test_harness::{config, endpoint_list_json, start_proxy, StubServer, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Waits until the program has exited with code 2 and a log of one line; returns the line under a
/// title.
fn failed_output(title: &str, mut child: Child) -> String {
    let until = Instant::now() + WAIT_TIMEOUT;
    while child.try_wait().expect("the child can be polled").is_none() {
        if Instant::now() >= until {
            child.kill().and_then(|()| child.wait()).expect("the child can be killed");
            panic!("{title}: the program did not exit in time");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let output = child.wait_with_output().expect("the output of the child can be read");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!((output.status.code(), log.lines().count()), (Some(2), 1), "{title}: {log}");
    assert!(output.stdout.is_empty() && log.ends_with('\n'), "{title}: {log}");
    format!("# {title}\n{log}")
}

fn failed_start(title: &str, config: &str) -> String {
    failed_output(title, start_proxy(config))
}

fn valid_config() -> String {
    config("127.0.0.1:0", "127.0.0.1:1", 256, "{}")
}

/// Returns the output of starts with a valid configuration in which one text is replaced.
fn failed_starts_with(changes: &[(&str, &str)]) -> String {
    let valid = valid_config();
    let output_with = |(from, to): &(&str, &str)| {
        let bad = valid.replacen(from, to, 1);
        assert_ne!(bad, valid, "{from} is not in the configuration");
        failed_start(&format!("{from} -> {to}"), &bad)
    };
    changes.iter().map(output_with).collect()
}

#[test]
fn an_invalid_file_ends_the_start_as_recorded() {
    let run = |path: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pinetrail"));
        command.env_remove("LB_CONFIG").stdout(Stdio::piped()).stderr(Stdio::piped());
        if let Some(path) = path {
            _ = command.env("LB_CONFIG", path);
        }
        command.spawn().expect("the program starts")
    };
    let mut actual = failed_output("LB_CONFIG unset", run(None));
    actual += &failed_output("no such file", run(Some("absent/none.json")));
    actual += &failed_start("an empty file", "");
    actual += &failed_start("half an object", "{");
    actual += &failed_start("an array", "[]");
    actual += &failed_start("an empty object", "{}");
    compare("files", include_str!("recorded/start_files.txt"), &actual);
}

#[test]
fn an_invalid_key_or_value_ends_the_start_as_recorded() {
    let actual = failed_starts_with(&[
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
        (r#""discovery":"127.0.0.1:1""#, r#""discovery":"there""#),
        ("8c1f30d27a5be964", "seed"),
        (r#""sockets":256"#, r#""sockets":3"#),
        (r#""memory_mb":192"#, r#""memory_mb":-1"#),
        (r#""memory_mb":192"#, r#""memory_mb":1"#),
        (r#""Grades""#, r#""Grates""#),
        (r#""Aim":400.0"#, r#""Aim":"soon""#),
        (r#""Aim":400.0,"#, ""),
        (r#""Aim":400.0"#, r#""Aim":0"#),
        (r#""GiveUp":1000.0"#, r#""GiveUp":-1"#),
        (r#""Semantics":"safe""#, r#""Semantics":"sage""#),
        (r#""RepeatWindow":5000.0"#, r#""RepeatWindow":-1"#),
        (r#""Name":"put""#, r#""Name":"read""#),
        (r#""Tick":1.0"#, r#""Tick":0"#),
        (r#""MaxAttempts":3"#, r#""MaxAttempts":0"#),
        (r#""MaxAttempts":3"#, r#""MaxAttempts":256"#),
        (r#""ConnectTimeout":250.0"#, r#""ConnectTimeout":1e300"#),
        (r#""Cold":9000.0"#, r#""Chilly":9000.0"#),
    ]);
    compare("values", include_str!("recorded/start_values.txt"), &actual);
}

#[test]
fn an_invalid_endpoint_list_ends_the_start_as_recorded() {
    let unreachable = || StubServer::unreachable();
    let origin = unreachable().entry("o", "origin", "ready");
    let node = unreachable().entry("s-0", "c6", "ready");
    let bad = [
        ("given twice", vec![node.clone(), node.clone(), origin.clone()]),
        ("without the origin", vec![node.clone()]),
        ("unknown lifecycle", vec![node.replace("ready", "asleep"), origin.clone()]),
        ("bad weight", vec![origin.clone(), node.replace(":1.0", ":-1.0")]),
        ("bad start", vec![origin.clone(), node.replace("Ms\":0", "Ms\":-5")]),
        ("bad address", vec![origin, node.replace("127.0.0.1:1", "there")]),
        ("no address", vec![r#"{"instanceId":"s-0","lifecycle":"ready"}"#.to_owned()]),
    ];
    let outputs = bad.map(|(title, entries)| {
        let known = endpoint_list_json(1, true, &entries);
        failed_start(title, &config("127.0.0.1:0", "127.0.0.1:1", 256, &known))
    });
    compare("lists", include_str!("recorded/start_lists.txt"), &outputs.concat());
}

/// A change to the `fleet` object of a configuration.
type Change = fn(&mut Value);

#[test]
fn an_invalid_fleet_or_policy_ends_the_start_as_recorded() {
    let mut valid: Value = serde_json::from_str(&valid_config()).unwrap();
    valid["fleet"] = json!({
        "name": "gdynia",
        "bind": "127.0.0.1:7946",
        "peers": ["127.0.0.2:7946"],
        "size": 16,
        "founders": ["127.0.0.1:7946", "127.0.0.2:7946", "127.0.0.3:7946"],
        "policy": {"bind": "127.0.0.1:7947", "state_dir": "absent"},
    });
    let bad: [(&str, Change); 15] = [
        ("bind", |fleet| fleet["bind"] = json!("nowhere")),
        ("no size", |fleet| {
            fleet.as_object_mut().unwrap().remove("size");
        }),
        ("size 1", |fleet| fleet["size"] = json!(1)),
        ("size 5000", |fleet| fleet["size"] = json!(5000)),
        ("no name", |fleet| fleet["name"] = json!("")),
        ("a peer by name", |fleet| fleet["peers"] = json!(["n1"])),
        ("itself a peer", |fleet| fleet["peers"] = json!(["127.0.0.1:7946"])),
        ("unknown field", |fleet| fleet["perio_ms"] = json!(500)),
        ("period", |fleet| fleet["period_ms"] = json!(1)),
        ("a founder twice", |fleet| fleet["founders"][2] = json!("127.0.0.1:7946")),
        ("policy alone", |fleet| {
            fleet.as_object_mut().unwrap().remove("founders");
        }),
        ("no folder", |fleet| {
            fleet["policy"].as_object_mut().unwrap().remove("state_dir");
        }),
        ("a slip", |fleet| fleet["policy"]["permitms"] = json!(5)),
        ("a short permit", |fleet| fleet["policy"]["permit_ms"] = json!(100)),
        ("cut", |fleet| fleet["policy"]["when_cut"] = json!("hope")),
    ];
    let outputs = bad.map(|(title, change)| {
        let mut config = valid.clone();
        change(&mut config["fleet"]);
        failed_start(title, &config.to_string())
    });
    compare("fleets", include_str!("recorded/start_fleets.txt"), &outputs.concat());
}
