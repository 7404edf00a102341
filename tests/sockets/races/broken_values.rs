//! Commands behind a long value that breaks off. A client cannot tell where such a value ends, so
//! a connection on which it was begun has to end, and carries no further response.

use super::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 100_000;
const SENT_BYTES: usize = 50_000;
const LONG_READ: &str = "mg long v O1 Pc=read,t=acme,d=900\r\n";
const SHORT_READ: &str = "mg short v O2 Pc=read,t=acme,d=900\r\n";
const WRITE: &str = "ms seat 4 O3 Pc=put,t=acme,d=900,k=5c\r\nhold\r\n";
/// Time within which a command that the proxy executes arrives at its backend.
const FORWARDING_TIME: Duration = Duration::from_millis(300);

/// How a long value ends before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The node closes the connection.
    Close,
    /// The node resets the connection.
    Reset,
    /// The value is longer than announced.
    WrongLength,
    /// The node sends nothing more.
    Silence,
}

const ENDINGS: [Ending; 4] = [Ending::Close, Ending::Reset, Ending::WrongLength, Ending::Silence];

/// Starts a node that has each key. Each value of `long` stops after its first part until the test
/// sends how it ends.
fn breaking_node() -> (StubServer, Sender<Ending>) {
    let (end, ending) = channel::<Ending>();
    let ending = Arc::new(Mutex::new(ending));
    let node = StubServer::node(move |line| {
        if !line.starts_with("mg long ") {
            return StubAction::Reply(hit_response(line, "v"));
        }
        let (ending, head) = (Arc::clone(&ending), format!("VA {VALUE_BYTES} {} h1\r\n", opaque(line)));
        StubAction::ReplyWith(Box::new(move |stream| {
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&[b'x'; SENT_BYTES]).unwrap();
            // Without an ending the test is over.
            if let Ok(ending) = ending.lock().unwrap().recv_timeout(WAIT_TIMEOUT) {
                break_off(stream, ending);
            }
        }))
    });
    (node, end)
}

/// Ends a value. The proxy may have ended the connection before.
fn break_off(stream: &mut TcpStream, ending: Ending) {
    match ending {
        Ending::Close => _ = stream.shutdown(Shutdown::Both),
        Ending::Reset => {
            // The stub closes the connection at the end of its input, which resets it.
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).unwrap();
            _ = stream.shutdown(Shutdown::Read);
        }
        Ending::WrongLength => _ = stream.write_all(&[b'x'; VALUE_BYTES]),
        Ending::Silence => {}
    }
}

/// Starts an origin that executes writes, and has no key.
fn write_origin() -> StubServer {
    StubServer::origin(
        |request| {
            if request.starts_with("PUT ") {
                http_200("r1")
            } else {
                StubAction::Disconnect
            }
        },
    )
}

fn writes_executed(origin: &StubServer) -> usize {
    origin.received().iter().filter(|request| request.starts_with("PUT ")).count()
}

/// Sends a read of the long value, and reads the head and the first part of it.
fn begin_long_value(client: &mut Client) {
    client.send(LONG_READ);
    assert_eq!(client.read_line(), format!("VA {VALUE_BYTES} O1\r\n"));
    client.reader().read_exact(&mut [0; SENT_BYTES]).unwrap();
}

/// Guards against a write that has run and never gets its response: the value before it broke off
/// after the write had run, and the proxy ended the connection of both. No long value was seen, so
/// that the write does not wait for the value.
#[test]
fn a_write_that_ran_behind_a_value_that_breaks_off_gets_its_response() {
    for ending in ENDINGS {
        let ((node, end), origin) = (breaking_node(), write_origin());
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        serve_short_values(&fixture);
        let before = node.received().len();
        let mut client = fixture.client();
        client.send(&format!("{LONG_READ}{WRITE}"));
        fixture.wait_until("the write runs", || writes_executed(&origin) == 1);
        fixture.wait_until("the value begins", || node.received().len() > before);
        let started_at = Instant::now();
        // The read may be attempted again, and each of its values ends alike.
        for _ in 0..3 {
            end.send(ending).unwrap();
        }
        let line = client.read_line();
        assert!(line.starts_with("SERVER_ERROR "), "{ending:?}: {line:?}");
        assert_eq!(client.read_line(), "HD O3 cr1\r\n", "{ending:?}");
        assert!(started_at.elapsed() < ms(1400), "{ending:?}: {:?}", started_at.elapsed());
        assert_eq!(writes_executed(&origin), 1, "{ending:?}");
        assert_eq!(client.request("mn\r\n"), "MN\r\n", "{ending:?}: the connection stays open");
    }
}

