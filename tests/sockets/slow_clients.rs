//! Clients that write their commands or read their responses slowly.

use crate::{idle_origin, ms, origin_with_body};
use pinetrail_test_harness::*;
use socket2::SockRef;
use std::io::Read;
use std::thread::sleep;
use std::time::Instant;

/// Time after its last byte within which a client that has stopped must have its error.
const STOPPED_CLIENT_MS: u64 = 3000;

/// Guards against a command that is rejected because its value arrives slowly, in 5 s here, and
/// against a client that stops within a value and is never told.
#[test]
fn a_value_that_is_written_slowly_is_accepted_and_one_that_stops_gets_an_error() {
    let node = StubServer::hit_node("v");
    let origin = origin_with_body("receipt");
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    for length in [20, 60_000] {
        let value = "x".repeat(length);
        let mut client = fixture.client();
        client.send(&format!("ms k {length} O{length} Pc=confirm,t=acme,d=900\r\n"));
        for part in value.as_bytes().chunks(length / 5) {
            sleep(ms(1000));
            client.send(std::str::from_utf8(part).unwrap());
        }
        assert_eq!(client.request("\r\n"), format!("HD O{length} creceipt\r\n"));
        client.send(&format!("ms k {length} Ostop{length} Pc=confirm,t=acme,d=900\r\n{}", &value[..10]));
        let stopped_at = Instant::now();
        assert_eq!(client.read_line(), "CLIENT_ERROR no whole command in time\r\n");
        assert!(stopped_at.elapsed() < ms(STOPPED_CLIENT_MS), "{:?}", stopped_at.elapsed());
    }
    assert_eq!(origin.received().len(), 2, "a value that is not whole is not forwarded");
}

/// Guards against a long response that is cut off because its client reads it with long pauses.
#[test]
fn a_client_that_pauses_while_it_reads_gets_the_whole_response() {
    const LENGTH: usize = 4 * 1024 * 1024;
    // Together more than the system buffers on the connection.
    const COUNT: usize = 4;
    let node = StubServer::node(|line| {
        StubAction::Reply(format!("VA {LENGTH} {}\r\n{}\r\n", opaque(line), "x".repeat(LENGTH)))
    });
    let fixture = ProxyFixture::with_backends(&[&node], &idle_origin());
    let mut client = fixture.client();
    SockRef::from(client.reader().get_ref()).set_recv_buffer_size(64 * 1024).unwrap();
    let reads: String = (0..COUNT).map(|n| format!("mg k v O{n} Pc=read,t=acme,d=2000\r\n")).collect();
    client.send(&reads);
    for number in 0..COUNT {
        assert_eq!(client.read_line(), format!("VA {LENGTH} O{number}\r\n"));
        if number == 0 {
            sleep(ms(13_000));
        }
        let mut value = vec![0; LENGTH + 2];
        client.reader().read_exact(&mut value).expect("the response is whole");
    }
}
