//! Tests that connections which always have more to do leave time for others.

use super::*;

/// Guards against connections that together keep the worker busy: each has its next turn as soon as
/// it may.
#[test]
fn connections_that_never_stop_leave_half_of_the_time() {
    for connections in [1, 2, 30, 200] {
        for work_us in [10, 300, 1_000, 20_000] {
            let (pacer, work) = (TurnPacer::default(), Duration::from_micros(work_us));
            let began = Instant::now();
            let mut next_turns = vec![began; connections];
            let mut worked_until = began;
            let turns = 20 * connections;
            for _ in 0..turns {
                let next = next_turns.iter_mut().min().unwrap();
                worked_until = worked_until.max(*next) + work;
                *next = pacer.reserve(worked_until, work);
            }
            let share = (work * turns as u32).as_secs_f64() / (worked_until - began).as_secs_f64();
            assert!(share <= 0.6, "{connections} connections of {work:?}: {share}");
        }
    }
}

#[test]
fn a_turn_ends_after_its_rounds_or_its_time_also_if_it_is_interrupted_for_a_moment() {
    let mut turn = Turn::begin();
    let rounds = (1..).find(|_| {
        turn.pause();
        turn.resume();
        turn.end_round()
    });
    assert!((1..=ROUNDS_PER_TURN).contains(&rounds.unwrap()), "{rounds:?} rounds");
    let mut turn = Turn { began: Instant::now() - TURN_DURATION, ..Turn::begin() };
    assert!(turn.end_round());
}
