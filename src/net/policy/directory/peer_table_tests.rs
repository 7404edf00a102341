use super::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7946))
}

/// A live member whose membership address ends in `last`.
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
fn a_live_member_is_polled_until_it_has_sent_its_address() {
    let mut peers = PeerTable::default();
    assert_eq!(peers.set_live(vec![live("n1", 5, 1)]), [address(1)]);
    assert_eq!(peers.set_live(vec![live("n1", 5, 1)]), [address(1)]);

    peers.record(address(1), message("n1"));

    assert_eq!(peers.set_live(vec![live("n1", 5, 1)]), []);
    assert_eq!(peers.addresses(), [handed_over("n1")]);
}

#[test]
fn a_message_from_an_unknown_member_or_address_is_ignored() {
    let mut peers = PeerTable::default();
    peers.set_live(vec![live("n1", 5, 1)]);

    peers.record(address(1), message("n2"));
    peers.record(address(2), message("n1"));

    assert_eq!(peers.addresses(), []);
}

#[test]
fn a_member_that_restarted_or_left_is_removed() {
    let mut peers = PeerTable::default();
    peers.set_live(vec![live("n1", 5, 1), live("n2", 5, 2)]);
    peers.record(address(1), message("n1"));
    peers.record(address(2), message("n2"));

    let polled = peers.set_live(vec![live("n1", 6, 1)]);

    assert_eq!(polled, [address(1)]);
    assert_eq!(peers.addresses(), []);
}

#[test]
fn a_handed_over_peer_stays_while_a_live_member_has_its_name() {
    let mut peers = PeerTable::new(vec![handed_over("n1"), handed_over("n2")]);
    peers.set_live(vec![live("n1", 5, 1)]);

    peers.remove_departed_handed_over();

    assert_eq!(peers.handed_over(), [handed_over("n1")]);
}
