//! The wire format of messages about the quota, compared with recorded bytes. Processes of
//! different versions exchange messages, so each version must read the messages of the other. Each
//! message begins with a digest of the settings, and messages with another digest are rejected, so
//! the digest must not change either. A failure here means that the program has changed its format;
//! the recorded bytes, which are older than some names in the code, must not be adapted.

use crate::message::{AcceptedView, LeaseGrant, LeaseRequest, RequestTime, VoteRequest, VoteResponse};
use crate::{decode, encode, Ballot, Message, Process, Settings, Timestamp, View};
use std::net::SocketAddr;
use std::time::Duration;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Asserts that the value is encoded as the recorded bytes, and that these are decoded as the
/// value.
fn assert_recorded(value: &Message, recorded: &str) {
    let written = hex(&encode(&settings(), value));
    assert_eq!(written, recorded, "encoding of {value:?}");
    assert_eq!(decode(&settings(), &bytes(recorded)).as_ref(), Ok(value), "decoding of {recorded}");
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7946))
}

fn address_v6() -> SocketAddr {
    SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, 7], 65_535))
}

/// Settings in which every field has a different value, so that exchanging two fields changes the
/// digest.
fn settings() -> Settings {
    Settings {
        founders: vec![address(1), address(2), address_v6()],
        size: 40,
        heartbeat_period: Duration::from_millis(300),
        vote_duration: Duration::from_millis(1200),
        lease_duration: Duration::from_millis(3000),
        max_attempt_duration: Duration::from_millis(2500),
        skew_percent: 2,
        growth_steps: 4,
    }
}

fn request_time(millis: u64) -> RequestTime {
    RequestTime::at(Timestamp::from_millis(millis))
}

fn process(host: u8) -> Process {
    Process { address: address(host), start: 1_700_000_000_000_000 + u64::from(host) }
}

fn ballot(round: u64, host: u8) -> Ballot {
    Ballot { round, proposer: process(host) }
}

fn view(number: u64) -> View {
    let v6 = Process { address: address_v6(), start: 9 };
    View { ballot: ballot(number + 100, 1), number, voters: vec![process(1), process(2), v6] }
}

fn vote_request(view: Option<View>, proposed_view: Option<View>) -> Message {
    let founding = view.is_none();
    let is_leader = view.is_some();
    let request = VoteRequest {
        ballot: ballot(3, 1),
        sent_at: request_time(123_456),
        founding,
        is_leader,
        view,
        proposed_view,
    };
    Message::VoteRequest(Box::new(request))
}

fn plain_vote_response() -> VoteResponse {
    VoteResponse {
        from: process(2),
        ballot: ballot(3, 1),
        request_sent_at: request_time(123_456),
        vote_granted: false,
        accepts: None,
        accepted: None,
        highest_ballot: ballot(4, 2),
        newer_view: None,
        highest_view_number: 17,
        leaving: false,
        lease_request: LeaseRequest {
            sent_at: request_time(234_567),
            held_parts: 55_000_000,
            held_since: request_time(345),
        },
    }
}

fn vote_response(change: impl FnOnce(&mut VoteResponse)) -> Message {
    let mut response = plain_vote_response();
    change(&mut response);
    Message::VoteResponse(Box::new(response))
}

fn lease_grant() -> Message {
    Message::LeaseGrant(LeaseGrant {
        from: process(1),
        to: process(2),
        request_sent_at: request_time(234_567),
        parts: 12_500_000,
        duration: Duration::from_millis(3000),
        view_number: 17,
    })
}

/// Returns the recorded bytes of a message without optional fields. The `match` has no wildcard, so
/// a new kind of message does not compile until its bytes are recorded.
fn recorded_plain(message: &Message) -> &'static str {
    match message {
        Message::VoteRequest(_) => "b2c683eaf08f9ff4350003000a0000018a3e8180f9c0c1c48203c0c40701000000",
        Message::VoteResponse(_) => {
            "b2c683eaf08f9ff43501000a0000028a3e8280f9c0c1c4820303000a0000018a3e8180f9c0c1\
             c48203c0c40700000004000a0000028a3e8280f9c0c1c48203001100c7a80ec0f79c1ad902"
        }
        Message::LeaseGrant(_) => {
            "b2c683eaf08f9ff43502000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9c0c1c4\
             8203c7a80ea0f8fa05b81711"
        }
    }
}

#[test]
fn every_kind_of_message_has_recorded_bytes() {
    for message in [vote_request(None, None), vote_response(|_| {}), lease_grant()] {
        assert_recorded(&message, recorded_plain(&message));
    }
}

