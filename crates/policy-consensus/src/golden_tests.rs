//! The recorded bytes of the messages of policy consensus, as an earlier version of this program
//! encoded them. They must not change: processes of different versions exchange messages, so that
//! each version must read the messages of the other. A failure here means that the program has
//! changed its format; do not adapt the recorded bytes.

use crate::messages::{decode, encode, Message, Reply};
use crate::{
    AcceptedState, AcceptorReply, AcceptorSnapshot, Ballot, BlockingLease, Change, ChangeReadiness,
    ChangeSummary, Digest, FinishedChange, LeaseHolder, LeaseRequest, Outcome, Readiness, ReplicatedState,
    Stage, StateSummary, StorageId, VoterId, VotingStatus,
};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Asserts that the value is encoded as the recorded bytes, and that the recorded bytes are decoded
/// as the value.
fn assert_recorded<T>(value: &T, recorded: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(hex(&encode(value)), recorded, "encoding of {value:?}");
    assert_eq!(decode(&bytes(recorded)).as_ref(), Some(value), "decoding of {recorded}");
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 0x0123_4567_89ab_cdef }
}

fn change(stage: Stage) -> Change {
    Change { id: "c4".to_owned(), text: "grades: 3".into(), stage, attempt: 2, proposer: "n1".to_owned() }
}

fn finished(outcome: Outcome) -> FinishedChange {
    FinishedChange {
        id: "c3".to_owned(),
        version: 8,
        digest: Digest(0xfeed_f00d),
        outcome,
        reason: "n2: no".to_owned(),
    }
}

fn state(open_change: Option<Change>, finished_changes: Vec<FinishedChange>) -> ReplicatedState {
    ReplicatedState { revision: 300, version: 7, text: "grades: 2".into(), open_change, finished_changes }
}

/// Returns a state with a finished change of each outcome and an open change.
fn full_state() -> ReplicatedState {
    let outcomes = [Outcome::Committed, Outcome::Rejected, Outcome::Abandoned];
    state(Some(change(Stage::Closing)), outcomes.map(finished).to_vec())
}

fn plain_state() -> ReplicatedState {
    state(None, Vec::new())
}

fn summary(open_change: Option<ChangeSummary>) -> StateSummary {
    StateSummary {
        revision: 300,
        version: 7,
        digest: Digest(0xabcd),
        open_change,
        last_finished: Digest(0x1234),
    }
}

fn change_summary(stage: Stage) -> ChangeSummary {
    ChangeSummary { id: "c4".to_owned(), digest: Digest(0xfeed), stage, attempt: 2 }
}

fn lease_request(readiness: Option<Readiness>) -> LeaseRequest {
    let readiness = readiness.map(|readiness| ChangeReadiness { change_id: "c4".to_owned(), readiness });
    LeaseRequest { sequence: 300, version: 7, wants_lease: true, readiness, fails_open: false }
}

fn storage_ids() -> BTreeMap<VoterId, StorageId> {
    BTreeMap::from([(VoterId(0), StorageId(99)), (VoterId(2), StorageId(u64::MAX))])
}

fn blocking_leases() -> Vec<BlockingLease> {
    let lease =
        |holder: &str, ms| BlockingLease { holder: holder.to_owned(), remaining: Duration::from_millis(ms) };
    vec![lease("n1", 1500), lease("n2", 3)]
}

fn holders() -> Vec<LeaseHolder> {
    let holder = |name: &str, is_ready, ms| LeaseHolder {
        name: name.to_owned(),
        is_ready,
        remaining: Duration::from_millis(ms),
    };
    vec![holder("n1", true, 1500), holder("n2", false, 3)]
}

