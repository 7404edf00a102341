//! What is hard for a membership, each in simulated time with fixed seeds.

use pinetrail_membership::{Membership, MembershipEvent, Output, PartitionSide, State};
use pinetrail_simulation::fleet::{host_address, member_settings, Fleet, BRIEF_PAUSES};

const ALL: [usize; 5] = [0, 1, 2, 3, 4];

/// Five members that know each other.
fn five(seed: u64) -> Fleet<Membership> {
    let mut fleet = Fleet::with_members(5, seed, &ALL);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "they meet");
    assert!(ALL.iter().all(|host| fleet.side(*host) == Some(PartitionSide::Whole)));
    fleet.observed.clear();
    fleet
}

/// The times at which all the others knew that a host has failed, counted from now.
fn known_to_all_within(fleet: &mut Fleet<Membership>, dead: usize, at_most: u64) -> Option<u64> {
    let begun = fleet.now();
    let others: Vec<usize> = ALL.into_iter().filter(|host| *host != dead).collect();
    let known = |fleet: &Fleet<Membership>| {
        others.iter().all(|host| fleet.state_seen_by(*host, dead) == Some(State::Failed))
    };
    fleet.run_until(at_most, known).then(|| fleet.now() - begun)
}

#[test]
fn a_death_is_known_to_all_in_time_and_a_return_as_well() {
    for seed in 0..20 {
        let mut fleet = five(seed);
        fleet.kill(2);
        let took = known_to_all_within(&mut fleet, 2, 10_000).expect("all know");
        assert!(took <= 3_000, "seed {seed}: {took} ms");
        assert_eq!(fleet.side(0), Some(PartitionSide::Majority));
        // It returns with only the list of its peers, under its name.
        fleet.start_member(2, 5, &ALL);
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
        assert_eq!(fleet.side(0), Some(PartitionSide::Whole));
    }
}

/// Guards against a member whose process stands still a little, taken for failed.
#[test]
fn a_member_that_is_stopped_for_450_ms_again_and_again_never_fails() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        for _ in 0..60 {
            fleet.pause(1);
            fleet.run(450);
            fleet.resume(1);
            fleet.run(100 + seed * 30);
        }
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
    }
}

/// Guards against a process that wakes, finds every wait of its own over and takes all the others for failed.
#[test]
fn a_member_that_was_stopped_for_10_s_takes_nobody_for_failed_and_comes_back() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        // It has just begun to suspect somebody: the wait for the objection passes while it is stopped.
        fleet.network.cut_into(&[&[1], &[0, 2, 3, 4]]);
        assert!(fleet.run_until(4_000, |fleet| ALL
            .iter()
            .any(|of| fleet.state_seen_by(1, *of) == Some(State::Suspect))));
        fleet.pause(1);
        fleet.network.heal();
        assert!(fleet.run_until(10_000, |fleet| fleet.state_seen_by(0, 1) == Some(State::Failed)));
        fleet.run(10_000);
        fleet.observed.clear();
        fleet.resume(1);
        assert!(fleet.run_until(6_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
        assert!(fleet
            .observed
            .iter()
            .any(|heard| heard.host == 1 && matches!(heard.event, MembershipEvent::Paused(_))));
        let wrong = |heard: &&pinetrail_simulation::fleet::ObservedEvent| {
            heard.host == 1
                && matches!(&heard.event, MembershipEvent::Member { entry, .. } if entry.state == State::Failed)
        };
        assert_eq!(fleet.observed.iter().filter(wrong).count(), 0, "seed {seed}");
    }
}

/// Guards against a process that wakes and takes its own absence for the silence of others.
#[test]
fn a_member_that_was_stopped_suspects_nobody_for_what_it_slept_through() {
    for after in 0..100 {
        let mut fleet = five(after);
        fleet.run(after * 7);
        fleet.pause(1);
        fleet.run(1_500);
        fleet.observed.clear();
        fleet.resume(1);
        fleet.run(1_500);
        let suspected = |heard: &&pinetrail_simulation::fleet::ObservedEvent| {
            heard.host == 1
                && matches!(&heard.event, MembershipEvent::Member { entry, .. } if entry.state == State::Suspect)
        };
        assert_eq!(fleet.observed.iter().find(suspected), None, "stopped after {after}");
    }
}

