use super::*;
use std::net::Shutdown;
use std::thread::sleep;

/// Delay of the tests between a write and the read.
const READ_DELAY: Duration = Duration::from_millis(100);
/// Largest difference between a reported arrival and the time of the write.
const CLOCK_ERROR: Duration = Duration::from_millis(20);

fn connected_pair() -> (TcpStream, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    record_arrivals(&listener).unwrap();
    let writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    writer.set_nodelay(true).unwrap();
    (writer, listener)
}

/// Guards against a stub that attributes its own delay to the proxy.
#[test]
fn bytes_arrive_when_they_are_written_however_late_they_are_read() {
    let (mut writer, listener) = connected_pair();
    let mut reader = None;
    for round in 0..3 {
        let written = Instant::now();
        writer.write_all(b"bytes").unwrap();
        let after = Instant::now();
        sleep(READ_DELAY);
        // The first bytes arrive before the connection is accepted.
        let reader = reader.get_or_insert_with(|| ArrivalStream::new(listener.accept().unwrap().0).unwrap());

        assert_eq!(reader.read(&mut [0; 16]).unwrap(), 5);

        let arrived = reader.last_arrival();
        assert!(arrived + CLOCK_ERROR >= written, "round {round}: arrival {:?} too early", written - arrived);
        assert!(arrived <= after + CLOCK_ERROR, "round {round}: arrival {:?} too late", arrived - after);
    }
}

#[test]
fn the_end_of_a_stream_is_noticed_while_waiting() {
    let (writer, listener) = connected_pair();
    let mut reader = ArrivalStream::new(listener.accept().unwrap().0).unwrap();
    assert_eq!(reader.wait_for_end(Duration::from_millis(5)), None);
    assert!(reader.is_open());

    writer.shutdown(Shutdown::Write).unwrap();
    let ended = Instant::now();

    let noticed = reader.wait_for_end(READ_DELAY).expect("the stream has ended");
    assert!(noticed <= ended + CLOCK_ERROR);
    assert!(!reader.is_open());
}