#[test]
fn a_vote_request_with_its_optional_views_has_recorded_bytes() {
    assert_recorded(
        &vote_request(Some(view(17)), None),
        "b2c683eaf08f9ff4350003000a0000018a3e8180f9c0c1c48203c0c40700010175000a000001\
         8a3e8180f9c0c1c482031103000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9c0\
         c1c4820301fd000001000200030004000500060007ffff030900",
    );
    assert_recorded(
        &vote_request(None, Some(view(18))),
        "b2c683eaf08f9ff4350003000a0000018a3e8180f9c0c1c48203c0c4070100000176000a0000\
         018a3e8180f9c0c1c482031203000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9\
         c0c1c4820301fd000001000200030004000500060007ffff0309",
    );
    assert_recorded(
        &vote_request(Some(view(17)), Some(view(18))),
        "b2c683eaf08f9ff4350003000a0000018a3e8180f9c0c1c48203c0c40700010175000a000001\
         8a3e8180f9c0c1c482031103000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9c0\
         c1c4820301fd000001000200030004000500060007ffff03090176000a0000018a3e8180f9c0\
         c1c482031203000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9c0c1c4820301fd\
         000001000200030004000500060007ffff0309",
    );
}

#[test]
fn a_vote_response_with_each_optional_field_has_recorded_bytes() {
    let accepts = |response: &mut VoteResponse| {
        response.vote_granted = true;
        response.accepts = Some(ballot(3, 1));
    };
    let has_accepted = |response: &mut VoteResponse| {
        response.accepted = Some(AcceptedView { ballot: ballot(2, 2), view: view(18) });
    };
    let knows_newer = |response: &mut VoteResponse| response.newer_view = Some(view(19));
    assert_recorded(
        &vote_response(accepts),
        "b2c683eaf08f9ff43501000a0000028a3e8280f9c0c1c4820303000a0000018a3e8180f9c0c1\
         c48203c0c407010103000a0000018a3e8180f9c0c1c482030004000a0000028a3e8280f9c0c1\
         c48203001100c7a80ec0f79c1ad902",
    );
    assert_recorded(
        &vote_response(has_accepted),
        "b2c683eaf08f9ff43501000a0000028a3e8280f9c0c1c4820303000a0000018a3e8180f9c0c1\
         c48203c0c40700000102000a0000028a3e8280f9c0c1c4820376000a0000018a3e8180f9c0c1\
         c482031203000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9c0c1c4820301fd00\
         0001000200030004000500060007ffff030904000a0000028a3e8280f9c0c1c48203001100c7\
         a80ec0f79c1ad902",
    );
    assert_recorded(
        &vote_response(knows_newer),
        "b2c683eaf08f9ff43501000a0000028a3e8280f9c0c1c4820303000a0000018a3e8180f9c0c1\
         c48203c0c40700000004000a0000028a3e8280f9c0c1c482030177000a0000018a3e8180f9c0\
         c1c482031303000a0000018a3e8180f9c0c1c48203000a0000028a3e8280f9c0c1c4820301fd\
         000001000200030004000500060007ffff03091100c7a80ec0f79c1ad902",
    );
    assert_recorded(
        &vote_response(|response| response.leaving = true),
        "b2c683eaf08f9ff43501000a0000028a3e8280f9c0c1c4820303000a0000018a3e8180f9c0c1\
         c48203c0c40700000004000a0000028a3e8280f9c0c1c48203001101c7a80ec0f79c1ad902",
    );
    let all = |response: &mut VoteResponse| {
        accepts(response);
        has_accepted(response);
        knows_newer(response);
        response.leaving = true;
    };
    assert_recorded(
        &vote_response(all),
        "b2c683eaf08f9ff43501000a0000028a3e8280f9c0c1c4820303000a0000018a3e8180f9c0c1\
         c48203c0c407010103000a0000018a3e8180f9c0c1c482030102000a0000028a3e8280f9c0c1\
         c4820376000a0000018a3e8180f9c0c1c482031203000a0000018a3e8180f9c0c1c48203000a\
         0000028a3e8280f9c0c1c4820301fd000001000200030004000500060007ffff030904000a00\
         00028a3e8280f9c0c1c482030177000a0000018a3e8180f9c0c1c482031303000a0000018a3e\
         8180f9c0c1c48203000a0000028a3e8280f9c0c1c4820301fd00000100020003000400050006\
         0007ffff03091101c7a80ec0f79c1ad902",
    );
}

/// Only processes with equal digests accept each other's messages.
#[test]
fn the_digest_of_settings_is_the_recorded_one() {
    assert_eq!(settings().check(), Ok(()));
    assert_eq!(hex(&settings().digest().to_be_bytes()), "35e87c7f0d40e332");
    // The heartbeat period and the growth steps may differ between processes.
    let other = Settings { heartbeat_period: Duration::from_millis(250), growth_steps: 9, ..settings() };
    assert_eq!(other.digest(), settings().digest());
}
