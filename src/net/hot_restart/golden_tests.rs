//! What leaves the process: the JSON lines by which two processes of one proxy tell each other of
//! an upgrade. The older process runs the released program, the newer one this source: a text that
//! changes here ends upgrades without a break. All texts were recorded before any renaming.

use super::messages::{ControlCommand, Inbox, Message, Share, VERSION};
use super::socket::Place;
use crate::net::dispatcher::EndpointSnapshot;

const NODES: &str = concat!(
    r#"{"told":[{"instanceId":"a","hostPort":"127.0.0.1:7001","zone":"east","#,
    r#""machineType":"small","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1000.0}],"#,
    r#""gone":["old"],"out":{"a":10.0},"back":{"b":[5.0,6.5]},"#,
    r#""links":[{"name":"p1","start":1700000000000001,"place":"127.0.0.1:8001"}]}"#,
);

fn share() -> Share {
    Share { sockets: 7, memory: 9 }
}

/// The value is written as the recorded line, and the recorded line is read as the value.
fn assert_line(message: Message, recorded: &str) {
    let line = format!("{recorded}\n");
    assert_eq!(String::from_utf8(message.line()).unwrap(), line);
    let mut inbox = Inbox(line.into_bytes());
    assert_eq!(inbox.next(), Ok(Some(message)));
    assert_eq!(inbox.next(), Ok(None));
}

#[test]
fn the_version_of_the_messages_is_one() {
    assert_eq!(VERSION, 1);
}

#[test]
fn ask_is_the_recorded_line() {
    assert_line(Message::Ask(1), r#"{"Ask":1}"#);
}

#[test]
fn give_with_every_field_filled_is_the_recorded_line() {
    let nodes: EndpointSnapshot = serde_json::from_str(NODES).unwrap();
    let recorded = format!(r#"{{"Give":[{NODES},{{"sockets":7,"memory":9}}]}}"#);
    assert_line(Message::Give(nodes, share()), &recorded);
}

#[test]
fn give_of_empty_nodes_is_the_recorded_line() {
    let nodes = r#"{"told":[],"gone":[],"out":{},"back":{}}"#;
    let recorded = format!(r#"{{"Give":[{nodes},{{"sockets":0,"memory":0}}]}}"#);
    assert_line(Message::Give(EndpointSnapshot::default(), Share::default()), &recorded);
}

#[test]
fn refuse_is_the_recorded_line() {
    assert_line(Message::Refuse("no \"why\"".into()), r#"{"Refuse":"no \"why\""}"#);
}

#[test]
fn serving_is_the_recorded_line() {
    assert_line(Message::Serving, r#""Serving""#);
}

#[test]
fn leaving_is_the_recorded_line() {
    assert_line(Message::Leaving, r#""Leaving""#);
}

#[test]
fn share_is_the_recorded_line() {
    assert_line(Message::Share(share()), r#"{"Share":{"sockets":7,"memory":9}}"#);
}

#[test]
fn orders_are_the_recorded_lines() {
    let order = |ordered| Message::Order(3, ordered);
    assert_line(order(ControlCommand::Offline("a".into())), r#"{"Order":[3,{"Offline":"a"}]}"#);
    assert_line(order(ControlCommand::Online("a".into())), r#"{"Order":[3,{"Online":"a"}]}"#);
    assert_line(order(ControlCommand::Service(true)), r#"{"Order":[3,{"Service":true}]}"#);
    assert_line(order(ControlCommand::Service(false)), r#"{"Order":[3,{"Service":false}]}"#);
}

#[test]
fn done_is_the_recorded_line() {
    assert_line(Message::Done(3, None), r#"{"Done":[3,null]}"#);
    assert_line(Message::Done(4, Some("no".into())), r#"{"Done":[4,"no"]}"#);
}

/// Both processes look for this name in `$TMPDIR`.
#[test]
fn the_meeting_place_has_the_recorded_name() {
    let shown = |clients: &str| format!("{:?}", Place::of(clients.parse().unwrap()).unwrap());
    assert!(shown("127.0.0.1:7001").contains(r#""pinetrail-127.0.0.1_7001.sock""#));
    assert!(shown("[::1]:7001").contains(r#""pinetrail-___1__7001.sock""#));
}
