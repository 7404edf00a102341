use super::*;

#[test]
fn who_is_slow_waits_for_longer_and_mends() {
    let mut health = Health::default();
    assert_eq!(health.stretch(200), 200);
    health.worsen(2);
    assert_eq!(health.stretch(200), 600);
    health.worsen(100);
    assert_eq!(health.stretch(1), WORST + 1);
    (0..20).for_each(|_| health.mend());
    assert_eq!(health.stretch(200), 200);
}
