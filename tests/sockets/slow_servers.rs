//! Servers that read large requests slowly.

use crate::ms;
use pinetrail_test_harness::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Bytes that the server reads at once.
const PART_BYTES: usize = 1500;
/// Length of the written value in bytes.
const VALUE_BYTES: usize = 60_000;
/// Time that the client waits for the response.
const CLIENT_TIMEOUT: Duration = ms(1500);
/// Time after the client's deadline within which a final response must arrive.
const RESPONSE_SLACK: Duration = ms(70);

/// Starts an origin with a small receive buffer that pauses after each part that it reads, and
/// confirms a write once it has read all of it.
fn slow_reading_origin(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_recv_buffer_size(4096).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            thread::spawn(move || serve_slowly(stream, pause));
        }
    });
    address
}

fn serve_slowly(mut stream: TcpStream, pause: Duration) {
    let mut received = Vec::new();
    let mut part = [0; PART_BYTES];
    // The body has no byte of the head, whose length is therefore known at its end.
    while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n")
        || received.iter().filter(|byte| **byte == b'#').count() < VALUE_BYTES
    {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => received.extend_from_slice(&part[..count]),
            _ => return,
        }
        sleep(pause);
    }
    // The proxy may have given up.
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1");
}

/// Guards against a write that fails although its server reads it in time, and against a final
/// response that comes only once a server has read all of a request that is given up.
#[test]
fn a_server_that_reads_slowly_is_awaited_and_the_final_response_is_in_time() {
    for (pause, is_in_time) in [(ms(10), true), (ms(80), false)] {
        let origin = slow_reading_origin(pause);
        let node = StubServer::miss_node();
        let origin_entry =
            node.entry("o", "origin", "ready").replace(&node.address.to_string(), &origin.to_string());
        let fixture = ProxyFixture::new(&[node.entry("s-0", "c6", "ready"), origin_entry]);
        for class in ["confirm", "put"] {
            let value = "#".repeat(VALUE_BYTES);
            let timeout_ms = CLIENT_TIMEOUT.as_millis();
            let mut client = fixture.client();
            let sent_at = Instant::now();
            client.send(&format!(
                "ms k {VALUE_BYTES} O{class} Pc={class},t=acme,d={timeout_ms},k={class}\r\n{value}\r\n"
            ));
            let (line, time) = (client.read_line(), sent_at.elapsed());
            let expected =
                if is_in_time { format!("HD O{class} cr1\r\n") } else { "SERVER_ERROR ".to_owned() };
            assert!(line.starts_with(&expected), "{pause:?}, {class}: {line:?} after {time:?}");
            assert!(time < CLIENT_TIMEOUT + RESPONSE_SLACK, "{pause:?}, {class}: {line:?} after {time:?}");
        }
    }
}
