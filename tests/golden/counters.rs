//! Tests of the names of the counters in `stats` and of their order.

use crate::{compare, origin};
use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::{Client, StubServer};

/// Returns the names in `stats`; checks that each line has a name and a number.
fn names(mut client: Client) -> String {
    client.send("stats\r\n");
    let mut names = String::new();
    loop {
        let line = client.read_line();
        if line == "END\r\n" {
            return names;
        }
        let fields: Vec<&str> = line.trim_end_matches("\r\n").split(' ').collect();
        let [stat, name, number] = fields[..] else { panic!("{line:?}") };
        assert!(stat == "STAT" && number.parse::<u64>().is_ok(), "{line:?}");
        names += &format!("{name}\n");
    }
}

/// Starts a member with these options; returns the names in its `stats`.
fn stats_names(options: Options, has_fleet: bool) -> String {
    let mut fleet = Fleet::new(options, vec![StubServer::hit_node("v")], origin());
    if !has_fleet {
        let mut config = fleet.config(0, &[]);
        config.as_object_mut().unwrap().remove("fleet");
        fleet.set_config(0, &config);
    }
    fleet.start(0);
    names(fleet.client(0))
}

#[test]
fn stats_without_a_fleet_are_as_recorded() {
    let actual = stats_names(Options::with_members(1), false);
    compare("stats", include_str!("recorded/stats.txt"), &actual);
}

#[test]
fn stats_with_a_fleet_are_as_recorded() {
    let actual = stats_names(Options::with_members(2), true);
    compare("stats of a fleet", include_str!("recorded/stats_fleet.txt"), &actual);
}

#[test]
fn stats_with_founders_are_as_recorded() {
    let actual = stats_names(Options { founders: vec![0], ..Options::with_members(2) }, true);
    compare("stats with founders", include_str!("recorded/stats_founders.txt"), &actual);
}

#[test]
fn stats_with_a_policy_are_as_recorded() {
    let actual = stats_names(Options { founders: vec![0], policy: true, ..Options::with_members(1) }, true);
    compare("stats with a policy", include_str!("recorded/stats_policy.txt"), &actual);
}
