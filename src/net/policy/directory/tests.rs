use super::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7946))
}

/// A live member whose address in the fleet is given by its number.
fn live(name: &str, start: u64, last: u8) -> LivePeer {
    LivePeer { name: name.into(), start, address: address(last) }
}

fn message(name: &str) -> DirectoryMessage {
    DirectoryMessage { wants_reply: false, name: name.to_owned(), start: 70, address: address(200) }
}

fn handed_over(name: &str) -> PeerAddress {
    PeerAddress { name: name.to_owned(), start: 70, address: address(200) }
}

#[test]
fn a_live_member_is_asked_until_it_has_told_its_address() {
    let mut state = State::default();
    assert_eq!(state.set_live(vec![live("n1", 5, 1)]), [address(1)]);
    assert_eq!(state.set_live(vec![live("n1", 5, 1)]), [address(1)]);

    state.record(address(1), message("n1"));

    assert_eq!(state.set_live(vec![live("n1", 5, 1)]), []);
    assert_eq!(state.known_addresses(), [handed_over("n1")]);
}

#[test]
fn a_message_from_an_unknown_member_or_address_is_ignored() {
    let mut state = State::default();
    state.set_live(vec![live("n1", 5, 1)]);

    state.record(address(1), message("n2"));
    state.record(address(2), message("n1"));

    assert_eq!(state.known_addresses(), []);
}

#[test]
fn a_member_that_restarted_or_left_is_forgotten() {
    let mut state = State::default();
    state.set_live(vec![live("n1", 5, 1), live("n2", 5, 2)]);
    state.record(address(1), message("n1"));
    state.record(address(2), message("n2"));

    let asked = state.set_live(vec![live("n1", 6, 1)]);

    assert_eq!(asked, [address(1)]);
    assert_eq!(state.known_addresses(), []);
}

#[test]
fn a_peer_that_was_handed_over_is_kept_while_a_member_has_its_name() {
    let mut state = State { handed_over: vec![handed_over("n1"), handed_over("n2")], ..State::default() };
    state.set_live(vec![live("n1", 5, 1)]);

    state.forget_gone_handed_over();

    assert_eq!(state.handed_over, [handed_over("n1")]);
}
