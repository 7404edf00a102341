//! One policy for a fleet of real processes, with faults between them: judged by what clients were answered.

use crate::{ms, nodes, origin};
use pinetrail_rig::fleet::{Fleet, Options};
use pinetrail_rig::policy::{outcome, propose, settings, standing, Watch};
use std::time::Instant;

/// Members with one policy, of which the first ones found.
fn governed(members: usize, founders: usize) -> Fleet {
    let options = Options { founders: (0..founders).collect(), policy: true, ..Options::of(members) };
    Fleet::start_all(options, nodes(), origin())
}

fn has(fleet: &Fleet, members: &[usize], version: u64) -> bool {
    members.iter().all(|member| standing(fleet, *member) == (version, "steady".to_owned()))
}

/// Proposes the other policy at a member's door.
fn propose_second(fleet: &Fleet, member: usize) {
    let (status, said) = propose(fleet.process(member).door, "x", 1, &settings(fleet, 2));
    assert_eq!((status, said["version"].as_u64()), (202, Some(2)), "{said}");
}

#[test]
fn a_change_takes_hold_at_one_moment_everywhere() {
    let fleet = governed(4, 3);
    fleet.until("all have the first version", |fleet| has(fleet, &[0, 1, 2, 3], 1));
    let watch = Watch::all(&fleet);
    std::thread::sleep(ms(200));
    let begun = Instant::now();
    propose_second(&fleet, 3);
    fleet.until("all have the second", |fleet| has(fleet, &[0, 1, 2, 3], 2));
    assert!(begun.elapsed() < ms(5000));
    assert_eq!(outcome(&fleet, 3, "x"), "taken");
    // The same again changes nothing; what does not follow is refused.
    propose_second(&fleet, 0);
    assert_eq!(propose(fleet.process(1).door, "y", 1, &settings(&fleet, 1)).0, 409);
    assert_eq!(propose(fleet.process(1).door, "x", 2, &settings(&fleet, 1)).0, 409);
    std::thread::sleep(ms(200));
    let counts = watch.judged();
    assert!(counts[0].1 > 50 && counts[1].1 > 50, "{counts:?}");
}
