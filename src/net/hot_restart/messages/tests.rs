use super::*;

#[test]
fn messages_are_decoded_from_fragments_of_any_size() {
    let sent = [
        Message::HandoverRequest(PROTOCOL_VERSION),
        Message::Handover(EndpointSnapshot::default(), ResourceBudget { descriptors: 7, memory_bytes: 9 }),
        Message::Command(3, ControlCommand::EnterMaintenance("a\n\"b".into())),
        Message::CommandDone(3, Some("no".into())),
    ];
    let bytes: Vec<u8> = sent.iter().flat_map(Message::to_line).collect();
    let mut reader = MessageReader::default();
    let mut received = Vec::new();

    for byte in bytes {
        reader.buffer.push(byte);
        received.extend(reader.next_message().unwrap());
    }

    assert_eq!(received, sent);
    assert!(MessageReader { buffer: b"{}\n".to_vec() }.next_message().is_err());
}

#[test]
fn a_message_without_end_is_an_error() {
    let mut reader = MessageReader { buffer: vec![b' '; MAX_MESSAGE_BYTES] };

    assert!(matches!(reader.next_message(), Ok(None)), "a message of the longest length");
    reader.buffer.push(b' ');
    assert!(matches!(reader.next_message(), Err(MessageError::TooLong)));
}
