use super::*;

#[test]
fn a_slow_member_waits_longer_and_recovers() {
    let mut health = LocalHealth::default();
    assert_eq!(health.scale(200), 200);
    health.worsen(2);
    assert_eq!(health.scale(200), 600);
    health.worsen(100);
    assert_eq!(health.scale(1), MAX_SCORE + 1);
    for _ in 0..20 {
        health.improve();
    }
    assert_eq!(health.scale(200), 200);
}
