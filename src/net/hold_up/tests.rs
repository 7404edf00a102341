use super::*;

const INTERVAL: Duration = Duration::from_millis(10);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn unread_time_is_zero_while_the_process_runs() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(INTERVAL, start);
    for tick in 1..100 {
        let now = start + INTERVAL * tick;
        assert_eq!(monitor.unread_time(now), Duration::ZERO);
        assert_eq!(monitor.tick(now), Duration::ZERO);
    }
}

#[test]
fn input_read_after_a_hold_up_may_have_arrived_at_its_beginning() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(INTERVAL, start);
    let end = start + ms(140);
    assert_eq!(monitor.unread_time(end), ms(140), "input that is read before the late tick");

    assert_eq!(monitor.tick(end), ms(130));

    assert_eq!(monitor.unread_time(end + ms(5)), ms(145), "input that is read after the late tick");
    monitor.tick(end + INTERVAL);
    assert_eq!(monitor.unread_time(end + ms(15)), ms(155));
    monitor.tick(end + ms(31));
    assert_eq!(
        monitor.unread_time(end + ms(35)),
        Duration::ZERO,
        "all input that arrived during the hold-up has been read"
    );
}

#[test]
fn unread_time_after_a_long_stop_is_limited() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(INTERVAL, start);
    assert_eq!(monitor.unread_time(start + ms(10_000)), MAX_UNREAD_TIME);
}
