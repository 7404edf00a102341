//! Tests of a proxy's quota: which limits it divides, and that its expiry is checked at every use.

mod common;

use common::*;
use pinetrail::interface::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FLEET_LIMITS: FleetLimits = FleetLimits { per_node: 24.0, origin: 12.0 };

fn quota_event(harness: &BalancerHarness, part: f64, duration: Milliseconds) -> Event {
    Event::Quota(Quota {
        fraction: part,
        expires_at: time(harness.now + duration),
        guaranteed: 1.0 / 12.0,
        fleet_limits: FLEET_LIMITS,
    })
}

/// Sends 40 reads of one key and ends all of them; returns how many were sent at once.
fn sent_at_once(harness: &mut BalancerHarness, from: RequestNumber) -> usize {
    let attempts: Vec<(RequestNumber, BackendNumber)> =
        (from..from + 40).filter_map(|id| sent(&harness.request(read(id, 7)))).collect();
    let count = attempts.len();
    for id in from..from + 40 {
        harness.event(Event::ClientGone(RequestId(id)));
    }
    for (id, server) in attempts {
        harness.end(id, 0, server, Outcome::Moot);
    }
    count
}

#[test]
fn attempts_in_flight_follow_the_quota_and_never_exceed_it() {
    let mut harness = BalancerHarness::without_origin(1);
    let event = quota_event(&harness, 1.0 / 4.0, 3_000.0);
    harness.event(event);
    assert_eq!(sent_at_once(&mut harness, 100), 6, "a quarter of 24");
    let event = quota_event(&harness, 1.0 / 2.0, 3_000.0);
    harness.event(event);
    assert_eq!(sent_at_once(&mut harness, 200), 12);
}

/// Guards against a process that was suspended and gets no event when its lease expires.
#[test]
fn an_expired_lease_admits_no_attempt_though_no_event_said_so() {
    let mut harness = BalancerHarness::without_origin(1);
    let event = quota_event(&harness, 1.0 / 2.0, 3_000.0);
    harness.event(event);
    harness.now += 3_000.0;
    assert_eq!(sent_at_once(&mut harness, 100), 2, "a twelfth of 24");
    // A new lease restores the former limit.
    let event = quota_event(&harness, 1.0 / 2.0, 3_000.0);
    harness.event(event);
    assert_eq!(sent_at_once(&mut harness, 200), 12);
}

#[test]
fn the_origin_has_a_fleet_limit_of_its_own() {
    let mut harness = BalancerHarness::with_origin(3);
    let event = quota_event(&harness, 1.0 / 4.0, 3_000.0);
    harness.event(event);
    let writes = (1..=20).filter(|id| {
        let write = Request { class: KEYED_ALL, is_write: true, ..read(*id, *id) };
        sent(&harness.request(write)).is_some()
    });
    // The concurrency limit starts at 8 for all proxies together, but at no less than two for each
    // proxy: below a quarter of 12.
    assert_eq!(writes.count(), 2);
}

/// Formats actions as text. The recorded checksums below depend on this format.
fn format_actions(actions: &[Action]) -> String {
    let format_action = |action: &Action| match action {
        Action::StartAttempt { request, backend, timeout, send_within } => {
            let (timeout, send_within) = (timeout.as_ms(), send_within.as_ms());
            format!("Send({request}, {backend}, {timeout:?}, {send_within:?})")
        }
        Action::Reject { request, retry_after, .. } => {
            format!("Refuse({request}, {:?})", retry_after.as_ms())
        }
        Action::Fail { request, .. } => format!("Fail({request})"),
        Action::SetTimer { delay, token } => format!("Timer({:?}, {token})", delay.as_ms()),
        Action::SetRequestTimer { request, delay, token } => {
            format!("TimerFor({request}, {:?}, {token})", delay.as_ms())
        }
        Action::Subscribe => "Subscribe".to_owned(),
    };
    format!("[{}]", actions.iter().map(format_action).collect::<Vec<_>>().join(", "))
}

/// Returns a checksum of all decisions in a long run of events that are generated from a seed.
fn decisions_checksum(with_origin: bool, seed: u64) -> u32 {
    let mut harness =
        if with_origin { BalancerHarness::with_origin(6) } else { BalancerHarness::without_origin(6) };
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut in_flight, mut timers, mut checksum) = (Vec::new(), Vec::new(), 0);
    for id in 1..4_000 {
        harness.now += rng.gen_range(0.0..8.0);
        let event = match rng.gen_range(0..10) {
            0..=3 => Event::Request(Request {
                class: rng.gen_range(0..5),
                is_write: with_origin && rng.gen_bool(0.1),
                ..read(id, rng.gen_range(0..200))
            }),
            4 if !timers.is_empty() => Event::Timer(timers.swap_remove(rng.gen_range(0..timers.len()))),
            5 if rng.gen_bool(0.02) => Event::EndpointList {
                form: ListForm::Delta,
                endpoints: vec![EndpointInfo {
                    started_at: time(harness.now),
                    ..endpoint(rng.gen_range(1..7))
                }],
            },
            _ if !in_flight.is_empty() => {
                let (id, backend, attempt) = in_flight.swap_remove(rng.gen_range(0..in_flight.len()));
                let outcomes =
                    [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Miss, Outcome::Full, Outcome::Timeout];
                let outcome = outcomes[rng.gen_range(0..outcomes.len())];
                let (latency, is_request_finished) =
                    (span(rng.gen_range(1.0..300.0)), outcome == Outcome::Ok);
                let load_report = Vec::new();
                Event::AttemptEnd(AttemptEnd {
                    id,
                    attempt,
                    backend,
                    latency,
                    is_request_finished,
                    outcome,
                    load_report,
                })
            }
            _ => continue,
        };
        let actions = harness.event(event);
        for action in &actions {
            match action {
                Action::StartAttempt { request: id, backend: server, .. } => {
                    let attempt =
                        in_flight.iter().filter(|one: &&(RequestId, BackendId, u8)| one.0 == *id).count()
                            as u8;
                    in_flight.push((*id, *server, attempt));
                }
                Action::SetTimer { token, .. } | Action::SetRequestTimer { token, .. } => timers.push(*token),
                _ => {}
            }
        }
        checksum = crc32c::crc32c_append(checksum, format_actions(&actions).as_bytes());
    }
    checksum
}

/// Guards against quotas that change the decisions of a proxy without one: the checksums are those
/// of the module before it had quotas. A change that is meant to change decisions records the new
/// checksums here.
#[test]
fn without_a_quota_every_decision_is_as_recorded() {
    let checksums = [(false, 1), (false, 2), (true, 1), (true, 2)]
        .map(|(with_origin, seed)| decisions_checksum(with_origin, seed));
    assert_eq!(checksums, [1_694_768_337, 895_297_682, 3_059_853_639, 1_895_939_065]);
}
