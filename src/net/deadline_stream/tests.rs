//! Tests of a connection whose other side reads nothing.

use super::*;
use socket2::SockRef;
use std::cell::Cell;
use std::net::TcpListener;

/// A connection that takes in little, and the other side of it.
fn narrow() -> (DeadlineStream, net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_recv_buffer_size(2048).unwrap();
    let link = DeadlineStream::connect(&listener.local_addr().unwrap(), Duration::from_secs(5)).unwrap();
    SockRef::from(link.0.inner()).set_send_buffer_size(2048).unwrap();
    let other = listener.accept().unwrap().0;
    other.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    (link, other)
}

/// What came out at the other side, once the connection has ended.
fn read_to_end(link: DeadlineStream, mut other: net::TcpStream) -> usize {
    drop(link);
    let mut all = Vec::new();
    other.read_to_end(&mut all).unwrap();
    all.len()
}

/// Guards against a value whose last byte goes out when what allowed it is over: it goes out in
/// pieces, and is looked after before each that had to wait.
#[test]
fn what_waits_to_go_out_is_given_up_once_it_is_not_wanted() {
    let value = vec![b'x'; 1 << 20];
    let (link, other) = narrow();
    let asked = Cell::new(0);
    let far = Instant::now() + Duration::from_secs(60);
    let written = link.write_while(&value, far, || {
        asked.set(asked.get() + 1);
        asked.get() < 5
    });
    assert_eq!(written.unwrap_err().kind(), ErrorKind::ConnectionAborted);
    assert!(read_to_end(link, other) < value.len());
    let (link, other) = narrow();
    let written = link.write_while(&value, Instant::now() + Duration::from_millis(20), || true);
    assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(read_to_end(link, other) < value.len());
}

/// Guards against an end that nobody sees, since bytes that nobody reads lie before it.
#[test]
fn an_end_is_seen_over_what_is_not_read() {
    let (link, mut other) = narrow();
    other.write_all(b"not read").unwrap();
    assert!(!has_hung_up(link.0.inner()));
    other.shutdown(Shutdown::Write).unwrap();
    assert!(has_hung_up(link.0.inner()));
    assert_eq!(link.read(&mut Vec::new(), Instant::now()).unwrap(), 8, "and they lie there still");
}
