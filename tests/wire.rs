//! Tests of the simulator's codec on hand-made frames, and of the adapter process on bad input.

mod common;

use pinetrail::interface::*;
use pinetrail::time::{TimeSpan, Timestamp};
use pinetrail::wire::{read_batch, Batch, Message, Reply, WireError};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn frame(now: f64, count: u32, body: &[u8]) -> Vec<u8> {
    let mut out = now.to_be_bytes().to_vec();
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(count.to_be_bytes());
    out.extend(body);
    out
}

fn decode(bytes: &[u8]) -> Result<Option<Batch>, WireError> {
    read_batch(&mut &bytes[..], &mut 0)
}

#[test]
fn an_empty_batch_and_the_clean_end() {
    let batch = decode(&frame(240.0, 0, &[])).unwrap().unwrap();
    assert_eq!((batch.now, batch.messages.len()), (Timestamp::from_ms(240.0), 0));
    assert!(decode(&[]).unwrap().is_none());
    assert_eq!(Reply::default().frame(), vec![0; 8]);
}

#[test]
fn every_event_is_read() {
    let request =
        "03 00000003 0000000000000011 02 00000001 00000000000000aa 4059000000000000 4028000000000000
                   44e10000 0005";
    let list = "02 00000003 01 00000007 00000001 00000009 0001 02 0004 02 3fc00000 40b7d40000000000";
    let end = "05 00000003 0000000000000011 4032000000000000 00000002 01 00000009 00 0009 01 3f800000";
    let opened = "04 00000003 0000000000000011 00000009 00 4022000000000000";
    let gone = "06 00000003 0000000000000011";
    let timer = "07 00000003 000000000000004d";
    let probed = "08 00000003 3ff0000000000000 0001 00000009 00";
    let peer = "09 00000003 00000002 0002 6869";
    let kill = "0a 00000003";
    let attach = "01 00000003 0000000000000005 00000002 7b7d";
    let all = [attach, list, request, opened, end, gone, timer, probed, peer, kill].concat();
    let batch = decode(&frame(1.5, 10, &hex(&all))).unwrap().unwrap();
    let messages: Vec<Message> = batch.messages.into_iter().map(|addressed| addressed.message).collect();
    let expected = [
        Message::Attach { seed: 5, settings: b"{}".to_vec() },
        Message::Event(Event::EndpointList {
            form: ListForm::Delta,
            endpoints: vec![EndpointInfo {
                backend: BackendId(9),
                zone: 1,
                kind: 2,
                cell: 4,
                state: EndpointState::Draining,
                weight: 1.5,
                started_at: Timestamp::from_ms(6100.0),
            }],
        }),
        Message::Event(Event::Request(Request {
            id: RequestId(17),
            class: 2,
            tenant: 1,
            key: Key(0xaa),
            budget: TimeSpan::from_ms(100.0),
            work_hint: Some(TimeSpan::from_ms(12.0)),
            is_repeat: false,
            is_write: true,
        })),
        Message::Event(Event::StreamBegan(RequestId(17))),
        Message::Event(Event::AttemptEnd(AttemptEnd {
            id: RequestId(17),
            attempt: 1,
            backend: BackendId(9),
            latency: TimeSpan::from_ms(18.0),
            is_request_finished: false,
            outcome: Outcome::Miss,
            load_report: vec![1.0],
        })),
        Message::Event(Event::ClientGone(RequestId(17))),
        Message::Event(Event::Timer(0x4d)),
        Message::Event(Event::Probed { backend: BackendId(9), answered: true, load_report: vec![] }),
        Message::Event(Event::PeerMessage { from: 2, payload: b"hi".to_vec() }),
        Message::Kill,
    ];
    assert_eq!(messages, expected);
}