/// Guards against a suspicion that ends in the moment in which its holder wakes: nobody could have objected.
#[test]
fn whenever_a_member_is_stopped_its_suspicions_leave_time_to_object() {
    let mut stopped = 0;
    for after in (0..1_500).step_by(10) {
        let mut fleet = five(3);
        for to in [0, 2, 3, 4].iter() {
            fleet.network.cut(1, *to);
        }
        let suspects = |fleet: &Fleet<Membership>| {
            ALL.iter().any(|of| fleet.state_seen_by(1, *of) == Some(State::Suspect))
        };
        assert!(fleet.run_until(4_000, suspects));
        fleet.run(after);
        if ALL.iter().any(|of| fleet.state_seen_by(1, *of) == Some(State::Failed)) {
            break;
        }
        stopped += 1;
        fleet.pause(1);
        fleet.network.heal();
        fleet.run(2_000);
        fleet.observed.clear();
        fleet.resume(1);
        fleet.run(4_000);
        let failed = |heard: &&pinetrail_simulation::fleet::ObservedEvent| {
            heard.host == 1
                && matches!(&heard.event, MembershipEvent::Member { entry, .. } if entry.state == State::Failed)
        };
        assert_eq!(fleet.observed.iter().find(failed), None, "stopped after {after} ms");
    }
    assert!(stopped > 50, "up to the end of the suspicion: {stopped}");
}

#[test]
fn a_way_that_is_cut_in_one_direction_fails_nobody() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        fleet.network.cut(0, 1);
        fleet.run(60_000);
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
        assert!(fleet.all_agree(&ALL) || fleet.run_until(3_000, |fleet| fleet.all_agree(&ALL)));
    }
}

/// Guards against two sides that never find each other again, and against lists that differ after the heal.
#[test]
fn a_cut_into_three_and_two_is_seen_on_both_sides_and_heals_without_a_restart() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        fleet.network.cut_into(&[&[0, 1, 2], &[3, 4]]);
        assert!(
            fleet.run_until(8_000, |fleet| fleet.all_agree(&[0, 1, 2]) && fleet.all_agree(&[3, 4])),
            "seed {seed}"
        );
        let sides: Vec<Option<PartitionSide>> = ALL.iter().map(|host| fleet.side(*host)).collect();
        let (majority, minority) = (Some(PartitionSide::Majority), Some(PartitionSide::Minority));
        assert_eq!(sides, [majority, majority, majority, minority, minority]);
        // One of each side restarts meanwhile, and knows its peers only.
        for host in [0, 4] {
            fleet.kill(host);
            fleet.run(500);
            fleet.start_member(host, 5, &ALL);
        }
        fleet.run(20_000);
        // Its list begins with the addresses that it was told: it must not pass for a whole fleet.
        assert_eq!((fleet.side(0), fleet.side(4)), (majority, minority), "seed {seed}");
        fleet.network.heal();
        assert!(fleet.run_until(10_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
        assert!(ALL.iter().all(|host| fleet.side(*host) == Some(PartitionSide::Whole)));
    }
}

/// Guards against a cut that lasts until both sides have forgotten each other.
#[test]
fn a_cut_that_outlasts_all_memory_heals_by_the_peers() {
    let mut fleet: Fleet<Membership> = Fleet::new(4, 7);
    for host in 0..4 {
        let mut settings = member_settings(host, 4, &[0, 1, 2, 3]);
        settings.times.forget = 5_000;
        fleet.start_member_with(host, settings);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
    fleet.network.cut_into(&[&[0, 1], &[2, 3]]);
    fleet.run(30_000);
    assert!(fleet.observed.iter().any(|heard| matches!(heard.event, MembershipEvent::Forgotten(_))));
    assert_eq!(fleet.record_seen_by(0, "n0003"), None);
    fleet.network.heal();
    assert!(fleet.run_until(10_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
}

#[test]
fn all_that_restart_at_once_find_each_other_by_their_peers_alone() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        for host in &ALL {
            fleet.kill(*host);
        }
        fleet.run(100);
        for host in &ALL {
            fleet.start_member(*host, 5, &ALL);
        }
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
    }
}

/// Guards against a fleet that hangs on the one member that everybody was told of.
#[test]
fn the_one_peer_that_all_join_by_may_be_dead() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_members(5, seed, &[0]);
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
        fleet.kill(0);
        fleet.run(10_000);
        assert!(fleet.all_agree(&[1, 2, 3, 4]), "seed {seed}");
        // One that starts now reaches nobody by itself: those that took it for failed ask it again.
        fleet.kill(4);
        fleet.run(6_000);
        fleet.start_member(4, 5, &[0]);
        assert!(fleet.run_until(8_000, |fleet| fleet.all_agree(&[1, 2, 3, 4])), "seed {seed}");
        assert_eq!(fleet.side(4), Some(PartitionSide::Majority), "its peer is missing");
        fleet.start_member(0, 5, &[1]);
        assert!(fleet.run_until(8_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}");
    }
}

