use super::*;

#[test]
fn a_trial_is_reproducible_and_detects_every_death() {
    for heartbeats in [false, true] {
        let trial = Trial { members: 8, kind: TrialKind::Deaths { heartbeats, deaths: 4 }, seed: 3 };
        let (one, two) = (trial.play(), trial.play());
        assert_eq!(one.digest, two.digest);
        let known = one.known.unwrap();
        assert_eq!((known.last.count, known.missed), (4, 0));
        assert!(known.first.worst <= known.last.worst && known.first.p50 > 500 && known.last.p99 > 500);
        // Another seed gives another digest, except for the baseline, which makes no random
        // choices.
        assert!(heartbeats || one.digest != Trial { seed: 4, ..trial }.play().digest);
    }
}

#[test]
fn false_alarms_are_counted_and_parts_of_a_trial_are_merged() {
    let trial = |loss| Trial {
        members: 5,
        kind: TrialKind::FalseAlarms { heartbeats: true, loss, minutes: 2 },
        seed: 1,
    };
    let (calm, lossy) = (trial(0).play(), trial(60).play());
    assert_eq!(calm.alarms.unwrap().members_failed, 0);
    assert!(lossy.alarms.unwrap().members_failed > 0);
    let all = merge_parts(vec![calm.clone(), lossy.clone(), calm]);
    assert_eq!(all.len(), 2);
    assert!((all[0].alarms.unwrap().hours - 4.0 / 60.0).abs() < 1e-9);
}
