use super::*;

#[test]
fn idle_connections_are_let_go_of_one_after_the_other() {
    let plan = SendAway::OUT_OF_SERVICE;
    let mut times: Vec<u64> = (0..64).map(|number| plan.idle_at(number, 0)).collect();
    assert!(times.iter().all(|at| (400..1800).contains(at)));
    times.dedup();
    assert!(times.len() > 60, "spread");
    assert_eq!(plan.idle_at(0, 3000), 3500, "who comes late has time to speak");
}

#[test]
fn a_drain_ends_before_the_earliest_kill() {
    let ms = Duration::from_millis;
    let drain = |wait| Drain::for_wait(Some(ms(wait)));
    assert_eq!(drain(1000), Drain { accepts: ms(500), serves: ms(1300), ends: ms(1600) });
    // Waits beyond 3 s count as 3 s.
    assert_eq!(drain(9000), Drain { accepts: ms(500), serves: ms(3300), ends: ms(3600) });
    assert_eq!(drain(1), Drain { accepts: ms(500), serves: ms(500), ends: ms(601) });
    // How long clients wait is not told: nothing is taken that might be found unanswered.
    assert_eq!(Drain::for_wait(None), Drain { accepts: ms(500), serves: ms(500), ends: ms(3600) });
}
