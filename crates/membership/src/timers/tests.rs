use super::*;

#[test]
fn timers_come_in_order_and_can_be_postponed() {
    let mut timers = Timers::new();
    for (at, timer) in [(30, 'c'), (10, 'a'), (10, 'b')] {
        timers.set(at, timer);
    }
    assert_eq!((timers.next(), timers.pop_due(9), timers.pop_due(10)), (Some(10), None, Some('a')));
    timers.postpone_all(100);
    timers.postpone_until(125, |timer| *timer == 'b');
    assert_eq!((timers.pop_due(124), timers.pop_due(125), timers.pop_due(200)), (None, Some('b'), Some('c')));
}
