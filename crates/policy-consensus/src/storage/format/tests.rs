use super::*;
use crate::{Ballot, ReplicatedState};

#[test]
fn a_file_is_read_as_it_was_written_or_told_for_what_it_is() {
    let accepted = Some((Ballot { round: 3, by: 4 }, ReplicatedState::initial("a")));
    let durable = DurableState { storage_id: 5, votes: true, accepted, ..DurableState::default() };
    let encoded = encode(&durable, "f", 1);
    assert_eq!(decode(&encoded, "f", 1), Ok(durable));
    assert_eq!(decode(&encoded, "g", 1), Err("foreign"));
    assert_eq!(decode(&encoded, "f", 2), Err("foreign"));
    for length in 0..encoded.len() {
        assert_eq!(decode(&encoded[..length], "f", 1), Err("torn"), "{length}");
    }
    for at in 8..encoded.len() {
        let mut spoilt = encoded.clone();
        spoilt[at] ^= 1;
        assert_eq!(decode(&spoilt, "f", 1), Err("torn"), "{at}");
    }
    let mut future = encoded.clone();
    future[7] = 2;
    assert_eq!(decode(&future, "f", 1), Err("future"));
    assert_eq!(decode(b"something that is longer than a head", "f", 1), Err("foreign"));
}
