use super::*;
use crate::{AcceptedState, Ballot, ReplicatedState, StorageId, VotingStatus};

const VOTER: VoterId = VoterId(1);

#[test]
fn a_file_decodes_to_the_encoded_state_and_damage_has_its_own_error() {
    let ballot = Ballot { round: 3, proposer: 4 };
    let accepted = Some(AcceptedState { ballot, state: ReplicatedState::initial("a") });
    let durable = DurableState {
        storage_id: StorageId(5),
        voting: VotingStatus::Voting,
        accepted,
        ..DurableState::default()
    };

    let encoded = encode(&durable, "f", VOTER);

    assert_eq!(decode(&encoded, "f", VOTER), Ok(durable));
    assert_eq!(decode(&encoded, "g", VOTER), Err(DecodeError::OtherCluster));
    assert_eq!(decode(&encoded, "f", VoterId(2)), Err(DecodeError::OtherCluster));
    for length in 0..encoded.len() {
        assert_eq!(decode(&encoded[..length], "f", VOTER), Err(DecodeError::Corrupt), "{length}");
    }
    for position in 8..encoded.len() {
        let mut damaged = encoded.clone();
        damaged[position] ^= 1;
        assert_eq!(decode(&damaged, "f", VOTER), Err(DecodeError::Corrupt), "{position}");
    }
    let mut newer = encoded.clone();
    newer[7] = 2;
    assert_eq!(decode(&newer, "f", VOTER), Err(DecodeError::NewerVersion));
    let other_file = b"something that is longer than a head";
    assert_eq!(decode(other_file, "f", VOTER), Err(DecodeError::OtherCluster));
}

/// Operators rely on the names of files that were set aside.
#[test]
fn each_decode_error_has_its_own_file_suffix() {
    assert_eq!(DecodeError::Corrupt.file_suffix(), "torn");
    assert_eq!(DecodeError::OtherCluster.file_suffix(), "foreign");
    assert_eq!(DecodeError::NewerVersion.file_suffix(), "future");
}
