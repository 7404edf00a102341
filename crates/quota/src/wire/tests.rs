use super::*;
use crate::message::{LeaseRequest, VoteRequest, VoteResponse};
use crate::settings::MAX_FOUNDERS;
use crate::view::{Ballot, Process, View};
use std::net::SocketAddr;

#[test]
fn the_longest_words_fit_a_datagram_and_only_like_settings_hear_them() {
    let place = |n: usize| SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, n as u16], 65_535));
    let settings = Settings::with_defaults((0..MAX_FOUNDERS).map(place).collect(), 40);
    assert_eq!(settings.check(), Ok(()));
    let process = |n| Process { address: place(n), start: u64::MAX / 2 };
    let ballot = Ballot { round: u64::MAX, who: process(1) };
    let council = (0..MAX_FOUNDERS).map(process).collect();
    let view = Some(View { ballot, number: u64::MAX, voters: council });
    let at = u64::MAX;
    let ask =
        VoteRequest { ballot, at, founds: false, in_office: true, view: view.clone(), next: view.clone() };
    let bytes = encode(&settings, &Message::VoteRequest(Box::new(ask.clone())));
    assert!(bytes.len() <= 1_100, "{}", bytes.len());
    assert_eq!(decode(&settings, &bytes), Ok(Message::VoteRequest(Box::new(ask))));
    // The longest answer: it has taken a view.
    let answer = VoteResponse {
        from: process(1),
        ballot,
        asked_at: at,
        yes: true,
        takes: Some(ballot),
        pending: view.map(|view| (ballot, view)),
        promised: ballot,
        newer: None,
        number: at,
        leaves: true,
        want: LeaseRequest { at, holds: at, since: at },
    };
    let long = encode(&settings, &Message::VoteResponse(Box::new(answer)));
    assert!(long.len() <= 1_100, "{}", long.len());
    let others = [
        Settings { size: 41, ..settings.clone() },
        Settings { lease: 3001, ..settings.clone() },
        Settings { founders: settings.founders[1..].to_vec(), ..settings.clone() },
    ];
    assert!(others.iter().all(|other| decode(other, &bytes) == Err(DecodeError::OtherSettings)));
    (0..bytes.len())
        .for_each(|end| assert_eq!(decode(&settings, &bytes[..end]), Err(DecodeError::Spoilt), "{end}"));
    assert_eq!(decode(&settings, &[bytes, vec![0]].concat()), Err(DecodeError::Spoilt));
}
