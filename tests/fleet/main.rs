//! Several real processes that know each other, and faults between them.

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

const ALL: [usize; 5] = [0, 1, 2, 3, 4];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn nodes() -> Vec<StubServer> {
    vec![StubServer::full_node("v"), StubServer::full_node("v")]
}

fn origin() -> StubServer {
    StubServer::origin(|_| http_200("v"))
}

/// Members that run and know each other.
fn met(options: Options) -> Fleet {
    let all: Vec<usize> = (0..options.members).collect();
    let fleet = Fleet::start_all(options, nodes(), origin());
    fleet.wait_until("they meet", |fleet| fleet.all_agree(&all));
    fleet
}

/// How often members said that others have failed.
fn failures(fleet: &Fleet) -> usize {
    fleet.timeline.to_string().lines().filter(|line| line.contains("-> failed")).count()
}
