//! Long values that their node gives slowly, past the deadline, with commands behind them.

use super::*;
use std::io::Read;
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 256 * 1024;
/// The client timeout of the long value, which arrives later than that.
const CLIENT_TIMEOUT_MS: u64 = 700;
const VALUE_TIME: Duration = ms(1800);

/// Starts a node whose value `long` arrives slowly from its first byte on, and that has every
/// other key.
fn slow_node(deliveries: &Deliveries) -> StubServer {
    let deliveries = deliveries.clone();
    StubServer::node(move |line| {
        if !line.starts_with("mg long ") {
            return StubAction::Reply(hit_response(line, "v"));
        }
        let response = PacedResponse {
            framing: Framing::Memcache,
            value: vec![b'x'; VALUE_BYTES],
            first_bytes: 16 * 1024,
            duration: VALUE_TIME,
            pieces: 15,
            completion: Completion::Whole,
        };
        let (request, deliveries) = (line.to_owned(), deliveries.clone());
        StubAction::ReplyWith(Box::new(move |stream| response.write(&request, stream, &deliveries)))
    })
}

fn long_read(id: &str) -> String {
    format!("mg long v O{id} Pc=read,t=acme,d={CLIENT_TIMEOUT_MS}\r\n")
}

fn short_read(id: &str) -> String {
    format!("mg short v O{id} Pc=read,t=acme,d=300\r\n")
}

/// Reads the response to a read of the long value, which must be whole and begin in time.
fn read_long_value(client: &mut Client, id: &str, what: &str) {
    let started_at = Instant::now();
    let line = client.read_line();
    assert_eq!(line, format!("VA {VALUE_BYTES} O{id}\r\n"), "{what}");
    let began = started_at.elapsed();
    assert!(began < ms(CLIENT_TIMEOUT_MS), "{what}: the value began after {began:?}");
    let mut value = vec![0; VALUE_BYTES + 2];
    client.reader().read_exact(&mut value).unwrap_or_else(|error| panic!("{what}: {error}"));
    assert!(value.starts_with(b"xx") && value.ends_with(b"x\r\n"), "{what}");
}

/// Guards against a long value that is held back until its deadline and then cut off, although its
/// node still gives it, because commands are behind it; and against commands behind it that run
/// twice, out of order or not at all.
#[test]
fn a_slow_long_value_with_commands_behind_it_is_served_whole() {
    let deliveries = Deliveries::default();
    let (node, origin) = (slow_node(&deliveries), StubServer::origin(|_| http_200("r1")));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let write = "ms seat 4 O3 Pc=put,t=acme,d=900,k=5c\r\nhold\r\n";
    let mut client = fixture.client();
    client.send(&format!("{}{}{write}mn\r\n{}", long_read("1"), short_read("2"), short_read("4")));
    read_long_value(&mut client, "1", "several commands behind it");
    let lines: Vec<String> = (0..6).map(|_| client.read_line()).collect();
    let expected = ["VA 1 O2\r\n", "v\r\n", "HD O3 cr1\r\n", "MN\r\n", "VA 1 O4\r\n", "v\r\n"];
    assert_eq!(lines, expected);
    assert_eq!((deliveries.cut_off(), origin.received().len()), (Vec::new(), 1));
}

/// Guards against the same where no long value was expected, so that the reads behind it have run.
#[test]
fn an_unexpected_slow_long_value_with_reads_behind_it_is_served_whole() {
    let deliveries = Deliveries::default();
    let (node, origin) = (slow_node(&deliveries), crate::idle_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    serve_short_values(&fixture);
    let before = node.received().len();
    let mut client = fixture.client();
    client.send(&format!("{}{}{}", long_read("1"), short_read("2"), short_read("3")));
    fixture.wait_until("the reads behind the value run", || node.received().len() == before + 3);
    read_long_value(&mut client, "1", "reads behind it");
    let lines: Vec<String> = (0..4).map(|_| client.read_line()).collect();
    assert_eq!(lines, ["VA 1 O2\r\n", "v\r\n", "VA 1 O3\r\n", "v\r\n"]);
    assert_eq!((deliveries.cut_off(), fixture.counter("values_broken")), (Vec::new(), 0));
    // From now on long values are expected.
    client.send(&format!("{}{}", long_read("4"), short_read("5")));
    read_long_value(&mut client, "4", "the second one");
    assert_eq!(node.received().len(), before + 4, "the read waits for the value");
    assert_eq!(client.read_line(), "VA 1 O5\r\n");
}

/// Guards against pipelines that stay serial where no value is long.
#[test]
fn reads_of_a_pipeline_run_at_the_same_time_once_no_long_value_is_expected() {
    const READS: usize = 10;
    const WORK: Duration = ms(60);
    let node = StubServer::node(|line| {
        if line.starts_with("mg work ") {
            std::thread::sleep(WORK);
        }
        StubAction::Reply(hit_response(line, "v"))
    });
    let fixture = ProxyFixture::with_backends(&[&node], &crate::idle_origin());
    serve_short_values(&fixture);
    let mut client = fixture.client();
    let started_at = Instant::now();
    let reads: String = (0..READS).map(|n| format!("mg work v Ow{n} Pc=read,t=acme,d=900\r\n")).collect();
    client.send(&reads);
    let lines = (0..2 * READS).map(|_| client.read_line()).filter(|line| line == "v\r\n").count();
    assert_eq!(lines, READS);
    assert!(started_at.elapsed() < WORK * 4, "{:?}", started_at.elapsed());
}