/// Returns the recorded bytes of each kind of message. Does not compile when a kind of message is
/// added, until its bytes are recorded as well.
fn recorded_message(message: &Message) -> &'static str {
    match message {
        Message::Prepare(_) => "00ac02ef9bafcdf8acd19101",
        Message::Accept { .. } => {
            "01ac02ef9bafcdf8acd19101ac0207096772616465733a203201026334096772616465733a20\
             330102026e3103026333088de0b7f70f00066e323a206e6f026333088de0b7f70f01066e323a\
             206e6f026333088de0b7f70f02066e323a206e6f02006302ffffffffffffffffff01"
        }
        Message::RegisterStorage { .. } => "020263",
        Message::RequestLease(_) => "03ac0207010000",
        Message::ListHolders { .. } => "04026334",
        Message::FetchState { .. } => "05ac02",
        Message::Decided(_) => "06ac0207cdd70200b424",
        Message::Application { .. } => "0704056f74686572",
        Message::WaitingFor { .. } => "0802633402026e31026e32",
    }
}

#[test]
fn every_kind_of_message_has_recorded_bytes() {
    let messages = [
        Message::Prepare(ballot(300)),
        Message::Accept { ballot: ballot(300), state: Box::new(full_state()), storage_ids: storage_ids() },
        Message::RegisterStorage { voter: VoterId(2), storage_id: StorageId(99) },
        Message::RequestLease(lease_request(None)),
        Message::ListHolders { change_id: "c4".to_owned() },
        Message::FetchState { min_revision: 300 },
        Message::Decided(summary(None)),
        Message::Application { channel: 4, body: b"other".to_vec() },
        Message::WaitingFor { change_id: "c4".to_owned(), names: vec!["n1".to_owned(), "n2".to_owned()] },
    ];
    for message in messages {
        assert_recorded(&message, recorded_message(&message));
    }
}

/// Returns the recorded bytes of each kind of reply. Does not compile when a kind of reply or vote
/// is added, until its bytes are recorded as well.
fn recorded_reply(reply: &Reply) -> &'static str {
    match reply {
        Reply::Acceptor(reply) => match reply {
            AcceptorReply::Promised { accepted: None, .. } => "00000063",
            AcceptorReply::Promised { accepted: Some(_), .. } => {
                "000001ab02ef9bafcdf8acd19101ac0207096772616465733a20320102633409677261646573\
                 3a20330102026e3103026333088de0b7f70f00066e323a206e6f026333088de0b7f70f01066e\
                 323a206e6f026333088de0b7f70f02066e323a206e6f63"
            }
            AcceptorReply::Accepted => "0001",
            AcceptorReply::Preempted(_) => "0002ad02ef9bafcdf8acd19101",
            AcceptorReply::StorageReplaced => "0003",
            AcceptorReply::Blocked(_) => "000402026e31dc0b026e3203",
            AcceptorReply::Unavailable => "0005",
        },
        Reply::StorageRegistered(AcceptorSnapshot { accepted: None, .. }) => "010100ac02ef9bafcdf8acd19101",
        Reply::StorageRegistered(AcceptorSnapshot { accepted: Some(_), .. }) => {
            "010101ab02ef9bafcdf8acd19101ac0207096772616465733a20320102633409677261646573\
             3a20330102026e3103026333088de0b7f70f00066e323a206e6f026333088de0b7f70f01066e\
             323a206e6f026333088de0b7f70f02066e323a206e6fac02ef9bafcdf8acd19101"
        }
        Reply::Lease { .. } => "0201ac0207cdd70201026334edfd030102b424",
        Reply::Holders(_) => "0302026e3101dc0b026e320003",
        Reply::State(_) => "04ac0207096772616465733a20320000",
    }
}

#[test]
fn every_kind_of_reply_has_recorded_bytes() {
    let accepted = || Some(AcceptedState { ballot: ballot(299), state: full_state() });
    let promised = |accepted| AcceptorReply::Promised { accepted, storage_id: StorageId(99) };
    let registered =
        |accepted| AcceptorSnapshot { voting: VotingStatus::Voting, accepted, promised: ballot(300) };
    let replies = [
        Reply::Acceptor(promised(None)),
        Reply::Acceptor(promised(accepted())),
        Reply::Acceptor(AcceptorReply::Accepted),
        Reply::Acceptor(AcceptorReply::Preempted(ballot(301))),
        Reply::Acceptor(AcceptorReply::StorageReplaced),
        Reply::Acceptor(AcceptorReply::Blocked(blocking_leases())),
        Reply::Acceptor(AcceptorReply::Unavailable),
        Reply::StorageRegistered(registered(None)),
        Reply::StorageRegistered(registered(accepted())),
        Reply::Lease { is_granted: true, summary: summary(Some(change_summary(Stage::Closing))) },
        Reply::Holders(holders()),
        Reply::State(Box::new(plain_state())),
    ];
    for reply in replies {
        assert_recorded(&reply, recorded_reply(&reply));
    }
}

