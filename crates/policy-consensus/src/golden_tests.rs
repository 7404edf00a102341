//! The bytes in which processes tell and ask each other about the book, recorded from
//! the program before names in it were changed. They must not change: processes of different
//! versions talk to each other, so a new version must write what an old one reads, and read what
//! an old one writes. A test that fails here says that the program has changed its format; the
//! recorded bytes are not to be adapted.

use crate::messages::{decode, encode, Message, Reply};
use crate::{AcceptorReply, AcceptorSnapshot, Readiness, Stage};
use crate::{
    Ballot, Change, ChangeSummary, Digest, FinishedChange, LeaseRequest, Outcome, ReplicatedState,
    StateSummary,
};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// The value is written as the recorded bytes, and the recorded bytes are read as the value.
fn assert_recorded<T>(value: &T, recorded: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(hex(&encode(value)), recorded, "encoding of {value:?}");
    assert_eq!(decode(&bytes(recorded)).as_ref(), Some(value), "decoding of {recorded}");
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 0x0123_4567_89ab_cdef }
}

fn change(stage: Stage) -> Change {
    let (id, by) = ("c4".to_owned(), "n1".to_owned());
    Change { id, text: "grades: 3".into(), stage, attempt: 2, by }
}

fn ended(outcome: Outcome) -> FinishedChange {
    let (id, why) = ("c3".to_owned(), "n2: no".to_owned());
    FinishedChange { id, version: 8, digest: Digest(0xfeed_f00d), outcome, why }
}

fn book(change: Option<Change>, ended: Vec<FinishedChange>) -> ReplicatedState {
    ReplicatedState { revision: 300, version: 7, text: "grades: 2".into(), change, ended }
}

/// A book with each outcome and an open change.
fn full_book() -> ReplicatedState {
    let outcomes = [Outcome::Committed, Outcome::Rejected, Outcome::Abandoned];
    book(Some(change(Stage::Closing)), outcomes.map(ended).to_vec())
}

fn plain_book() -> ReplicatedState {
    book(None, Vec::new())
}

fn summary(change: Option<ChangeSummary>) -> StateSummary {
    StateSummary { revision: 300, version: 7, digest: Digest(0xabcd), change, last: Digest(0x1234) }
}

fn open(stage: Stage) -> ChangeSummary {
    ChangeSummary { id: "c4".to_owned(), digest: Digest(0xfeed), stage, attempt: 2 }
}

fn asked(word: Option<Readiness>) -> LeaseRequest {
    let word = word.map(|word| ("c4".to_owned(), word));
    LeaseRequest { number: 300, version: 7, admits: true, word, serves_on: false }
}

fn storage_ids() -> BTreeMap<u8, u64> {
    BTreeMap::from([(0, 99), (2, u64::MAX)])
}

/// Does not compile when a kind of message is added, until its bytes are recorded as well.
fn recorded_message(message: &Message) -> &'static str {
    match message {
        Message::Prepare(_) => "00ac02ef9bafcdf8acd19101",
        Message::Accept(..) => {
            "01ac02ef9bafcdf8acd19101ac0207096772616465733a203201026334096772616465733a20\
             330102026e3103026333088de0b7f70f00066e323a206e6f026333088de0b7f70f01066e323a\
             206e6f026333088de0b7f70f02066e323a206e6f02006302ffffffffffffffffff01"
        }
        Message::RegisterStorage(..) => "020263",
        Message::RequestLease(_) => "03ac0207010000",
        Message::ListHolders(_) => "04026334",
        Message::FetchState(_) => "05ac02",
        Message::Decided(_) => "06ac0207cdd70200b424",
        Message::Application(..) => "0704056f74686572",
        Message::WaitingFor(..) => "0802633402026e31026e32",
    }
}

#[test]
fn every_kind_of_message_has_recorded_bytes() {
    let messages = [
        Message::Prepare(ballot(300)),
        Message::Accept(ballot(300), Box::new(full_book()), storage_ids()),
        Message::RegisterStorage(2, 99),
        Message::RequestLease(asked(None)),
        Message::ListHolders("c4".to_owned()),
        Message::FetchState(300),
        Message::Decided(summary(None)),
        Message::Application(4, b"other".to_vec()),
        Message::WaitingFor("c4".to_owned(), vec!["n1".to_owned(), "n2".to_owned()]),
    ];
    for message in messages {
        assert_recorded(&message, recorded_message(&message));
    }
}

/// Does not compile when a kind of reply or vote is added, until its bytes are recorded as well.
fn recorded_reply(reply: &Reply) -> &'static str {
    match reply {
        Reply::Acceptor(vote) => match vote {
            AcceptorReply::Promised(None, _) => "00000063",
            AcceptorReply::Promised(Some(_), _) => {
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
        Reply::Lease(..) => "0201ac0207cdd70201026334edfd030102b424",
        Reply::Holders(_) => "0302026e3101dc0b026e320003",
        Reply::State(_) => "04ac0207096772616465733a20320000",
    }
}

#[test]
fn every_kind_of_reply_has_recorded_bytes() {
    let accepted = || Some((ballot(299), full_book()));
    let registered = |accepted| AcceptorSnapshot { votes: true, accepted, promised: ballot(300) };
    let replies = [
        Reply::Acceptor(AcceptorReply::Promised(None, 99)),
        Reply::Acceptor(AcceptorReply::Promised(accepted(), 99)),
        Reply::Acceptor(AcceptorReply::Accepted),
        Reply::Acceptor(AcceptorReply::Preempted(ballot(301))),
        Reply::Acceptor(AcceptorReply::StorageReplaced),
        Reply::Acceptor(AcceptorReply::Blocked(vec![("n1".to_owned(), 1500), ("n2".to_owned(), 3)])),
        Reply::Acceptor(AcceptorReply::Unavailable),
        Reply::StorageRegistered(registered(None)),
        Reply::StorageRegistered(registered(accepted())),
        Reply::Lease(true, summary(Some(open(Stage::Closing)))),
        Reply::Holders(vec![("n1".to_owned(), true, 1500), ("n2".to_owned(), false, 3)]),
        Reply::State(Box::new(plain_book())),
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
        let (in_book, in_head) = recorded(stage);
        assert_recorded(&book(Some(change(stage)), Vec::new()), in_book);
        assert_recorded(&Message::Decided(summary(Some(open(stage)))), in_head);
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
        assert_recorded(&book(None, vec![ended(outcome)]), recorded(outcome));
    }
}

#[test]
fn each_opinion_of_a_process_about_a_change_has_recorded_bytes() {
    // Does not compile when an opinion is added.
    let recorded = |word: &Readiness| match word {
        Readiness::Ready => "03ac020701010263340000",
        Readiness::Rejected(_) => "03ac0207010102633401106772616465733a20746f6f206d616e7900",
    };
    for word in [Readiness::Ready, Readiness::Rejected("grades: too many".to_owned())] {
        let recorded = recorded(&word);
        assert_recorded(&Message::RequestLease(asked(Some(word))), recorded);
    }
}

/// Processes compare heads. Danger: its last field is a digest of how `Debug` prints [`FinishedChange`], so
/// the names of that struct, of its fields and of [`Outcome`]'s variants are part of the format.
#[test]
fn the_head_of_a_book_has_the_recorded_digests() {
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
        let book = book(Some(change(Stage::Closing)), vec![ended(outcome)]);
        assert_recorded(&book.summary(), recorded(outcome));
    }
    assert_recorded(&ReplicatedState::initial("grades: 1").summary(), "0101a2f2c8f8bff6efc13c0000");
}
