use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn closes_of_idle_connections_are_spread_over_time() {
    let schedule = DisconnectSchedule::OUT_OF_SERVICE;

    let mut times: Vec<Duration> =
        (0..64).map(|number| schedule.idle_close_at(number, Duration::ZERO)).collect();

    assert!(times.iter().all(|at| (ms(400)..ms(1800)).contains(at)));
    times.dedup();
    assert!(times.len() > 60, "almost every connection has its own close time");
    assert_eq!(
        schedule.idle_close_at(0, ms(3000)),
        ms(3500),
        "a connection that is opened late has time for a command"
    );
}

#[test]
fn a_partial_command_keeps_its_connection_for_a_time_and_reading_stops_before() {
    let schedule = DisconnectSchedule::OUT_OF_SERVICE;

    assert!(schedule.keeps_partial_command(ms(3399)));
    assert!(!schedule.keeps_partial_command(ms(3400)));
    assert!(!schedule.stops_reading(ms(1799)));
    assert!(schedule.stops_reading(ms(1800)));
}

#[test]
fn a_drain_ends_before_the_earliest_kill() {
    let schedule = |accept, serve, abort| DrainSchedule {
        accept_until: ms(accept),
        serve_until: ms(serve),
        abort_at: ms(abort),
        exit_at: ms(abort + 50),
    };
    let drain = |wait| DrainSchedule::for_longest_wait(Some(ms(wait)));

    assert_eq!(drain(1000), schedule(500, 1050, 1350));
    // Waits beyond 3 s count as 3 s.
    assert_eq!(drain(9000), schedule(500, 3050, 3350));
    assert_eq!(drain(1), schedule(500, 500, 500));
    // With an unknown wait, no request is accepted that SIGKILL could find without a response.
    assert_eq!(DrainSchedule::for_longest_wait(None), schedule(500, 500, 3350));
}
