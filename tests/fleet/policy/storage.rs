//! Tests of voters that lose their process or disk, after which committed versions must stay
//! committed.

use super::*;

#[test]
fn a_fleet_killed_after_the_commit_restarts_with_the_new_version() {
    let (mut fleet, clients) = fleet_under_load(4, 3);
    propose_second(&fleet, 3);
    wait_for_outcome(&fleet, 3, "taken");
    clients.check();
    for member in 0..4 {
        fleet.kill(member);
    }
    fleet.start_together(&[0, 1, 2, 3]);
    fleet.wait_until("the version is active", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
}

#[test]
fn a_voter_with_a_lost_or_corrupt_disk_votes_again_and_knows_the_committed_version() {
    let (mut fleet, clients) = fleet_under_load(4, 3);
    propose_second(&fleet, 3);
    wait_for_outcome(&fleet, 3, "taken");
    for lost in [true, false] {
        fleet.kill(1);
        let killed_at = fleet.timeline.elapsed_ms();
        let file = fleet.state_dir(1).join("rulebook");
        if lost {
            std::fs::remove_dir_all(fleet.state_dir(1)).unwrap()
        } else {
            std::fs::write(&file, &std::fs::read(&file).unwrap()[..40]).unwrap()
        }
        fleet.start(1);
        fleet.wait_until("n1 votes", |fleet| {
            fleet.timeline.first_match("n1", "this founder votes", killed_at).is_some()
        });
        fleet.wait_until("n1 has the version", |fleet| all_have_version(fleet, &[1], 2));
    }
    let files = std::fs::read_dir(fleet.state_dir(1)).unwrap();
    assert!(files.flatten().any(|file| file.file_name().to_string_lossy().starts_with("rulebook.torn-")));
    // The clients are checked now, since they could not tell the third version from the first.
    clients.check();
    // Without n0 the vote of n1 is needed.
    fleet.kill(0);
    let (status, response) = propose(fleet.process(3).admin_address, "y", 2, &settings(&fleet, 1));
    assert_eq!(status, 202, "{response}");
    fleet.wait_until("the change is committed", |fleet| all_have_version(fleet, &[1, 2, 3], 3));
}

#[test]
fn a_voter_with_a_full_disk_does_not_vote_and_two_others_do() {
    let (fleet, clients) = fleet_under_load(4, 3);
    // The temporary file cannot be written, since a directory has its name.
    std::fs::create_dir(fleet.state_dir(2).join("rulebook.new")).unwrap();
    propose_second(&fleet, 3);
    wait_for_outcome(&fleet, 3, "taken");
    assert!(fleet.timeline.first_match("n2", "this founder cannot vote", 0).is_some());
    fleet.wait_until("all have the version", |fleet| all_have_version(fleet, &[0, 1, 2, 3], 2));
    clients.check();
}
