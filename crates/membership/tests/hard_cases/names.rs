//! A name that moves to another address, returns, or is used by two processes; in simulated time
//! with fixed seeds.

use crate::{datagrams, five_members, ALL};
use pinetrail_membership::{
    MemberState, Membership, MembershipEvent, NameConflict, NameHolder, PartitionSide, Settings,
};
use pinetrail_simulation::fleet::{host_address, member_settings, Fleet, ObservedEvent};
use std::time::Duration;

/// The time between two calls to `handle_timeout` of a member whose datagrams are recorded.
const STEP: Duration = Duration::from_millis(10);

/// Guards against members that keep sending to the former address of a member.
#[test]
fn a_member_may_return_at_another_address() {
    let mut fleet: Fleet<Membership> = Fleet::new(6, 3);
    for host in &ALL {
        fleet.start_member(*host, 5, &ALL);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    fleet.kill(2);
    let moved = Settings { advertise: host_address(5), ..member_settings(2, 5, &[0, 1]) };
    fleet.start_member_with(5, moved);
    let is_at_new_address = |fleet: &Fleet<Membership>| {
        [0, 1, 3, 4].iter().all(|host| {
            let record = fleet.record_seen_by(*host, "n0002");
            record
                .is_some_and(|record| record.address == host_address(5) && record.state == MemberState::Alive)
        })
    };
    assert!(fleet.run_until(5_000, is_at_new_address));
    fleet.run(20_000);
    assert!(is_at_new_address(&fleet));
    assert_eq!(fleet.side(0), Some(PartitionSide::Whole), "the former address does not count as a member");
}

/// Guards against accepting late datagrams of a process that has ended and whose name another
/// process has.
#[test]
fn late_datagrams_of_an_earlier_process_of_the_name_change_nothing() {
    let mut fleet = five_members(11);
    let mut late = Vec::new();
    fleet.act(2, |member, now, out| {
        let mut outputs = Vec::new();
        for step in 0..60 {
            member.handle_timeout(now + STEP * step, &mut outputs);
        }
        late.extend(datagrams(&outputs));
        out.extend(outputs);
    });
    assert!(!late.is_empty());
    fleet.kill(2);
    fleet.run(500);
    fleet.start_member(2, 5, &ALL);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    let start = fleet.record_seen_by(0, "n0002").unwrap().start;
    fleet.observed.clear();
    for host in [0, 1, 3, 4] {
        for bytes in &late {
            fleet.act(host, |member, now, out| member.handle_datagram(now, host_address(2), bytes, out));
        }
    }
    fleet.run(10_000);
    assert!(fleet.all_agree(&ALL));
    assert_eq!(fleet.record_seen_by(0, "n0002").unwrap().start, start);
    assert!(fleet.observed.is_empty(), "{:?}", fleet.observed);
}

/// Guards against two processes that alternate as the holder of one name, and against a name
/// conflict that is not reported.
#[test]
fn two_processes_of_one_name_both_report_it_and_no_member_changes_state() {
    let mut fleet: Fleet<Membership> = Fleet::new(6, 5);
    for host in &ALL {
        fleet.start_member(*host, 6, &ALL);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    let duplicate = Settings { advertise: host_address(5), ..member_settings(2, 6, &[0, 1]) };
    fleet.start_member_with(5, duplicate);
    fleet.run(10_000);
    assert_eq!(
        fleet.member(2).unwrap().name_conflict(),
        Some(NameConflict { other: host_address(5), holder: NameHolder::OtherProcess }),
        "the earlier process reports the conflict"
    );
    assert_eq!(
        fleet.member(5).unwrap().name_conflict(),
        Some(NameConflict { other: host_address(2), holder: NameHolder::ThisProcess }),
        "the later process reports the conflict"
    );
    assert_eq!(fleet.side(2), Some(PartitionSide::Alone));
    fleet.observed.clear();
    fleet.run(60_000);
    let is_about_member =
        |observed: &&ObservedEvent| matches!(observed.event, MembershipEvent::MemberChanged { .. });
    assert_eq!(fleet.observed.iter().filter(is_about_member).count(), 0, "{:?}", fleet.observed);
    // Once the later process has ended, the earlier one rejoins.
    fleet.kill(5);
    let is_back = |fleet: &Fleet<Membership>| {
        let address_at = |host: &usize| fleet.record_seen_by(*host, "n0002").unwrap().address;
        fleet.member(2).unwrap().name_conflict().is_none()
            && [0, 1, 3, 4].iter().all(|host| address_at(host) == host_address(2))
            && fleet.all_agree(&ALL)
    };
    assert!(fleet.run_until(20_000, is_back));
}
