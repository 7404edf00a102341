//! Golden tests of the datagrams by which members of a fleet exchange the addresses of their peer
//! listeners. Members of other program versions read them: if the bytes changed, members would not
//! connect, and so would have no common policy.

use super::message::DirectoryMessage;

fn message(wants_reply: bool) -> DirectoryMessage {
    let address = "127.0.0.1:8001".parse().unwrap();
    DirectoryMessage { wants_reply, name: "p1".into(), start: 1_700_000_000_000_001, address }
}

/// The recorded bytes after `wants_reply`: the name `p1`, the start as a varint, and an IPv4
/// address with its port.
const BYTES_AFTER_WANTS_REPLY: [u8; 18] =
    [2, 112, 49, 129, 128, 249, 192, 193, 196, 130, 3, 0, 127, 0, 0, 1, 193, 62];

/// Asserts that the message is encoded as the recorded bytes, and that these are decoded as the
/// message.
fn assert_bytes(wants_reply: bool, wants_reply_byte: u8) {
    let mut recorded = vec![wants_reply_byte];
    recorded.extend(BYTES_AFTER_WANTS_REPLY);
    assert_eq!(postcard::to_allocvec(&message(wants_reply)).unwrap(), recorded);
    let read: DirectoryMessage = postcard::from_bytes(&recorded).unwrap();
    assert_eq!((read.wants_reply, &*read.name), (wants_reply, "p1"));
    assert_eq!((read.start, read.address), (message(wants_reply).start, message(wants_reply).address));
}

#[test]
fn messages_that_want_a_reply_are_the_recorded_bytes() {
    assert_bytes(true, 1);
}

#[test]
fn messages_that_reply_are_the_recorded_bytes() {
    assert_bytes(false, 0);
}

#[test]
fn an_address_of_ipv6_is_the_recorded_bytes() {
    let address = "[::1]:8001".parse().unwrap();
    let message = DirectoryMessage { wants_reply: true, name: String::new(), start: 0, address };
    let recorded = [1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 193, 62];
    assert_eq!(postcard::to_allocvec(&message).unwrap(), recorded);
}
