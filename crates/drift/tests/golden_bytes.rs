//! Guards against a change of the format of messages about drift. Processes of different versions
//! exchange these messages, so that a new version must write what an old one reads, and read what
//! an old one writes. If a test here fails, the program is to be corrected, not the recorded bytes.

use pinetrail_drift::{DriftMessage, ProcessKey, ProcessStatus, Report};
use std::collections::BTreeMap;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Asserts that the message is encoded as the recorded bytes and that these are decoded as the
/// message.
fn assert_recorded(value: &DriftMessage, recorded: &str) {
    assert_eq!(hex(&value.encode()), recorded, "encoding of {value:?}");
    assert_eq!(DriftMessage::decode(&bytes(recorded)).as_ref(), Some(value), "decoding of {recorded}");
}

fn process(name: &str, start: u64) -> ProcessKey {
    ProcessKey { name: name.to_owned(), start }
}

/// Returns a report in which each field has a value that appears nowhere else in the report, so
/// that swapped fields change the bytes.
fn report(status: ProcessStatus) -> Report {
    Report {
        sequence: 300,
        version: 7,
        status,
        part_digests: BTreeMap::from([
            ("Grades".to_owned(), 0x0123_4567_89ab_cdef),
            ("Safety".to_owned(), u64::MAX),
        ]),
        raised_alarms: vec![process("n1", 1_700_000_000_000_000), process("n2", 5)],
    }
}

/// Returns the recorded bytes of the report with this status. The `match` does not compile until a
/// new variant has recorded bytes.
fn recorded_report(status: ProcessStatus) -> &'static str {
    match status {
        ProcessStatus::Admitting => {
            "00ac0207000206477261646573ef9bafcdf8acd1910106536166657479ffffffffffffffffff\
             0102026e318080f9c0c1c48203026e3205"
        }
        ProcessStatus::Fenced => {
            "00ac0207010206477261646573ef9bafcdf8acd1910106536166657479ffffffffffffffffff\
             0102026e318080f9c0c1c48203026e3205"
        }
        ProcessStatus::CatchingUp => {
            "00ac0207020206477261646573ef9bafcdf8acd1910106536166657479ffffffffffffffffff\
             0102026e318080f9c0c1c48203026e3205"
        }
    }
}

#[test]
fn a_report_has_the_recorded_bytes_for_each_state_of_admission() {
    for status in [ProcessStatus::Admitting, ProcessStatus::Fenced, ProcessStatus::CatchingUp] {
        assert_recorded(&DriftMessage::Report(report(status)), recorded_report(status));
    }
}

#[test]
fn an_empty_report_has_the_recorded_bytes() {
    let empty = Report {
        sequence: 0,
        version: 0,
        status: ProcessStatus::CatchingUp,
        part_digests: BTreeMap::new(),
        raised_alarms: Vec::new(),
    };
    assert_recorded(&DriftMessage::Report(empty), "000000020000");
}

/// The `match` does not compile until a new kind of message has recorded bytes.
#[test]
fn every_kind_of_message_has_recorded_bytes() {
    let recorded = |message: &DriftMessage| match message {
        DriftMessage::Report(report) => recorded_report(report.status),
        DriftMessage::AlarmRaised(_) => "01026e318080f9c0c1c48203",
    };
    let raised = DriftMessage::AlarmRaised(process("n1", 1_700_000_000_000_000));
    for message in [DriftMessage::Report(report(ProcessStatus::Fenced)), raised] {
        assert_recorded(&message, recorded(&message));
    }
}