#[test]
fn a_loss_of_five_in_a_hundred_fails_nobody() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        fleet.network.loss = 0.05;
        fleet.pauses = Some(BRIEF_PAUSES);
        fleet.run(300_000);
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
    }
}

#[test]
fn duplicates_damage_and_disorder_fail_nobody() {
    for seed in 0..10 {
        let mut fleet = five(seed);
        fleet.network.duplication = 0.2;
        fleet.network.corruption = 0.02;
        fleet.network.delay = (1, 80);
        fleet.run(120_000);
        assert_eq!(fleet.false_failures(), 0, "seed {seed}");
        assert!(fleet.counts(0).dropped_spoilt > 0);
    }
}

/// Guards against a member that is reached no more since its list has the address that it had before.
#[test]
fn a_name_may_return_at_another_address() {
    let mut fleet: Fleet<Membership> = Fleet::new(6, 3);
    for host in &ALL {
        fleet.start_member(*host, 5, &ALL);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    fleet.kill(2);
    let moved =
        pinetrail_membership::Settings { advertise: host_address(5), ..member_settings(2, 5, &[0, 1]) };
    fleet.start_member_with(5, moved);
    let there = |fleet: &Fleet<Membership>| {
        [0, 1, 3, 4].iter().all(|host| {
            fleet
                .record_seen_by(*host, "n0002")
                .is_some_and(|entry| entry.address == host_address(5) && entry.state == State::Alive)
        })
    };
    assert!(fleet.run_until(5_000, there));
    fleet.run(20_000);
    assert!(there(&fleet));
    assert_eq!(fleet.side(0), Some(PartitionSide::Whole), "the address that it had is owed nothing");
}

/// Guards against words of a process that is no more, which bear its name still.
#[test]
fn a_late_datagram_of_the_process_before_changes_nothing() {
    let mut fleet = five(11);
    let mut late = Vec::new();
    fleet.act(2, |member, now, out| {
        let mut said = Vec::new();
        (0..60).for_each(|step| member.handle_timeout(now + step * 10, &mut said));
        late.extend(said.iter().filter_map(|output| match output {
            Output::Send(to, bytes) => Some((*to, bytes.clone())),
            Output::MembershipEvent(_) | Output::QuotaMessage(_) | Output::DirectoryMessage(..) => None,
        }));
        out.extend(said);
    });
    assert!(!late.is_empty());
    fleet.kill(2);
    fleet.run(500);
    fleet.start_member(2, 5, &ALL);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    let start = fleet.record_seen_by(0, "n0002").unwrap().start;
    fleet.observed.clear();
    for host in [0, 1, 3, 4] {
        for (_, bytes) in &late {
            fleet.act(host, |member, now, out| member.handle_datagram(now, host_address(2), bytes, out));
        }
    }
    fleet.run(10_000);
    assert!(fleet.all_agree(&ALL));
    assert_eq!(fleet.record_seen_by(0, "n0002").unwrap().start, start);
    assert!(fleet.observed.is_empty(), "{:?}", fleet.observed);
}

#[test]
fn who_leaves_on_purpose_has_left_and_not_failed() {
    for seed in 0..20 {
        let mut fleet = five(seed);
        fleet.network.loss = 0.05;
        fleet.act(3, pinetrail_membership::Membership::leave);
        fleet.kill(3);
        let left = |fleet: &Fleet<Membership>| {
            [0, 1, 2, 4].iter().all(|host| fleet.state_seen_by(*host, 3) == Some(State::Left))
        };
        assert!(fleet.run_until(3_000, left), "seed {seed}");
        assert_eq!(fleet.false_failures(), 0);
        assert_eq!(fleet.side(0), Some(PartitionSide::Whole), "a fleet of four now");
        fleet.network.loss = 0.0;
        fleet.start_member(3, 5, &ALL);
        assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)), "seed {seed}: it may come again");
    }
}

