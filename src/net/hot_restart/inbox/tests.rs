//! Tests of the messages that have arrived and were not handled.

use super::*;
use crate::net::deadline_stream::DeadlineStream;
use crate::net::hot_restart::messages::ResourceBudget;
use crate::net::polled_socket::PolledSocket;
use std::io::Write;
use std::os::unix::net::UnixStream;

/// Guards against ids that are found only when their message is handled, which may be after a request
/// with the same id, and against messages that are lost by the search.
#[test]
fn ids_are_found_before_their_messages_are_handled() {
    let (stream, mut peer) = UnixStream::pair().unwrap();
    let stream = DeadlineStream::new(PolledSocket::new(stream).unwrap());
    let mut inbox = Inbox::default();
    let budget = Message::Budget(ResourceBudget::default());
    let messages = [budget, Message::UnrepeatableIds(vec![1, 2]), Message::UnrepeatableIds(vec![3])];
    let bytes: Vec<u8> = messages.iter().flat_map(Message::to_line).collect();
    let (first, rest) = bytes.split_at(bytes.len() - 2);

    peer.write_all(first).unwrap();
    assert_eq!(inbox.receive_ids(&stream), [1, 2]);
    assert_eq!(inbox.next_message().unwrap().as_ref(), Some(&messages[0]));
    assert_eq!(inbox.receive_ids(&stream), Vec::<IdHash>::new(), "each id is found once");
    peer.write_all(rest).unwrap();
    assert_eq!(inbox.receive_ids(&stream), [3]);

    assert_eq!(inbox.next_message().unwrap().as_ref(), Some(&messages[1]));
    assert_eq!(inbox.next_message().unwrap().as_ref(), Some(&messages[2]));
    assert_eq!(inbox.next_message().unwrap(), None);
    drop(peer);
    assert_eq!(inbox.receive(&stream).unwrap(), 0, "the end is left to the handler of messages");
}