/// Guards against a write that runs behind a value that may break off, if both were sent at once and
/// long values are expected: it does not run on that connection, and its client sends it on another.
#[test]
fn a_write_behind_a_value_that_breaks_off_runs_once_on_another_connection() {
    for ending in ENDINGS {
        let ((node, end), origin) = (breaking_node(), write_origin());
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        let mut client = fixture.client();
        client.send(&format!("{LONG_READ}{WRITE}"));
        assert_eq!(client.read_line(), format!("VA {VALUE_BYTES} O1\r\n"), "{ending:?}: it is streamed");
        sleep(FORWARDING_TIME);
        end.send(ending).unwrap();
        let mut rest = Vec::new();
        client.reader().read_to_end(&mut rest).expect("the connection ends without a reset");
        assert!(rest.iter().all(|byte| *byte == b'x'), "{ending:?}: nothing is behind the value");
        assert_eq!(writes_executed(&origin), 0, "{ending:?}");
        assert_eq!(fixture.client().request(WRITE), "HD O3 cr1\r\n", "{ending:?}");
        assert_eq!(writes_executed(&origin), 1, "{ending:?}");
    }
}

/// Guards against a command that is executed behind a value that is already passed on: if the value
/// breaks off, the connection ends before the command's response. The command stays unread, and its
/// client sends it on another connection.
#[test]
fn no_command_behind_a_value_that_streams_is_executed() {
    let cases = ENDINGS.map(|ending| (ending, WRITE));
    for (ending, behind) in cases.into_iter().chain([(Ending::Close, SHORT_READ), (Ending::Close, "mn\r\n")])
    {
        let ((node, end), origin) = (breaking_node(), write_origin());
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        let mut client = fixture.client();
        begin_long_value(&mut client);
        client.send(behind);
        // A command that was executed arrives at its backend before the value breaks off.
        sleep(FORWARDING_TIME);
        end.send(ending).unwrap();
        let mut rest = Vec::new();
        client.reader().read_to_end(&mut rest).expect("the connection ends without a reset");
        assert!(rest.iter().all(|byte| *byte == b'x'), "{ending:?}: nothing is behind the value");
        let executed = (writes_executed(&origin), node.received().len());
        assert_eq!(executed, (0, 1), "{ending:?}: {behind:?} is not executed");
        let response = fixture.client().request(behind);
        let expected = ["HD O3 cr1\r\n", "VA 1 O2\r\n", "MN\r\n"];
        assert!(expected.contains(&response.as_str()), "{ending:?}: {response:?}");
    }
}

/// Guards against a response that a close discards: the value that breaks off is behind it, and an
/// unread command is behind that value.
#[test]
fn a_response_before_a_value_that_breaks_off_arrives() {
    let ((node, end), origin) = (breaking_node(), write_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let mut client = fixture.client();
    client.send(&format!("{SHORT_READ}{LONG_READ}"));
    fixture.wait_until("the value is passed on", || fixture.counter("answered_served") == 2);
    client.send(WRITE);
    sleep(FORWARDING_TIME);
    end.send(Ending::Close).unwrap();
    fixture.wait_until("the value has broken off", || fixture.counter("values_broken") == 1);
    let mut all = Vec::new();
    client.reader().read_to_end(&mut all).expect("the connection ends without a reset");
    assert!(all.starts_with(format!("VA 1 O2\r\nv\r\nVA {VALUE_BYTES} O1\r\n").as_bytes()));
    assert_eq!(writes_executed(&origin), 0);
}

/// Guards against commands that wait for ever behind a long value, and against responses out of
/// order.
#[test]
fn commands_behind_a_long_value_are_answered_in_order() {
    let value = "x".repeat(VALUE_BYTES);
    let node = StubServer::node(move |line| {
        let is_long = line.starts_with("mg long ");
        StubAction::Reply(hit_response(line, if is_long { &value } else { "v" }))
    });
    let origin = write_origin();
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    for round in 0..20 {
        let mut client = fixture.client();
        let last = LONG_READ.replace("O1", "O4");
        // Each request has an id of its own.
        let write = WRITE.replace("O3", &format!("O3.{round}"));
        client.send(&format!("{LONG_READ}{write}{SHORT_READ}mn\r\n{last}"));
        let lines: Vec<String> = (0..7).map(|_| client.read_line()).collect();
        let heads = [1, 4].map(|id| format!("VA {VALUE_BYTES} O{id}\r\n"));
        assert_eq!((&lines[0], &lines[6]), (&heads[0], &heads[1]), "round {round}");
        let receipt = format!("HD O3.{round} cr1\r\n");
        assert_eq!(lines[2..6], [&receipt, "VA 1 O2\r\n", "v\r\n", "MN\r\n"], "round {round}");
        assert_eq!((lines[1].len(), client.read_line().len()), (VALUE_BYTES + 2, VALUE_BYTES + 2));
    }
}
