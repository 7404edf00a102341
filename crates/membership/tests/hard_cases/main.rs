//! Faults that a member must handle, each in simulated time with fixed seeds.

mod admission;
mod failure_detection;
mod joining;
mod names;
mod partitions;
mod pauses;
mod suspicions;

use pinetrail_membership::{Membership, Output, PartitionSide};
use pinetrail_simulation::fleet::Fleet;

/// The hosts of [`five_members`].
const ALL: [usize; 5] = [0, 1, 2, 3, 4];

/// Starts five members and waits until they know each other.
fn five_members(seed: u64) -> Fleet<Membership> {
    let mut fleet = Fleet::with_members(5, seed, &ALL);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "all members know each other");
    assert!(ALL.iter().all(|host| fleet.side(*host) == Some(PartitionSide::Whole)));
    fleet.observed.clear();
    fleet
}

/// Returns the datagrams among these outputs.
fn datagrams(outputs: &[Output]) -> Vec<Vec<u8>> {
    let datagrams = outputs.iter().filter_map(|output| match output {
        Output::Send(_, bytes) => Some(bytes.clone()),
        Output::MembershipEvent(_) | Output::QuotaMessage(_) | Output::DirectoryMessage(..) => None,
    });
    datagrams.collect()
}
