use super::*;

const INTERVAL: Duration = Duration::from_millis(10);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn nothing_lies_unread_while_the_process_runs() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(INTERVAL, start);
    for tick in 1..100 {
        let now = start + INTERVAL * tick;
        assert_eq!(monitor.unread_for(now), Duration::ZERO);
        assert_eq!(monitor.tick(now), Duration::ZERO);
    }
}

#[test]
fn what_is_read_after_a_hold_up_may_have_come_at_its_beginning() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(INTERVAL, start);
    let end = start + ms(140);
    assert_eq!(monitor.unread_for(end), ms(140), "read before the tick that comes too late");

    assert_eq!(monitor.tick(end), ms(130));

    assert_eq!(monitor.unread_for(end + ms(5)), ms(145), "and after it");
    monitor.tick(end + INTERVAL);
    assert_eq!(monitor.unread_for(end + ms(15)), ms(155));
    monitor.tick(end + ms(31));
    assert_eq!(monitor.unread_for(end + ms(35)), Duration::ZERO, "all of it has been read");
}

#[test]
fn after_a_long_stop_not_everything_is_late() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(INTERVAL, start);
    assert_eq!(monitor.unread_for(start + ms(10_000)), LONGEST_UNREAD);
}
