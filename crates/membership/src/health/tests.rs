use super::*;

#[test]
fn a_slow_member_waits_longer_and_recovers() {
    let wait = Duration::from_millis(200);
    let mut health = LocalHealth::default();
    assert_eq!(health.scale(wait), wait);
    health.degrade(2);
    assert_eq!(health.scale(wait), Duration::from_millis(600));
    health.degrade(100);
    assert_eq!(health.scale(Duration::from_millis(1)), Duration::from_millis(u64::from(MAX_SCORE) + 1));
    for _ in 0..20 {
        health.improve();
    }
    assert_eq!(health.scale(wait), wait);
}