/// Guards against two processes that fight over a name, and against one that wins it in silence.
#[test]
fn two_processes_of_one_name_are_both_told_and_the_fleet_stays_calm() {
    let mut fleet: Fleet<Membership> = Fleet::new(6, 5);
    for host in &ALL {
        fleet.start_member(*host, 6, &ALL);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    let twin =
        pinetrail_membership::Settings { advertise: host_address(5), ..member_settings(2, 6, &[0, 1]) };
    fleet.start_member_with(5, twin);
    fleet.run(10_000);
    assert_eq!(
        fleet.member(2).unwrap().name_conflict(),
        Some((host_address(5), true)),
        "the earlier one knows"
    );
    assert_eq!(
        fleet.member(5).unwrap().name_conflict(),
        Some((host_address(2), false)),
        "so does the later one"
    );
    assert_eq!(fleet.side(2), Some(PartitionSide::Alone));
    fleet.observed.clear();
    fleet.run(60_000);
    let about_members = |heard: &&pinetrail_simulation::fleet::ObservedEvent| {
        matches!(heard.event, MembershipEvent::Member { .. })
    };
    assert_eq!(fleet.observed.iter().filter(about_members).count(), 0, "{:?}", fleet.observed);
    // Once the later one is gone the earlier one is back.
    fleet.kill(5);
    let back = |fleet: &Fleet<Membership>| {
        fleet.member(2).unwrap().name_conflict().is_none()
            && [0, 1, 3, 4]
                .iter()
                .all(|host| fleet.record_seen_by(*host, "n0002").unwrap().address == host_address(2))
            && fleet.all_agree(&ALL)
    };
    assert!(fleet.run_until(20_000, back));
}

/// Guards against memory that whoever can send datagrams fills with names.
#[test]
fn a_member_beyond_the_size_is_refused_and_told_why() {
    let mut fleet: Fleet<Membership> = Fleet::new(5, 9);
    (0..5).for_each(|host| fleet.start_member(host, 4, &[0]));
    fleet.run(20_000);
    let known: Vec<usize> =
        (0..4).map(|host| fleet.member(host).map_or(0, |member| member.members().len())).collect();
    assert!(known.iter().all(|known| *known <= 4), "{known:?}");
    assert!(fleet.counts(0).dropped_no_room > 0);
    assert!(fleet.observed.iter().any(|heard| matches!(heard.event, MembershipEvent::FleetFull(_, 4))));
    assert!(fleet.false_failures() == 0, "those that fit are not harmed");
}

/// Guards against room that is taken by names which never joined: a restart without end, or a flood of greetings.
#[test]
fn greetings_of_many_names_take_no_room() {
    let mut fleet: Fleet<Membership> = Fleet::new(4, 9);
    (0..2).for_each(|host| fleet.start_member(host, 4, &[0, 1]));
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1])));
    let sent = |out: &[Output]| {
        let bytes = out.iter().filter_map(|output| match output {
            Output::Send(_, bytes) => Some(bytes.clone()),
            Output::MembershipEvent(_) | Output::QuotaMessage(_) | Output::DirectoryMessage(..) => None,
        });
        bytes.collect::<Vec<_>>()
    };
    let mut strangers: Vec<Membership> = (0..200)
        .map(|n| Membership::new(member_settings(100 + n, 4, &[1]), 5, n as u64, 0).unwrap())
        .collect();
    let mut to_another = Vec::new();
    for stranger in &mut strangers {
        let mut said = Vec::new();
        stranger.handle_timeout(0, &mut said);
        for greeting in sent(&said) {
            fleet.act(0, |member, now, out| member.handle_datagram(now, host_address(3), &greeting, out));
            let mut answer = Vec::new();
            fleet.act(1, |member, now, out| {
                member.handle_datagram(now, host_address(3), &greeting, out);
                answer.append(out);
            });
            said.clear();
            for here in sent(&answer).iter() {
                stranger.handle_datagram(0, host_address(1), here, &mut said);
            }
            to_another.extend(sent(&said));
        }
    }
    assert_eq!(fleet.counts(0).dropped_no_room, 0, "a greeting takes none");
    // Words of SWIM that are for another member: this one's SWIM does not take them.
    assert_eq!(to_another.len(), 200);
    for bytes in &to_another {
        fleet.act(0, |member, now, out| member.handle_datagram(now, host_address(3), bytes, out));
    }
    assert!(fleet.counts(0).dropped_no_room > 0, "for a moment");
    fleet.run(2_000);
    for host in [2, 3].iter() {
        fleet.start_member(*host, 4, &[0, 1]);
    }
    assert!(fleet.run_until(8_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
}

/// Guards against panics and beliefs that spoilt words cause.
#[test]
fn a_flood_of_spoilt_datagrams_changes_nothing() {
    use rand::{rngs::StdRng, RngExt, SeedableRng};
    let mut fleet = five(4);
    let mut rng = StdRng::seed_from_u64(1);
    let mut real = Vec::new();
    fleet.act(1, |member, now, out| {
        (0..60).for_each(|step| member.handle_timeout(now + step * 10, out));
        real.extend(out.iter().filter_map(|output| match output {
            Output::Send(_, bytes) => Some(bytes.clone()),
            Output::MembershipEvent(_) | Output::QuotaMessage(_) | Output::DirectoryMessage(..) => None,
        }));
    });
    for round in 0..20_000 {
        let mut bytes: Vec<u8> = real[round % real.len()].clone();
        match round % 3 {
            0 => bytes = (0..rng.random_range(0..1500)).map(|_| rng.random()).collect(),
            1 => bytes.truncate(rng.random_range(0..bytes.len())),
            _ => {
                let at = rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << rng.random_range(0..8);
            }
        }
        fleet.act(0, |member, now, out| member.handle_datagram(now, host_address(3), &bytes, out));
    }
    fleet.run(10_000);
    let counts = fleet.counts(0);
    let dropped =
        counts.dropped_foreign + counts.dropped_spoilt + counts.dropped_too_new + counts.dropped_other_fleet;
    assert_eq!(dropped, 20_000);
    assert!(fleet.all_agree(&ALL));
    assert_eq!(fleet.false_failures(), 0);
}

/// Guards against peers that come late: a join that began with the wrong ones goes on with the right ones.
#[test]
fn new_peers_in_the_middle_of_a_join_are_asked_at_once() {
    let mut fleet: Fleet<Membership> = Fleet::new(6, 2);
    for host in &ALL {
        fleet.start_member(*host, 6, &ALL);
    }
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&ALL)));
    let nobody = "10.9.9.9:1".parse().unwrap();
    fleet.start_member_with(
        5,
        pinetrail_membership::Settings { peers: vec![nobody], ..member_settings(5, 6, &[]) },
    );
    fleet.run(1_500);
    assert_eq!(fleet.side(5), Some(PartitionSide::Alone));
    fleet.act(5, |member, now, out| member.set_peers(now, vec![host_address(1)], out).unwrap());
    // Its usual time to ask would come in half a second.
    assert!(fleet.run_until(300, |fleet| fleet.state_seen_by(5, 1) == Some(State::Alive)));
    assert!(fleet.run_until(3_000, |fleet| fleet.all_agree(&[0, 1, 2, 3, 4, 5])));
    let (before, mut out) = (fleet.now(), Vec::new());
    assert!(!fleet.record_seen_by(5, "n0001").unwrap().name.is_empty());
    fleet.act(5, |member, _, _| {
        assert!(member.set_peers(before, vec![host_address(5)], &mut out).is_err(), "itself");
    });
    assert!(out.is_empty(), "bad peers change nothing");
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let mut fleet = five(seed);
        fleet.network.loss = 0.1;
        fleet.pauses = Some(BRIEF_PAUSES);
        fleet.kill(3);
        fleet.run(30_000);
        (fleet.observed.clone(), fleet.received.clone())
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5).1, run(6).1);
}

