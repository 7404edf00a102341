use super::*;

#[test]
fn who_is_slow_waits_for_longer_and_mends() {
    let mut health = LocalHealth::default();
    assert_eq!(health.scale(200), 200);
    health.worsen(2);
    assert_eq!(health.scale(200), 600);
    health.worsen(100);
    assert_eq!(health.scale(1), MAX_SCORE + 1);
    (0..20).for_each(|_| health.improve());
    assert_eq!(health.scale(200), 200);
}
