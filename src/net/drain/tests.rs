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
    let schedule = |accept, serve, abort, kill| DrainSchedule {
        accept_until: ms(accept),
        serve_until: ms(serve),
        late_from: ms(550),
        abort_at: ms(abort),
        release_at: ms(abort + 50),
        kill_at: ms(kill),
        exit_at: ms(60_000),
    };
    let drain = |wait| DrainSchedule::for_longest_wait(Some(ms(wait)));

    assert_eq!(drain(1000), schedule(500, 1050, 1350, 1700));
    // Waits beyond 3 s count as 3 s.
    assert_eq!(drain(9000), schedule(500, 3050, 3350, 3700));
    assert_eq!(drain(1), schedule(500, 500, 500, 701));
    // With an unknown wait, no request is accepted that SIGKILL could find without a response.
    assert_eq!(DrainSchedule::for_longest_wait(None), schedule(500, 500, 3350, 3700));
}

#[test]
fn a_late_value_begins_only_if_it_will_be_whole_before_the_earliest_kill() {
    let now = Instant::now();
    let is_whole = |paced_bytes, elapsed, kill_in| {
        let progress = ValueProgress { paced_bytes, elapsed: ms(elapsed), remaining_bytes: 900 };
        is_whole_in_time(progress, now, now + ms(kill_in))
    };

    // A ninth of the rest took 100 ms: the rest takes 900 ms, and 350 ms are reserved.
    assert!(is_whole(100, 100, 1250));
    assert!(!is_whole(100, 100, 1249));
    assert!(is_whole(100, 0, 351), "it arrives at once");
    assert!(!is_whole(100, 0, 350), "there is no time to write it");
    assert!(!is_whole(0, 100, 9000), "nothing has arrived");
}
