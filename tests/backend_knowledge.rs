//! What the module believes of a node, how long, and what a new process of it is charged with.

mod common;

use common::*;
use pinetrail::interface::*;
use pinetrail::settings::Settings;

/// Sends reads of many keys until one is held; the ids of those that were sent.
fn fill(world: &mut World, from: RequestId) -> Vec<RequestId> {
    (from..from + 100).take_while(|id| sent(&world.request(read(*id, *id))).is_some()).collect()
}

/// The only node, with a new process that is warm by now.
fn renewed(world: &mut World) {
    world.event(Event::Members {
        form: ListForm::Delta,
        members: vec![Member { started: world.now - 20_000.0, ..member(1) }],
    });
}

/// Guards against a new process that is charged with what the one before it was sent.
#[test]
fn attempts_at_an_old_process_take_no_capacity_of_the_new_one() {
    let mut world = World::new(false, 1);
    let before = fill(&mut world, 1);
    renewed(&mut world);
    let after = fill(&mut world, 1000);
    // The one that was held goes first.
    assert_eq!(after.len() + 1, before.len());
    for id in &before {
        world.end(*id, 0, 1, Outcome::Ok);
    }
    assert!(sent(&world.request(read(2000, 2000))).is_none(), "nor do their ends make room there");
}

/// Guards against a new process that is shut, suspect or slow because the one before it broke.
#[test]
fn late_ends_of_an_old_process_do_not_count_against_the_new_one() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset, Outcome::Error, Outcome::Timeout, Outcome::Full] {
        let mut world = World::new(false, 1);
        let before = fill(&mut world, 1);
        renewed(&mut world);
        world.now += 200.0;
        for id in &before {
            world.event(Event::ClientGone(*id));
            world.end_after(*id, 0, 1, outcome, 200.0);
        }
        let after = fill(&mut world, 1000);
        assert!(after.len() + 1 >= before.len(), "{outcome:?}: {} of {}", after.len(), before.len());
    }
}

/// Guards against one moment that counts as many: each of several connects that fail together made the time longer.
#[test]
fn connects_that_fail_together_eject_a_node_no_longer_than_one() {
    let mut world = World::new(false, 2);
    let ids = fill(&mut world, 1);
    for id in &ids {
        world.event(Event::ClientGone(*id));
    }
    for id in &ids {
        for server in 1..=2 {
            world.end(*id, 0, server, Outcome::ConnectFailed);
        }
    }
    world.now += 5001.0;
    assert!(fill(&mut world, 1000).len() > 10, "both are tried after 5 s at the latest");
}

/// Guards against a proxy that is cut off for a moment and then asks nobody for 4 s.
#[test]
fn when_most_of_the_fleet_is_ejected_each_node_gets_one_trial_at_a_time() {
    let mut world = World::new(false, 3);
    let fail = |world: &mut World, id| {
        let mut actions = world.request(read(id, id));
        let mut tried = vec![];
        while let Some((_, server)) = sent(&actions) {
            actions = world.end(id, tried.len() as u8, server, Outcome::ConnectFailed);
            tried.push(server);
        }
        tried.len()
    };
    assert_eq!(fail(&mut world, 1), 3);
    world.now += 700.0;
    assert!(fill(&mut world, 50).is_empty(), "not at once");
    world.now += 600.0;
    let trials = fill(&mut world, 100);
    assert_eq!(trials.len(), 3, "one for each");
    for id in &trials {
        for server in 1..=3 {
            world.end(*id, 0, server, Outcome::Ok);
        }
    }
    assert!(fill(&mut world, 200).len() > 20, "all serve again");
    // One of three that is shut is left alone.
    let mut world = World::new(false, 3);
    world.request(read(1, 1));
    let (_, shut) = sent(&world.request(read(2, 2))).unwrap();
    world.end(2, 0, shut, Outcome::ConnectFailed);
    assert!((100..120).all(|id| sent(&world.request(read(id, id))).is_none_or(|sent| sent.1 != shut)));
}

/// Guards against a node that returns under its old name and keeps what was held against it.
#[test]
fn a_node_that_returns_after_it_was_gone_counts_as_new_whatever_its_start() {
    for call_out in [false, true] {
        let mut world = World::new(false, 1);
        if call_out {
            assert!(sent(&world.request(read(1, 1))).is_some());
        }
        world.request(read(2, 2));
        world.end(2, 0, 1, Outcome::ConnectFailed);
        assert!(sent(&world.request(read(3, 3))).is_none(), "it is shut");
        world.event(Event::Members {
            form: ListForm::Delta,
            members: vec![Member { state: State::Gone, ..member(1) }],
        });
        world.event(Event::Members { form: ListForm::Delta, members: vec![member(1)] });
        assert!(sent(&world.request(read(4, 4))).is_some(), "call out: {call_out}");
    }
}

/// Guards against a cold node that passes for warm since a list is behind.
#[test]
fn an_older_start_of_a_listed_node_does_not_make_it_warm() {
    let mut world = World::new(false, 3);
    let cold = |world: &World, id| Member { started: world.now, ..member(id) };
    let list: Vec<Member> = (1..=3).map(|id| cold(&world, id)).collect();
    world.event(Event::Members { form: ListForm::Full, members: list });
    world.event(Event::Members { form: ListForm::Full, members: (1..=3).map(member).collect() });
    let sent: usize = (1..50).map(|id| sends(&world.request(read(id, id))).len()).sum();
    assert!((1..=24).contains(&sent), "{sent} of 49, about 15 expected");
}