/// Guards against two halves that both believe that they are the fleet.
#[test]
fn of_a_fleet_of_four_cut_in_half_neither_half_is_a_majority() {
    let mut fleet = Fleet::with_members(4, 1, &[0, 1, 2, 3]);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1, 2, 3])));
    fleet.network.cut_into(&[&[0, 1], &[2, 3]]);
    let minority =
        |fleet: &Fleet<Membership>| (0..4).all(|host| fleet.side(host) == Some(PartitionSide::Minority));
    assert!(fleet.run_until(10_000, minority));
}

/// Guards against two that lose each other and both believe that they are the fleet.
#[test]
fn of_a_fleet_of_two_that_lose_each_other_neither_is_a_majority() {
    let mut fleet = Fleet::with_members(2, 1, &[0, 1]);
    assert!(fleet.run_until(5_000, |fleet| fleet.all_agree(&[0, 1])));
    fleet.network.cut_into(&[&[0], &[1]]);
    assert!(fleet.run_until(10_000, |fleet| {
        (fleet.side(0), fleet.side(1)) == (Some(PartitionSide::Alone), Some(PartitionSide::Alone))
    }));
    fleet.network.heal();
    assert!(fleet.run_until(10_000, |fleet| fleet.side(0) == Some(PartitionSide::Whole)
        && fleet.side(1) == Some(PartitionSide::Whole)));
}
