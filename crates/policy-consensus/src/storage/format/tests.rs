use super::*;
use crate::{Ballot, ReplicatedState};

#[test]
fn a_file_is_read_as_it_was_written_or_told_for_what_it_is() {
    let accepted = Some((Ballot { round: 3, by: 4 }, ReplicatedState::first("a")));
    let durable = DurableState { memory: 5, votes: true, accepted, ..DurableState::default() };
    let sealed = seal(&durable, "f", 1);
    assert_eq!(open(&sealed, "f", 1), Ok(durable));
    assert_eq!(open(&sealed, "g", 1), Err("foreign"));
    assert_eq!(open(&sealed, "f", 2), Err("foreign"));
    for length in 0..sealed.len() {
        assert_eq!(open(&sealed[..length], "f", 1), Err("torn"), "{length}");
    }
    for at in 8..sealed.len() {
        let mut spoilt = sealed.clone();
        spoilt[at] ^= 1;
        assert_eq!(open(&spoilt, "f", 1), Err("torn"), "{at}");
    }
    let mut future = sealed.clone();
    future[7] = 2;
    assert_eq!(open(&future, "f", 1), Err("future"));
    assert_eq!(open(b"something that is longer than a head", "f", 1), Err("foreign"));
}
