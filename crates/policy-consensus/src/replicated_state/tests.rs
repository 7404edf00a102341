use super::*;

const STRICT: Stage = Stage::Preparing { strict: true };

#[test]
fn a_change_is_taken_once_and_only_after_it_was_closed() {
    let book = ReplicatedState::initial("a").open("x", 1, "b", "n0").unwrap();
    assert_eq!(book.end("x", Outcome::Committed, ""), None);
    let closing = book.at("x", 1, Stage::Closing).unwrap();
    let again = closing.at("x", 1, STRICT).unwrap();
    assert_eq!(again.change.as_ref().unwrap().attempt, 2);
    assert_eq!(again.at("x", 1, Stage::Closing), None, "that attempt is over");
    let taken = again.at("x", 2, Stage::Closing).unwrap().end("x", Outcome::Committed, "").unwrap();
    assert_eq!((taken.version, &*taken.text, taken.revision), (2, "b", 6));
    assert_eq!(taken.end("x", Outcome::Committed, ""), None);
}

#[test]
fn the_same_name_again_changes_nothing_and_another_text_is_an_error() {
    let book = ReplicatedState::initial("a").open("x", 1, "b", "n0").unwrap();
    assert_eq!(book.open("x", 1, "b", "n1").as_ref(), Ok(&book));
    assert_eq!(book.open("x", 1, "c", "n1"), Err(Conflict::Name));
    assert_eq!(book.open("y", 1, "b", "n1"), Err(Conflict::Change("x".into())));
    let ended = book.end("x", Outcome::Rejected, "n2: no").unwrap();
    assert_eq!(ended.open("x", 1, "b", "n1").as_ref(), Ok(&ended));
    assert_eq!(ended.open("y", 2, "b", "n1"), Err(Conflict::Version(1)));
    assert_eq!(ended.open("y", 1, "b", "n1").unwrap().ended, ended.ended);
    for id in [String::new(), "x".repeat(65)] {
        assert!(matches!(book.open(&id, 1, "b", "n1"), Err(Conflict::Form(_))));
    }
}

#[test]
fn what_ended_is_forgotten_in_its_order() {
    let mut book = ReplicatedState::initial("a");
    for n in 0..100 {
        let id = format!("c{n}");
        book = book.open(&id, 1, "b", "n0").unwrap().end(&id, Outcome::Abandoned, "late").unwrap();
    }
    assert_eq!((book.ended.len(), &*book.ended[0].id), (64, "c36"));
}
