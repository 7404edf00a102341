//! Proxies without `fleet` in their configuration, and invalid values of it.

use crate::{nodes, origin};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::{call_admin, start_proxy, wait_for_exit};
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// Returns the files and sockets to which the open descriptors of a process refer.
fn descriptors(id: u32) -> Vec<String> {
    let links = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap();
    links.filter_map(|link| Some(std::fs::read_link(link.ok()?.path()).ok()?.display().to_string())).collect()
}

/// Returns the number of descriptors of a process that are UDP sockets.
fn datagram_socket_count(id: u32) -> usize {
    let table = std::fs::read_to_string("/proc/net/udp").unwrap();
    let inodes: BTreeSet<String> = table
        .lines()
        .skip(1)
        .filter_map(|line| Some(format!("socket:[{}]", line.split_whitespace().nth(9)?)))
        .collect();
    descriptors(id).iter().filter(|descriptor| inodes.contains(*descriptor)).count()
}

fn thread_count(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/task")).unwrap().count()
}

/// Guards against a proxy without a fleet that has a socket, thread or counter for one.
#[test]
fn a_proxy_without_a_fleet_has_no_socket_thread_or_counter_for_it() {
    let mut fleet = Fleet::new(Options::with_members(2), nodes(), origin());
    let mut without = fleet.config(0, &[]);
    without.as_object_mut().unwrap().remove("fleet");
    fleet.set_config(0, &without);
    for member in 0..2 {
        fleet.start(member);
    }
    let (off, on) = (fleet.process(0).id(), fleet.process(1).id());
    let settled = |fleet: &Fleet| {
        let counts = [off, on].map(|id| descriptors(id).len());
        std::thread::sleep(crate::ms(100));
        fleet.is_running(0) && counts == [off, on].map(|id| descriptors(id).len())
    };
    fleet.wait_until("connections to discovery and the admin server have settled", settled);
    assert_eq!((datagram_socket_count(off), datagram_socket_count(on)), (0, 1));
    assert_eq!(descriptors(on).len(), descriptors(off).len() + 1);
    assert_eq!(thread_count(on), thread_count(off));
    assert_eq!(call_admin(fleet.process(0).admin_address, "GET", "/control/fleet").0, 404);
    let stats = |member: usize| {
        let mut client = fleet.client(member);
        client.send("stats\r\n");
        std::iter::from_fn(|| Some(client.read_line()).filter(|line| line != "END\r\n"))
            .collect::<Vec<String>>()
    };
    assert!(stats(1).iter().any(|line| line.starts_with("STAT fleet_probes ")));
    assert!(stats(0).iter().all(|line| !line.contains("fleet")));
}

/// Guards against an invalid `fleet` section that becomes an error only when the section is needed,
/// instead of at the start.
#[test]
fn a_start_with_an_invalid_fleet_ends_with_one_line() {
    let fleet = Fleet::new(Options::with_members(2), nodes(), origin());
    let good = fleet.config(0, &[1]);
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        change(&mut config["fleet"]);
        config
    };
    let own = fleet.advertised_address(0).to_string();
    let bad: [(Value, &str); 15] = [
        (with(&|fleet| fleet["bind"] = json!("nowhere")), "fleet.bind"),
        (with(&|fleet| fleet["founders"] = json!([])), "founders: 0 seats"),
        (with(&|fleet| fleet["founders"] = json!([own, own])), "founders: 2 seats"),
        (
            with(&|fleet| (fleet["founders"], fleet["node_calls"]) = (json!([own]), json!(31))),
            "node_calls 31",
        ),
        (with(&|fleet| (fleet["founders"], fleet["call_ms"]) = (json!([own]), json!(900))), "call_ms 900"),
        (with(&|fleet| (fleet["founders"], fleet["vote_ms"]) = (json!([own]), json!(100))), "vote_ms 100"),
        (with(&|fleet| fleet["peers"] = json!(["n1"])), "fleet.peers"),
        (with(&|fleet| fleet["peers"] = json!([own])), "itself"),
        (with(&|fleet| fleet["size"] = json!(1)), "size 1"),
        (with(&|fleet| fleet["size"] = json!(5000)), "size 5000"),
        (with(&|fleet| fleet["name"] = json!("")), "fleet.name"),
        (with(&|fleet| fleet["period_ms"] = json!(1)), "period_ms 1"),
        (with(&|fleet| fleet["perio_ms"] = json!(500)), "unknown field"),
        (
            with(&|fleet| {
                fleet["bind"] = json!("0.0.0.0:7946");
                fleet.as_object_mut().unwrap().remove("advertise");
            }),
            "advertise",
        ),
        (
            with(&|fleet| {
                fleet.as_object_mut().unwrap().remove("size");
            }),
            "size",
        ),
    ];
    for (config, expected_text) in bad {
        let output = wait_for_exit(start_proxy(&config.to_string()));
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), log.lines().count()), (Some(2), 1), "{log}");
        assert!(
            log.starts_with("pinetrail: cannot start: ") && log.contains(expected_text),
            "{expected_text}: {log}"
        );
    }
    // An address in use.
    let occupied_socket = std::net::UdpSocket::bind(fleet.member_address(0)).unwrap();
    let output = wait_for_exit(start_proxy(&good.to_string()));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("fleet at "));
    drop(occupied_socket);
}

/// Guards against an example in the repository that is not a valid configuration.
#[test]
fn the_example_of_three_proxies_starts_and_joins() {
    let examples = [
        include_str!("../../deploy/fleet/n0.json"),
        include_str!("../../deploy/fleet/n1.json"),
        include_str!("../../deploy/fleet/n2.json"),
    ];
    let mut fleet = Fleet::new(Options::with_members(3), nodes(), origin());
    for (member, text) in examples.into_iter().enumerate() {
        let example: Value = serde_json::from_str(text).expect("the example is JSON");
        assert_eq!(example["fleet"]["peers"].as_array().unwrap().len(), 2);
        // Only the addresses differ from the example here.
        let mut config = fleet.config(member, &[0, 1, 2]);
        for key in ["name", "settings", "limits", "seed"] {
            config[key] = example[key].clone();
        }
        config["known"]["instances"] = json!([]);
        assert_eq!(example["fleet"]["founders"].as_array().unwrap().len(), 3);
        for key in ["size", "node_calls", "origin_calls"] {
            config["fleet"][key] = example["fleet"][key].clone();
        }
        let founders = [0, 1, 2].map(|founder| fleet.advertised_address(founder).to_string());
        config["fleet"]["founders"] = json!(founders);
        fleet.set_config(member, &config);
        fleet.start(member);
    }
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&[0, 1, 2]));
    let shares =
        |fleet: &Fleet, member: usize| fleet.report(member).unwrap().json["share"].as_f64().unwrap() > 0.2;
    fleet.wait_until("all have a lease", |fleet| [0, 1, 2].iter().all(|member| shares(fleet, *member)));
}