/// Guards against a write that a cache node takes, so that the origin never hears of it.
#[test]
fn a_write_goes_to_no_cache_node_when_the_origin_is_absent() {
    let mut world = World::new(true, 4);
    let write = |id| Request { write: true, ..read(id, id) };
    assert_eq!(sent(&world.request(write(1))), Some((1, ORIGIN)));
    world.event(Event::Members {
        form: ListForm::Delta,
        members: vec![Member { state: State::Draining, ..member(ORIGIN) }],
    });
    assert!(sends(&world.end(1, 0, ORIGIN, Outcome::Full)).is_empty());
    let arrival = world.request(write(2));
    assert!(sends(&arrival).is_empty());
    assert_eq!(finals(&world.deadline(&arrival)), [&Action::Reject { request: 2, retry_after: 250.0 }]);
}

/// Guards against a request given up though a node of its group could still take it.
#[test]
fn a_retry_goes_to_a_node_of_the_same_dedup_scope() {
    for key in 1..40 {
        let mut world = World::new(false, 6);
        let request = Request { class: KEYED_ZONE, ..read(1, key) };
        let (_, first) = sent(&world.request(request)).unwrap();
        let again = sent(&world.end(1, 0, first, Outcome::Error)).map(|sent| member(sent.1).zone);
        assert_eq!(again, Some(member(first).zone), "key {key}");
    }
}

/// Guards against a waiter sent where it failed a moment ago, though the value is there.
#[test]
fn a_waiter_is_not_sent_to_a_node_where_it_has_failed() {
    let mut world = World::new(true, 3);
    for id in 100..110 {
        // enough for a few retries
        assert_ne!(world.served(id, id), 0);
    }
    let (_, home) = sent(&world.request(read(1, 5))).unwrap();
    assert_eq!(sent(&world.request(read(2, 5))), Some((2, home)));
    let (_, other) = sent(&world.end(2, 0, home, Outcome::Error)).unwrap();
    assert_ne!(other, home);
    world.end(1, 0, home, Outcome::Miss);
    assert!(sends(&world.end(2, 1, other, Outcome::Miss)).is_empty(), "it waits for the fetch");
    let after = sends(&world.end(1, 1, ORIGIN, Outcome::Ok));
    assert!(after.iter().all(|to| *to != (2, home)) && !after.is_empty(), "{after:?}");
}

/// Guards against a request that is held for the origin though no call of it is left.
#[test]
fn a_request_without_an_attempt_left_is_rejected_at_once() {
    let mut world = World::new(true, 2);
    let mut settings = Settings::from_json(settings_json(true).as_bytes()).unwrap();
    settings.limits.max_attempts = 1;
    world.balancer.retune(settings);
    world.event(Event::Members {
        form: ListForm::Delta,
        members: vec![Member { state: State::Ready, ..member(ORIGIN) }],
    });
    let (_, server) = sent(&world.request(read(1, 5))).unwrap();
    // The origin has no room.
    for id in 10..20 {
        world.request(Request { write: true, ..read(id, id) });
    }
    assert_eq!(
        finals(&world.end(1, 0, server, Outcome::Miss)),
        [&Action::Reject { request: 1, retry_after: 250.0 }]
    );
}

/// Guards against figures that were derived from settings which hold no longer.
#[test]
fn another_group_size_gives_each_proxy_another_part_of_a_node() {
    let sized = |size: u32| {
        let json = settings_json(false).replace(r#""GroupSize":3"#, &format!(r#""GroupSize":{size}"#));
        Settings::from_json(json.as_bytes()).unwrap()
    };
    let mut world = World::new(false, 1);
    assert_eq!(fill(&mut world, 1).len(), 10);
    world.balancer.retune(sized(2));
    assert_eq!(fill(&mut world, 1000).len(), 6, "16 in all");
    world.balancer.retune(sized(30));
    for id in 1..=10 {
        world.end(id, 0, 1, Outcome::Ok);
    }
    assert!(fill(&mut world, 2000).is_empty());
}

/// One of many proxies whose only node was slow for so long that few are let in.
fn slowed() -> World {
    let mut world = World::numbered(1, 1);
    for id in 1..200 {
        world.now += 1000.0;
        if sent(&world.request(read(id, id))).is_some() {
            world.end_after(id, 0, 1, Outcome::Ok, 390.0);
        }
    }
    world
}

/// Guards against calls that reached nobody, taken for a sign that there is room again.
#[test]
fn attempts_that_reach_no_backend_do_not_raise_admission() {
    let mut world = slowed();
    let mut let_in = 0;
    for id in 1000..1400 {
        world.now += 1000.0;
        if sent(&world.request(read(id, id))).is_some() {
            let_in += 1;
            world.event(Event::ClientGone(id));
            world.end_after(id, 0, 1, Outcome::Moot, 0.0);
        }
    }
    assert!((1..60).contains(&let_in), "{let_in} of 400");
}

/// Guards against a share let in that nothing raises again: it is only adjusted while the group is large.
#[test]
fn a_group_that_shrinks_admits_every_request_again() {
    let mut world = slowed();
    let let_in = |world: &mut World, from: RequestId| {
        let ids = from..from + 20;
        ids.filter(|id| {
            sent(&world.request(read(*id, *id))).map(|_| world.end(*id, 0, 1, Outcome::Ok)).is_some()
        })
        .count()
    };
    world.now += 1000.0;
    assert!(let_in(&mut world, 1000) < 20);
    world.balancer.retune(Settings::from_json(settings_json(false).as_bytes()).unwrap());
    assert_eq!(let_in(&mut world, 2000), 20);
}
