//! This proxy's share of what all may have together: what it divides, and that it is looked at whenever it is used.

mod common;

use common::*;
use pinetrail::interface::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FLEET_LIMITS: FleetLimits = FleetLimits { per_node: 24.0, origin: 12.0 };

fn share(world: &World, part: f64, lasts: Time) -> Event {
    Event::Quota(Quota {
        fraction: part,
        expires_at: world.now + lasts,
        guaranteed: 1.0 / 12.0,
        fleet_limits: FLEET_LIMITS,
    })
}

/// How many of 40 reads of one key are sent at once; they are ended again.
fn sent_at_once(world: &mut World, from: RequestId) -> usize {
    let sends: Vec<(RequestId, ServerId)> =
        (from..from + 40).filter_map(|id| sent(&world.request(read(id, 7)))).collect();
    let count = sends.len();
    for id in from..from + 40 {
        world.event(Event::ClientGone(id));
    }
    for (id, server) in sends {
        world.end(id, 0, server, Outcome::Moot);
    }
    count
}

#[test]
fn attempts_in_flight_follow_the_quota_and_never_exceed_it() {
    let mut world = World::new(false, 1);
    let event = share(&world, 1.0 / 4.0, 3_000.0);
    world.event(event);
    assert_eq!(sent_at_once(&mut world, 100), 6, "a quarter of 24");
    let event = share(&world, 1.0 / 2.0, 3_000.0);
    world.event(event);
    assert_eq!(sent_at_once(&mut world, 200), 12);
}

/// Danger: nothing tells a process that was stopped that its lease has ended.
#[test]
fn an_expired_lease_admits_no_attempt_though_no_event_said_so() {
    let mut world = World::new(false, 1);
    let event = share(&world, 1.0 / 2.0, 3_000.0);
    world.event(event);
    world.now += 3_000.0;
    assert_eq!(sent_at_once(&mut world, 100), 2, "a twelfth of 24");
    // Given anew it is as it was.
    let event = share(&world, 1.0 / 2.0, 3_000.0);
    world.event(event);
    assert_eq!(sent_at_once(&mut world, 200), 12);
}

#[test]
fn the_origin_has_a_fleet_limit_of_its_own() {
    let mut world = World::new(true, 3);
    let event = share(&world, 1.0 / 4.0, 3_000.0);
    world.event(event);
    let writes = (1..=20).filter(|id| {
        let write = Request { class: KEYED_ALL, write: true, ..read(*id, *id) };
        sent(&world.request(write)).is_some()
    });
    // The learnt limit begins at 8 for all together, and at two at the least: below a quarter of 12.
    assert_eq!(writes.count(), 2);
}

/// Actions in the words in which the checksums below were recorded.
fn recorded(actions: &[Action]) -> String {
    let words = |action: &Action| match action {
        Action::StartAttempt { request, backend, timeout, send_by } => {
            format!("Send({request}, {backend}, {timeout:?}, {send_by:?})")
        }
        Action::Reject { request, retry_after } => format!("Refuse({request}, {retry_after:?})"),
        Action::Fail(request) => format!("Fail({request})"),
        Action::SetTimer { delay, token } => format!("Timer({delay:?}, {token})"),
        Action::SetRequestTimer { request, delay, token } => {
            format!("TimerFor({request}, {delay:?}, {token})")
        }
        Action::Subscribe => "Subscribe".to_owned(),
    };
    format!("[{}]", actions.iter().map(words).collect::<Vec<_>>().join(", "))
}

/// All that is decided in a long run of events from a seed, as a checksum.
fn decided(aside: bool, seed: u64) -> u32 {
    let mut world = World::new(aside, 6);
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut out, mut timers, mut sum) = (Vec::new(), Vec::new(), 0);
    for id in 1..4_000 {
        world.now += rng.gen_range(0.0..8.0);
        let event = match rng.gen_range(0..10) {
            0..=3 => Event::Request(Request {
                class: rng.gen_range(0..5),
                write: aside && rng.gen_bool(0.1),
                ..read(id, rng.gen_range(0..200))
            }),
            4 if !timers.is_empty() => Event::Timer(timers.swap_remove(rng.gen_range(0..timers.len()))),
            5 if rng.gen_bool(0.02) => Event::Members {
                form: ListForm::Delta,
                members: vec![Member { started: world.now, ..member(rng.gen_range(1..7)) }],
            },
            _ if !out.is_empty() => {
                let (id, server, attempt) = out.swap_remove(rng.gen_range(0..out.len()));
                let outcomes =
                    [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Miss, Outcome::Full, Outcome::Timeout];
                let outcome = outcomes[rng.gen_range(0..outcomes.len())];
                let (latency, last) = (rng.gen_range(1.0..300.0), outcome == Outcome::Ok);
                let report = Vec::new();
                Event::AttemptEnd(AttemptEnd { id, attempt, server, latency, last, outcome, report })
            }
            _ => continue,
        };
        let actions = world.event(event);
        for action in &actions {
            match action {
                Action::StartAttempt { request: id, backend: server, .. } => {
                    let attempt = out.iter().filter(|one: &&(u64, u32, u8)| one.0 == *id).count() as u8;
                    out.push((*id, *server, attempt));
                }
                Action::SetTimer { token, .. } | Action::SetRequestTimer { token, .. } => timers.push(*token),
                _ => {}
            }
        }
        sum = crc32c::crc32c_append(sum, recorded(&actions).as_bytes());
    }
    sum
}

/// Without a share all is decided as before there were any: the sums are those of the module before them. Whoever
/// changes decisions on purpose puts the new sums here and says so.
#[test]
fn without_a_quota_every_decision_is_as_recorded() {
    let sums = [(false, 1), (false, 2), (true, 1), (true, 2)].map(|(aside, seed)| decided(aside, seed));
    assert_eq!(sums, [1694768337, 895297682, 3059853639, 1895939065]);
}
