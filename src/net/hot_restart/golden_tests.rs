//! Golden tests of the JSON lines between two processes of one proxy. The older process may run the
//! released program and the newer one this source, so hot restarts fail if a line changes here. The
//! expected lines were recorded before any identifier was renamed.

use super::messages::{
    ControlCommand, Message, MessageReader, ResourceBudget, ServiceState, PROTOCOL_VERSION,
};
use super::socket::HandoverSocket;
use crate::net::dispatcher::EndpointSnapshot;

const NODES: &str = concat!(
    r#"{"told":[{"instanceId":"a","hostPort":"127.0.0.1:7001","zone":"east","#,
    r#""machineType":"small","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1000.0}],"#,
    r#""gone":["old"],"out":{"a":10.0},"back":{"b":[5.0,6.5]},"#,
    r#""links":[{"name":"p1","start":1700000000000001,"place":"127.0.0.1:8001"}]}"#,
);

fn budget() -> ResourceBudget {
    ResourceBudget { descriptors: 7, memory_bytes: 9 }
}

/// Asserts that the value is encoded as the recorded line, and that line decoded as the value.
fn assert_line(message: Message, recorded: &str) {
    let line = format!("{recorded}\n");
    assert_eq!(String::from_utf8(message.to_line()).unwrap(), line);
    let mut reader = MessageReader { buffer: line.into_bytes() };
    assert_eq!(reader.next_message().unwrap(), Some(message));
    assert_eq!(reader.next_message().unwrap(), None);
}

#[test]
fn the_version_of_the_messages_is_one() {
    assert_eq!(PROTOCOL_VERSION, 1);
}

#[test]
fn ask_is_the_recorded_line() {
    assert_line(Message::HandoverRequest(1), r#"{"Ask":1}"#);
}

#[test]
fn give_with_every_field_filled_is_the_recorded_line() {
    let nodes: EndpointSnapshot = serde_json::from_str(NODES).unwrap();
    let recorded = format!(r#"{{"Give":[{NODES},{{"sockets":7,"memory":9}}]}}"#);
    assert_line(Message::Handover(nodes, budget()), &recorded);
}

#[test]
fn give_of_empty_nodes_is_the_recorded_line() {
    let nodes = r#"{"told":[],"gone":[],"out":{},"back":{}}"#;
    let recorded = format!(r#"{{"Give":[{nodes},{{"sockets":0,"memory":0}}]}}"#);
    assert_line(Message::Handover(EndpointSnapshot::default(), ResourceBudget::default()), &recorded);
}

#[test]
fn the_exchange_of_ids_is_announced_by_a_field_that_earlier_releases_ignore() {
    let mut nodes = EndpointSnapshot::default();
    nodes.shares_ids = true;
    let recorded =
        r#"{"Give":[{"told":[],"gone":[],"out":{},"back":{},"ids":true},{"sockets":0,"memory":0}]}"#;
    assert_line(Message::Handover(nodes, ResourceBudget::default()), recorded);
    assert_line(Message::UnrepeatableIds(vec![7, u64::MAX]), r#"{"Ids":[7,18446744073709551615]}"#);
}

#[test]
fn refuse_is_the_recorded_line() {
    assert_line(Message::Rejection("no \"why\"".into()), r#"{"Refuse":"no \"why\""}"#);
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
fn finishing_is_the_recorded_line() {
    assert_line(Message::FinishingResponses, r#""Finishing""#);
}

#[test]
fn share_is_the_recorded_line() {
    assert_line(Message::Budget(budget()), r#"{"Share":{"sockets":7,"memory":9}}"#);
}

#[test]
fn orders_are_the_recorded_lines() {
    let command = |command| Message::Command(3, command);
    assert_line(command(ControlCommand::EnterMaintenance("a".into())), r#"{"Order":[3,{"Offline":"a"}]}"#);
    assert_line(command(ControlCommand::LeaveMaintenance("a".into())), r#"{"Order":[3,{"Online":"a"}]}"#);
    assert_line(
        command(ControlCommand::SetService(ServiceState::InService)),
        r#"{"Order":[3,{"Service":true}]}"#,
    );
    assert_line(
        command(ControlCommand::SetService(ServiceState::OutOfService)),
        r#"{"Order":[3,{"Service":false}]}"#,
    );
}

#[test]
fn done_is_the_recorded_line() {
    assert_line(Message::CommandDone(3, None), r#"{"Done":[3,null]}"#);
    assert_line(Message::CommandDone(4, Some("no".into())), r#"{"Done":[4,"no"]}"#);
}

/// Both processes use this name in `$TMPDIR`.
#[test]
fn the_handover_socket_has_the_recorded_name() {
    let shown =
        |clients: &str| format!("{:?}", HandoverSocket::for_clients(clients.parse().unwrap()).unwrap());
    assert!(shown("127.0.0.1:7001").contains(r#""pinetrail-127.0.0.1_7001.sock""#));
    assert!(shown("[::1]:7001").contains(r#""pinetrail-___1__7001.sock""#));
}
