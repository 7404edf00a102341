//! Tests of streams whose peer reads nothing, or closes behind unread input.

use super::*;
use socket2::SockRef;
use std::cell::Cell;
use std::net::TcpListener;
use std::sync::mpsc;

/// The longest time that a test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a coroutine, as the program uses these streams, and fails if it does not end in
/// time.
fn run_on_coroutine(test: impl FnOnce() + Send + 'static) {
    let (sender, finished) = mpsc::channel();
    may::go!(move || {
        test();
        let _ = sender.send(());
    });
    finished.recv_timeout(TEST_TIMEOUT).expect("the test has panicked, or takes too long");
}

/// Returns a connection with small socket buffers, and its peer.
fn small_buffer_connection() -> (DeadlineStream, net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_recv_buffer_size(2048).unwrap();
    let stream = DeadlineStream::connect(&listener.local_addr().unwrap(), Duration::from_secs(5)).unwrap();
    SockRef::from(stream.0.inner()).set_send_buffer_size(2048).unwrap();
    let peer = listener.accept().unwrap().0;
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    (stream, peer)
}

/// Closes the connection, and returns how many bytes the peer received over it.
fn read_to_end(stream: DeadlineStream, mut peer: net::TcpStream) -> usize {
    drop(stream);
    let mut all = Vec::new();
    peer.read_to_end(&mut all).unwrap();
    all.len()
}

/// Guards against a value whose last byte is written after the permission to write has ended. A
/// long value is written in parts, and the condition is checked before each part that had to wait.
#[test]
fn a_write_stops_once_its_condition_fails_or_its_deadline_is_reached() {
    run_on_coroutine(|| {
        let value = vec![b'x'; 1 << 20];
        let (stream, peer) = small_buffer_connection();
        let checks = Cell::new(0);
        let far = Instant::now() + Duration::from_secs(60);
        let written = stream.write_while(&value, far, || {
            checks.set(checks.get() + 1);
            checks.get() < 5
        });
        assert_eq!(written.unwrap_err().kind(), ErrorKind::ConnectionAborted);
        assert!(read_to_end(stream, peer) < value.len());
        let (stream, peer) = small_buffer_connection();
        let written = stream.write_while(&value, Instant::now() + Duration::from_millis(20), || true);
        assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
        assert!(read_to_end(stream, peer) < value.len());
    });
}

/// Guards against a peer's close that stays unnoticed because unread bytes precede it.
#[test]
fn a_hang_up_is_noticed_before_the_input_is_read() {
    run_on_coroutine(|| {
        let (stream, mut peer) = small_buffer_connection();
        peer.write_all(b"not read").unwrap();
        assert!(!has_hung_up(stream.0.inner()));
        peer.shutdown(Shutdown::Write).unwrap();
        assert!(has_hung_up(stream.0.inner()));
        assert_eq!(
            stream.read(&mut Vec::new(), Instant::now()).unwrap(),
            8,
            "the unread input is still available"
        );
    });
}
