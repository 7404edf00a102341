use super::*;

#[test]
fn they_come_in_order_and_may_be_put_off() {
    let mut timers = Timers::new();
    for (at, what) in [(30, 'c'), (10, 'a'), (10, 'b')] {
        timers.set(at, what);
    }
    assert_eq!((timers.next(), timers.due(9), timers.due(10)), (Some(10), None, Some('a')));
    timers.put_off(100);
    timers.not_before(125, |what| *what == 'b');
    assert_eq!((timers.due(124), timers.due(125), timers.due(200)), (None, Some('b'), Some('c')));
}
