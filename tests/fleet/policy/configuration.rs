//! The keys of `fleet.policy`, the effect of SIGHUP with a policy, and proxies without a policy.

use super::*;

#[test]
fn sighup_compares_with_the_policy_and_applies_nothing() {
    let (mut fleet, clients) = fleet_under_load(4, 3);
    let mut other = fleet.config(2, &[0, 1, 3]);
    other["settings"] = settings(&fleet, 2);
    other["listen"] = json!(fleet.process(2).client_address.to_string());
    fleet.set_config(2, &other);
    fleet.process(2).signal("HUP");
    fleet.wait_until("n2 logs where to propose the change", |fleet| {
        fleet.timeline.first_match("n2", "propose them by POST /control/policy", 0).is_some()
    });
    std::thread::sleep(ms(100));
    assert_eq!(clients.check()[1].1, 0, "no request is decided by the second version");
    assert_eq!(get_json(fleet.process(2).admin_address, "/control/policy")["version"], 1);
}

/// Guards against a reload that is lost while a process waits for the policy at its start.
#[test]
fn sighup_during_the_catch_up_is_handled_after_it() {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    let starting_process = fleet.start_process(0);
    fleet.wait_until("n0 has started", |fleet| fleet.timeline.first_match("n0", " call ", 0).is_some());
    std::thread::sleep(ms(300));
    starting_process.signal("HUP");
    std::thread::sleep(ms(300));
    let is_reloaded = |fleet: &Fleet| fleet.timeline.first_match("n0", "reload: ", 0).is_some();
    assert!(!is_reloaded(&fleet), "the reload waits for a majority");

    fleet.start_together(&[1, 2]);
    let _ready = fleet.wait_until_ready(0, starting_process);

    fleet.wait_until("the reload is handled", is_reloaded);
}

/// Guards against an invalid `fleet.policy` section that becomes an error only when the policy is
/// needed, instead of at the start.
#[test]
fn a_start_with_an_invalid_policy_ends_with_one_line() {
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let fleet = Fleet::new(options, nodes(), origin());
    let good = fleet.config(0, &[1]);
    let with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut config = good.clone();
        change(&mut config["fleet"]);
        config
    };
    let bad = [
        (with(&|fleet| fleet["policy"]["permitms"] = json!(5)), "nearest known one is \"permit_ms\""),
        (
            with(&|fleet| {
                fleet["policy"].as_object_mut().unwrap().remove("state_dir");
            }),
            "state_dir",
        ),
        (
            with(&|fleet| {
                fleet.as_object_mut().unwrap().remove("founders");
            }),
            "fleet.founders is missing",
        ),
        (with(&|fleet| fleet["policy"]["permit_ms"] = json!(100)), "permit_ms"),
        (with(&|fleet| fleet["policy"]["hold_ms"] = json!(5000)), "hold_ms"),
        (with(&|fleet| fleet["policy"]["when_cut"] = json!("hope")), "when_cut"),
        (with(&|fleet| fleet["polcy"] = json!({})), "polcy"),
        (with(&|fleet| fleet["size"] = json!(200)), "limits.sockets"),
    ];
    for (config, expected_text) in bad {
        let output =
            pinetrail_test_harness::wait_for_exit(pinetrail_test_harness::start_proxy(&config.to_string()));
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), log.lines().count()), (Some(2), 1), "{log}");
        assert!(log.contains(expected_text), "{expected_text}: {log}");
    }
}

#[test]
fn without_a_policy_a_fleet_has_no_thread_and_no_socket_for_it() {
    let options = Options { founders: vec![0], policy: true, ..Options::with_members(2) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    let mut without = fleet.config(1, &[0]);
    without["fleet"].as_object_mut().unwrap().remove("policy");
    fleet.set_config(1, &without);
    fleet.start_together(&[0, 1]);
    let threads = |member: usize| {
        let path = format!("/proc/{}/task", fleet.process(member).id());
        std::fs::read_dir(path).unwrap().count()
    };
    assert_eq!(threads(0), threads(1) + 1, "the thread of peer transport and consensus");
    assert_eq!(call_admin(fleet.process(1).admin_address, "GET", "/control/policy").0, 404);
    assert_eq!(call_admin(fleet.process(1).admin_address, "GET", "/control/drift").0, 404);
    let mut client = fleet.client(1);
    client.send("stats\r\n");
    let lines = std::iter::from_fn(|| Some(client.read_line()).filter(|line| line != "END\r\n"));
    assert!(lines.into_iter().all(|line| !line.contains("policy")));
}

/// Guards against an example in the repository that is not a valid configuration.
#[test]
fn the_example_of_three_proxies_with_one_policy_starts() {
    let examples = [
        include_str!("../../../deploy/fleet/policy/n0.json"),
        include_str!("../../../deploy/fleet/policy/n1.json"),
        include_str!("../../../deploy/fleet/policy/n2.json"),
    ];
    let options = Options { founders: vec![0, 1, 2], policy: true, ..Options::with_members(3) };
    let mut fleet = Fleet::new(options, nodes(), origin());
    for (member, text) in examples.into_iter().enumerate() {
        let example: serde_json::Value = serde_json::from_str(text).unwrap();
        // Only the addresses and the state directory differ from the example here.
        let mut config = fleet.config(member, &[0, 1, 2]);
        for key in ["name", "settings", "limits", "seed"] {
            config[key] = example[key].clone();
        }
        config["known"]["instances"] = json!([]);
        let example_policy = config["fleet"]["policy"].clone();
        let mut policy = example["fleet"]["policy"].clone();
        for key in ["bind", "advertise", "state_dir"] {
            policy[key] = example_policy[key].clone();
        }
        config["fleet"]["policy"] = policy;
        config["fleet"]["size"] = example["fleet"]["size"].clone();
        config["fleet"]["call_ms"] = json!(2500);
        fleet.set_config(member, &config);
    }
    fleet.start_together(&[0, 1, 2]);
    fleet.wait_until("all agree", |fleet| all_have_version(fleet, &[0, 1, 2], 1));
}