#[test]
fn each_stage_of_a_change_has_recorded_bytes() {
    // Does not compile when a stage is added.
    let recorded = |stage: Stage| match stage {
        Stage::Preparing { strict: false } => (
            "ac0207096772616465733a203201026334096772616465733a2033000002026e3100",
            "06ac0207cdd70201026334edfd03000002b424",
        ),
        Stage::Preparing { strict: true } => (
            "ac0207096772616465733a203201026334096772616465733a2033000102026e3100",
            "06ac0207cdd70201026334edfd03000102b424",
        ),
        Stage::Closing => (
            "ac0207096772616465733a203201026334096772616465733a20330102026e3100",
            "06ac0207cdd70201026334edfd030102b424",
        ),
    };
    let preparing = |strict| Stage::Preparing { strict };
    for stage in [preparing(false), preparing(true), Stage::Closing] {
        let (in_state, in_summary) = recorded(stage);
        assert_recorded(&state(Some(change(stage)), Vec::new()), in_state);
        assert_recorded(&Message::Decided(summary(Some(change_summary(stage)))), in_summary);
    }
}

#[test]
fn each_outcome_of_a_change_has_recorded_bytes() {
    // Does not compile when an outcome is added.
    let recorded = |outcome: Outcome| match outcome {
        Outcome::Committed => "ac0207096772616465733a20320001026333088de0b7f70f00066e323a206e6f",
        Outcome::Rejected => "ac0207096772616465733a20320001026333088de0b7f70f01066e323a206e6f",
        Outcome::Abandoned => "ac0207096772616465733a20320001026333088de0b7f70f02066e323a206e6f",
    };
    for outcome in [Outcome::Committed, Outcome::Rejected, Outcome::Abandoned] {
        assert_recorded(&state(None, vec![finished(outcome)]), recorded(outcome));
    }
}

#[test]
fn each_readiness_of_a_process_has_recorded_bytes() {
    // Does not compile when a variant of `Readiness` is added.
    let recorded = |readiness: &Readiness| match readiness {
        Readiness::Ready => "03ac020701010263340000",
        Readiness::Rejected(_) => "03ac0207010102633401106772616465733a20746f6f206d616e7900",
    };
    for readiness in [Readiness::Ready, Readiness::Rejected("grades: too many".to_owned())] {
        let recorded = recorded(&readiness);
        assert_recorded(&Message::RequestLease(lease_request(Some(readiness))), recorded);
    }
}

/// Processes compare the summaries of their states.
///
/// Invariant: the last field of a summary is a digest of a text with the field and outcome names of
/// the first version of this program; these names are part of the format.
#[test]
fn the_summary_of_a_state_has_the_recorded_digests() {
    let recorded = |outcome: Outcome| match outcome {
        Outcome::Committed => {
            "ac0207a29ecf84fdc4899def01010263349ce6c0\
             ffd0dcd49f8401010296e1b2b59cb6858e7f"
        }
        Outcome::Rejected => {
            "ac0207a29ecf84fdc4899def01010263349ce6c0\
             ffd0dcd49f84010102edcdea9bc2b1e7eb3a"
        }
        Outcome::Abandoned => {
            "ac0207a29ecf84fdc4899def01010263349ce6c0\
             ffd0dcd49f84010102cef3b9d6fb819ddb4f"
        }
    };
    for outcome in [Outcome::Committed, Outcome::Rejected, Outcome::Abandoned] {
        let state = state(Some(change(Stage::Closing)), vec![finished(outcome)]);
        assert_recorded(&state.summary(), recorded(outcome));
    }
    assert_recorded(&ReplicatedState::initial("grades: 1").summary(), "0101a2f2c8f8bff6efc13c0000");
}
