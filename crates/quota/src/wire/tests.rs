use super::*;
use crate::message::{Answer, Ask, Want};
use crate::settings::MOST_FOUNDERS;
use crate::view::{Ballot, Process, View};
use std::net::SocketAddr;

#[test]
fn the_longest_words_fit_a_datagram_and_only_like_settings_hear_them() {
    let place = |n: usize| SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, n as u16], 65_535));
    let settings = Settings::usual((0..MOST_FOUNDERS).map(place).collect(), 40);
    assert_eq!(settings.check(), Ok(()));
    let process = |n| Process { place: place(n), start: u64::MAX / 2 };
    let ballot = Ballot { round: u64::MAX, who: process(1) };
    let council = (0..MOST_FOUNDERS).map(process).collect();
    let view = Some(View { ballot, number: u64::MAX, council });
    let at = u64::MAX;
    let ask = Ask { ballot, at, founds: false, in_office: true, view: view.clone(), next: view.clone() };
    let bytes = words(&settings, &Message::Ask(Box::new(ask.clone())));
    assert!(bytes.len() <= 1_100, "{}", bytes.len());
    assert_eq!(read(&settings, &bytes), Ok(Message::Ask(Box::new(ask))));
    // The longest answer: it has taken a view.
    let answer = Answer {
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
        want: Want { at, holds: at, since: at },
    };
    let long = words(&settings, &Message::Answer(Box::new(answer)));
    assert!(long.len() <= 1_100, "{}", long.len());
    let others = [
        Settings { size: 41, ..settings.clone() },
        Settings { lease: 3001, ..settings.clone() },
        Settings { founders: settings.founders[1..].to_vec(), ..settings.clone() },
    ];
    assert!(others.iter().all(|other| read(other, &bytes) == Err(Unheard::OtherSettings)));
    (0..bytes.len())
        .for_each(|end| assert_eq!(read(&settings, &bytes[..end]), Err(Unheard::Spoilt), "{end}"));
    assert_eq!(read(&settings, &[bytes, vec![0]].concat()), Err(Unheard::Spoilt));
}
