//! Fleets of real processes, and faults between their members.

mod drift;
mod faults;
mod off;
mod operators;
mod policy;
mod quota;
mod upgrades;

use pinetrail_test_harness::fleet::{Fleet, Options};
use pinetrail_test_harness::{http_200, StubServer};
use std::time::Duration;

/// The members of a fleet of five.
const ALL: [usize; 5] = [0, 1, 2, 3, 4];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts two cache nodes that have every key.
fn nodes() -> Vec<StubServer> {
    vec![StubServer::hit_node("v"), StubServer::hit_node("v")]
}

/// Starts an origin that serves every request.
fn origin() -> StubServer {
    StubServer::origin(|_| http_200("v"))
}

/// Starts a fleet and waits until all members agree on the membership.
fn joined_fleet(options: Options) -> Fleet {
    let all: Vec<usize> = (0..options.members).collect();
    let fleet = Fleet::start_all(options, nodes(), origin());
    fleet.wait_until("all have joined", |fleet| fleet.all_agree(&all));
    fleet
}

/// Returns the number of log lines in which a member reports another as failed.
fn failure_report_count(fleet: &Fleet) -> usize {
    fleet.timeline.to_string().lines().filter(|line| line.contains("-> failed")).count()
}
