use super::*;
use crate::message::{AcceptedView, LeaseRequest, RequestTime, VoteRequest, VoteResponse};
use crate::settings::MAX_FOUNDERS;
use crate::view::{Ballot, Process, View};
use pinetrail_clock::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// The request time that has the longest encoding.
fn latest() -> RequestTime {
    RequestTime::at(Timestamp::from_millis(u64::MAX))
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, host as u16], 65_535))
}

fn process(host: usize) -> Process {
    Process { address: address(host), start: u64::MAX / 2 }
}

/// Settings with the maximum number of founders.
fn largest_settings() -> Settings {
    let settings = Settings::with_defaults((0..MAX_FOUNDERS).map(address).collect(), 40);
    assert_eq!(settings.check(), Ok(()));
    settings
}

fn latest_ballot() -> Ballot {
    Ballot { round: u64::MAX, proposer: process(1) }
}

fn largest_view() -> View {
    let voters = (0..MAX_FOUNDERS).map(process).collect();
    View { ballot: latest_ballot(), number: u64::MAX, voters }
}

fn longest_vote_request() -> Message {
    Message::VoteRequest(Box::new(VoteRequest {
        ballot: latest_ballot(),
        sent_at: latest(),
        founding: false,
        is_leader: true,
        view: Some(largest_view()),
        proposed_view: Some(largest_view()),
    }))
}

/// The longest response, whose voter has accepted a view.
fn longest_vote_response() -> Message {
    let ballot = latest_ballot();
    Message::VoteResponse(Box::new(VoteResponse {
        from: process(1),
        ballot,
        request_sent_at: latest(),
        vote_granted: true,
        accepts: Some(ballot),
        accepted: Some(AcceptedView { ballot, view: largest_view() }),
        highest_ballot: ballot,
        newer_view: None,
        highest_view_number: u64::MAX,
        leaving: true,
        lease_request: LeaseRequest { sent_at: latest(), held_parts: u64::MAX, held_since: latest() },
    }))
}

#[test]
fn the_longest_messages_fit_a_datagram() {
    let settings = largest_settings();
    for message in [longest_vote_request(), longest_vote_response()] {
        let bytes = encode(&settings, &message);
        assert!(bytes.len() <= 1_100, "{} bytes", bytes.len());
        assert_eq!(decode(&settings, &bytes), Ok(message));
    }
}

#[test]
fn messages_under_other_settings_are_rejected() {
    let settings = largest_settings();
    let bytes = encode(&settings, &longest_vote_request());
    let others = [
        Settings { size: 41, ..settings.clone() },
        Settings { lease_duration: Duration::from_millis(3001), ..settings.clone() },
        Settings { founders: settings.founders[1..].to_vec(), ..settings.clone() },
    ];
    assert_eq!(decode(&settings, &bytes), Ok(longest_vote_request()));
    for other in others {
        assert_eq!(decode(&other, &bytes), Err(DecodeError::SettingsMismatch), "{other:?}");
    }
}

#[test]
fn truncated_messages_and_trailing_bytes_are_rejected() {
    let settings = largest_settings();
    let bytes = encode(&settings, &longest_vote_request());
    for end in 0..bytes.len() {
        let decoded = decode(&settings, &bytes[..end]);
        assert!(matches!(decoded, Err(DecodeError::Malformed(_))), "{end} bytes: {decoded:?}");
    }
    assert_eq!(decode(&settings, &[bytes, vec![0]].concat()), Err(DecodeError::TrailingBytes(1)));
}
