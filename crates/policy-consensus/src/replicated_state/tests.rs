use super::*;

const STRICT: Stage = Stage::Preparing { strict: true };

fn with_open_change() -> ReplicatedState {
    ReplicatedState::initial("a").propose("x", 1, "b", "n0").unwrap()
}

#[test]
fn a_change_is_committed_once_and_only_from_the_closing_stage() {
    let preparing = with_open_change();
    assert_eq!(preparing.finish("x", Outcome::Committed, ""), None);

    let closing = preparing.advance("x", 1, Stage::Closing).unwrap();
    let second_attempt = closing.advance("x", 1, STRICT).unwrap();
    assert_eq!(second_attempt.open_change.as_ref().unwrap().attempt, 2);
    assert_eq!(second_attempt.advance("x", 1, Stage::Closing), None, "the first attempt has ended");

    let closing = second_attempt.advance("x", 2, Stage::Closing).unwrap();
    let committed = closing.finish("x", Outcome::Committed, "").unwrap();
    assert_eq!((committed.version, &*committed.text, committed.revision), (2, "b", 6));
    assert_eq!(committed.finish("x", Outcome::Committed, ""), None);
}

#[test]
fn proposing_the_same_change_again_has_no_effect_and_reusing_its_id_is_an_error() {
    let open = with_open_change();
    assert_eq!(open.propose("x", 1, "b", "n1").as_ref(), Ok(&open));
    assert_eq!(open.propose("x", 1, "c", "n1"), Err(Conflict::IdReused));
    assert_eq!(open.propose("y", 1, "b", "n1"), Err(Conflict::OtherChange { id: "x".into() }));

    let finished = open.finish("x", Outcome::Rejected, "n2: no").unwrap();
    assert_eq!(finished.propose("x", 1, "b", "n1").as_ref(), Ok(&finished));
    assert_eq!(finished.propose("y", 2, "b", "n1"), Err(Conflict::OtherVersion { active: 1 }));
    let next = finished.propose("y", 1, "b", "n1").unwrap();
    assert_eq!(next.finished_changes, finished.finished_changes);

    for id in [String::new(), "x".repeat(65)] {
        assert!(matches!(open.propose(&id, 1, "b", "n1"), Err(Conflict::InvalidId)));
    }
}

#[test]
fn the_oldest_finished_changes_are_removed_first() {
    let mut state = ReplicatedState::initial("a");
    for number in 0..100 {
        let id = format!("c{number}");
        let open = state.propose(&id, 1, "b", "n0").unwrap();
        state = open.finish(&id, Outcome::Abandoned, "late").unwrap();
    }
    assert_eq!((state.finished_changes.len(), &*state.finished_changes[0].id), (64, "c36"));
}