#[test]
fn every_action_is_written() {
    let mut reply = Reply::default();
    let span = TimeSpan::from_ms;
    let actions = [
        Action::StartAttempt {
            request: RequestId(0x11),
            backend: BackendId(9),
            timeout: span(80.0),
            send_within: span(60.0),
        },
        Action::Reject {
            request: RequestId(0x11),
            retry_after: span(250.0),
            reason: GiveUpReason::QueuedTooLong,
        },
        Action::Fail { request: RequestId(0x11), reason: GiveUpReason::RepeatUnsafe },
        Action::SetTimer { delay: span(500.0), token: 0x4d },
        Action::Subscribe,
    ];
    for action in &actions {
        reply.push(3, action);
    }
    reply.fault(3, "c");
    let body = hex("09 00000003 0000000000000011 00000009 4054000000000000
        07 00000003 0000000000000011 406f400000000000
        06 00000003 0000000000000011
        0b 00000003 407f400000000000 000000000000004d
        0a 00000003 01
        01 00000003 0001 63");
    let mut expected = (body.len() as u32).to_be_bytes().to_vec();
    expected.extend(6u32.to_be_bytes());
    expected.extend(body);
    assert_eq!(reply.frame(), expected);
}

#[test]
fn malformed_frames_are_named_with_their_offset() {
    let error_text = |bytes: &[u8]| decode(bytes).unwrap_err().to_string();
    assert_eq!(error_text(&[1, 2, 3]), "input ends inside the batch header at offset 0");
    assert_eq!(error_text(&frame(0.0, 1, &hex("63 00000001"))), "unknown record code 99 at offset 16");
    assert_eq!(error_text(&frame(0.0, 1, &hex("07 00000001 0000"))), "input ends inside Alarm at offset 21");
    assert_eq!(error_text(&frame(0.0, 0, &[7])), "1 bytes left behind the last record at offset 16");
    let mut huge = frame(0.0, 0, &[]);
    huge[8] = 0xff;
    assert!(error_text(&huge).starts_with("impossible length"));
    let mut short = frame(0.0, 1, &hex("0a 00000003"));
    short.pop();
    assert_eq!(error_text(&short), "input ends inside a batch at offset 20");
    // A count far beyond the data must not reserve memory for it.
    let list = hex("02 00000003 01 00000007 ffffffff");
    assert_eq!(error_text(&frame(0.0, 1, &list)), "input ends inside a list entry at offset 30");
}

#[test]
fn no_prefix_of_a_batch_panics() {
    let list = "02 00000003 01 00000007 00000001 00000009 0001 02 0004 02 3fc00000 40b7d40000000000";
    let whole = frame(0.0, 1, &hex(list));
    for cut in 1..whole.len() {
        assert!(decode(&whole[..cut]).is_err(), "cut at {cut}");
    }
}

fn adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pinetrail-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn the_adapter_ends_cleanly_between_frames_and_reports_an_end_within() {
    let good = adapter(&frame(0.0, 0, &[]));
    assert!(good.status.success());
    assert_eq!(good.stdout, vec![0; 8]);
    let bad = adapter(&frame(0.0, 1, &hex("63 00000001")));
    assert!(!bad.status.success());
    assert_eq!(String::from_utf8(bad.stderr).unwrap().lines().count(), 1);
}

#[test]
fn settings_that_lack_a_field_are_a_fault_that_names_it() {
    let attach = |text: &[u8]| {
        let mut body = hex("01 00000003 0000000000000005");
        body.extend((text.len() as u32).to_be_bytes());
        body.extend(text);
        let output = adapter(&frame(0.0, 1, &body));
        assert!(output.status.success());
        output.stdout
    };
    let lacking = common::settings_json(true).replace("\"TipAfter\"", "\"Other\"");
    let reply = attach(lacking.as_bytes());
    assert_eq!(reply[8], 1, "the reply's record is not a fault");
    assert!(String::from_utf8_lossy(&reply).contains("TipAfter"));
    assert_eq!(attach(b"nonsense")[8], 1);
    assert_eq!(attach(common::settings_json(true).as_bytes()), vec![0; 8]);
}
