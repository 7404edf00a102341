use super::*;

#[test]
fn messages_arrive_as_they_were_sent_however_they_are_cut() {
    let sent = [
        Message::Ask(VERSION),
        Message::Give(EndpointSnapshot::default(), Share { sockets: 7, memory: 9 }),
        Message::Order(3, ControlCommand::Offline("a\n\"b".into())),
        Message::Done(3, Some("no".into())),
    ];
    let bytes: Vec<u8> = sent.iter().flat_map(Message::line).collect();
    let (mut inbox, mut came) = (Inbox::default(), Vec::new());
    for byte in bytes {
        inbox.0.push(byte);
        came.extend(inbox.next().unwrap());
    }
    assert_eq!(came, sent);
    assert!(Inbox(b"{}\n".to_vec()).next().is_err());
}
