//! Long values that are on their way when a process is asked to stop. The configuration's clients wait
//! for at most 1 s, so the earliest kill is 1.7 s after SIGTERM.

use crate::ms;
use pinetrail_test_harness::*;
use std::io::Read;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 384 * 1024;
/// The time that a slow value takes: it ends long after the earliest kill.
const SLOW_VALUE: Duration = ms(3000);
/// The bytes that a value with a burst begins with.
const BURST_BYTES: usize = 48 * 1024;
/// The time after SIGTERM of the earliest kill.
const EARLIEST_KILL: Duration = ms(1700);

fn paced(framing: Framing, duration: Duration) -> PacedResponse {
    let value = vec![b'x'; VALUE_BYTES];
    PacedResponse { framing, value, first_bytes: 8192, duration, pieces: 60, completion: Completion::Whole }
}

/// Starts a server that gives the keys `slow…` over [`SLOW_VALUE`], `fast…` at once, never ends `endless`,
/// and has a short value for every other key. A cache node lacks the keys with `origin`.
fn server(framing: Framing, deliveries: &Deliveries) -> StubServer {
    let deliveries = deliveries.clone();
    let act = move |request: &str| {
        let is_node = framing.is_of_node();
        let mut response = if request.contains("slow") {
            paced(framing, SLOW_VALUE)
        } else if request.contains("fast") {
            paced(framing, Duration::ZERO)
        } else if request.contains("endless") {
            PacedResponse { completion: Completion::NeverEnds, ..paced(framing, SLOW_VALUE) }
        } else if is_node {
            return StubAction::Reply(format!("VA 1 {} h1\r\nv\r\n", opaque(request)));
        } else {
            return http_200("v");
        };
        if is_node && request.contains("origin") {
            return StubAction::Reply(format!("EN {}\r\n", opaque(request)));
        }
        if request.contains("burst") {
            response.first_bytes = BURST_BYTES;
        }
        let (request, deliveries) = (request.to_owned(), deliveries.clone());
        StubAction::ReplyWith(Box::new(move |stream| response.write(&request, stream, &deliveries)))
    };
    if framing.is_of_node() {
        StubServer::node(act)
    } else {
        StubServer::origin(act)
    }
}

struct Rig {
    fixture: ProxyFixture,
    deliveries: Deliveries,
}

impl Rig {
    fn start() -> Rig {
        let deliveries = Deliveries::default();
        let node = server(Framing::Memcache, &deliveries);
        let origin = server(Framing::HttpLength, &deliveries);
        Rig { fixture: ProxyFixture::with_backends(&[&node], &origin), deliveries }
    }

    /// Starts a client that sends the commands and reads as [`read_value`].
    fn value_reader(&self, commands: &str, pause: Duration) -> JoinHandle<(Result<(), String>, Client)> {
        let mut client = self.fixture.client();
        client.send(commands);
        spawn(move || (read_value(&mut client, pause), client))
    }
}

fn read(key: &str, id: &str) -> String {
    format!("mg {key} v O{id} Pc=read,t=acme,d=900\r\n")
}

/// Reads a long value in pieces with pauses; returns what was read instead if it is not whole.
fn read_value(client: &mut Client, pause: Duration) -> Result<(), String> {
    let line = client.read_line();
    if !line.starts_with(&format!("VA {VALUE_BYTES} ")) {
        return Err(line);
    }
    let mut value = Vec::new();
    while value.len() < VALUE_BYTES + 2 {
        let mut piece = vec![0; (VALUE_BYTES + 2 - value.len()).min(16 * 1024)];
        client
            .reader()
            .read_exact(&mut piece)
            .map_err(|error| format!("cut after {}: {error}", value.len()))?;
        value.extend(piece);
        sleep(pause);
    }
    if value.ends_with(b"x\r\n") {
        Ok(())
    } else {
        Err("another end".into())
    }
}

/// Guards against an exit that cuts off values whose servers still give them: streamed, of a node and of
/// the origin, to fast and slow readers, with a read behind, asked for before SIGTERM and shortly after.
#[test]
fn values_that_are_given_at_sigterm_are_served_whole() {
    let rig = Rig::start();
    let mut late = rig.fixture.client();
    assert_eq!(late.request("mn\r\n"), "MN\r\n");
    let readers = [
        rig.value_reader(&read("slow1", "1"), ms(0)),
        rig.value_reader(&read("slow-origin", "2"), ms(0)),
        rig.value_reader(&read("slow3", "3"), ms(140)),
        rig.value_reader(&(read("slow4", "4") + &read("short", "5")), ms(0)),
    ];
    sleep(ms(300));
    rig.fixture.signal("TERM");
    let stopped_at = Instant::now();
    sleep(ms(350));
    late.send(&read("slow6", "6"));
    assert_eq!(read_value(&mut late, ms(0)), Ok(()), "asked for 0.35 s after SIGTERM");
    let results = readers.map(|reader| reader.join().unwrap());
    assert_eq!(rig.deliveries.cut_off(), []);
    for (result, mut client) in results {
        assert_eq!(result, Ok(()));
        let last = client.read_line();
        assert!(last.is_empty() || last.starts_with("SERVER_ERROR "), "{last:?}");
    }
    assert!(stopped_at.elapsed() > EARLIEST_KILL * 2 - ms(200), "{:?}", stopped_at.elapsed());
    assert!(rig.fixture.wait_for_exit().status.success());
}

/// Guards against long values that begin although SIGKILL will cut them off, which loses a request that
/// came over 0.7 s after SIGTERM, and against sound ones that are turned away with them.
#[test]
fn a_long_value_that_is_asked_for_late_is_served_whole_before_the_kill_or_rejected() {
    let rig = Rig::start();
    let mut clients: Vec<Client> = (0..5).map(|_| rig.fixture.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request("mn\r\n"), "MN\r\n");
    }
    rig.fixture.signal("TERM");
    let stopped_at = Instant::now();
    sleep(ms(800));
    let commands = [
        read("slow1", "1") + &read("short", "2"),
        read("slow-origin", "3"),
        read("fast4", "4"),
        read("fast-origin", "5") + &read("short", "6"),
        // Its time ends before anything shows how slow it is after its first bytes.
        "mg burst-slow7 v O7 Pc=read,t=acme,d=60\r\n".to_owned(),
    ];
    for (client, command) in clients.iter_mut().zip(&commands) {
        client.send(command);
    }
    let [slow, slow_origin, fast, fast_origin, burst] = &mut clients[..] else {
        unreachable!("five clients")
    };
    assert_eq!((read_value(fast, ms(0)), read_value(fast_origin, ms(0))), (Ok(()), Ok(())));
    assert_eq!((fast_origin.read_line(), fast_origin.read_line()), ("VA 1 O6\r\n".into(), "v\r\n".into()));
    for client in [burst, &mut *slow, slow_origin] {
        let line = client.read_line();
        let retry_after = line.strip_prefix("SERVER_ERROR busy ").and_then(|rest| rest.trim().parse().ok());
        let retry_at =
            stopped_at.elapsed() + ms(retry_after.unwrap_or_else(|| panic!("no time in {line:?}")));
        assert!(retry_at.abs_diff(EARLIEST_KILL) < ms(200), "{retry_at:?}");
    }
    assert_eq!((slow.read_line(), slow.read_line()), ("VA 1 O2\r\n".into(), "v\r\n".into()));
    assert!(stopped_at.elapsed() < EARLIEST_KILL, "{:?}", stopped_at.elapsed());
    assert!(rig.fixture.wait_for_exit().status.success());
}

/// Guards against a late value that is taken for early or early for late: what waited unread behind
/// another value had come before SIGTERM, and a kill may excuse it.
#[test]
fn a_value_that_waited_behind_another_since_before_sigterm_is_served_whole() {
    let rig = Rig::start();
    let reader = {
        let mut client = rig.fixture.client();
        client.send(&(read("slow1", "1") + &read("slow2", "2")));
        spawn(move || [read_value(&mut client, ms(0)), read_value(&mut client, ms(0))])
    };
    // The first value ends between the beginning of late requests and the last accepted one.
    sleep(SLOW_VALUE - ms(800));
    rig.fixture.signal("TERM");
    assert_eq!(reader.join().unwrap(), [Ok(()), Ok(())]);
    assert!(rig.fixture.wait_for_exit().status.success());
}

/// Guards against a process that never ends because a node never ends its value or a client does not
/// read: the longest pause of a stream (5 s) ends the one, and 20 s without progress the other.
#[test]
fn a_process_ends_by_itself_under_endless_values_and_clients_that_do_not_read() {
    let mut rig = Rig::start();
    let mut clients: Vec<Client> = (0..2).map(|_| rig.fixture.client()).collect();
    clients[0].send(&read("endless", "1"));
    assert!(clients[0].read_line().starts_with("VA "));
    for id in 0..24 {
        // More than the buffers of the sockets hold.
        clients[1].send(&read("fast", &format!("u{id}")));
    }
    sleep(ms(500));
    rig.fixture.signal("TERM");
    let stopped_at = Instant::now();
    let mut rest = Vec::new();
    clients[0].reader().read_to_end(&mut rest).unwrap();
    let cut_at = stopped_at.elapsed();
    assert!((ms(4000)..ms(6000)).contains(&cut_at) && rest.len() < VALUE_BYTES, "{cut_at:?}");
    assert!(rig.fixture.exits_within(ms(22_000)), "the process still runs");
    assert!(stopped_at.elapsed() > ms(15_000), "the client had its time: {:?}", stopped_at.elapsed());
}

/// Guards against a process that keeps its addresses while it finishes values, so that the next one
/// cannot start, also if the admin endpoint has an idle connection; and against a second signal that
/// cuts values off.
#[test]
fn a_new_process_starts_and_serves_while_the_old_one_finishes_values() {
    let mut rig = Rig::start();
    let reader = rig.value_reader(&read("slow1", "1"), ms(0));
    let operator = Client::connect(rig.fixture.admin_address);
    sleep(ms(100));
    rig.fixture.signal("TERM");
    sleep(EARLIEST_KILL - ms(200));
    rig.fixture.signal("TERM");
    let admin = format!(r#""admin":"{}""#, rig.fixture.admin_address);
    let started_at = Instant::now();
    let second = rig.fixture.start_second_process_with(r#""admin":"127.0.0.1:0""#, &admin);
    let address = rig.fixture.admin_address;
    rig.fixture.wait_until("the new process is ready", || {
        Client::try_connect(address).is_some() && call_admin(address, "GET", "/control/ready").0 == 200
    });
    assert!(started_at.elapsed() < ms(1000), "{:?}", started_at.elapsed());
    let old = rig.fixture.replace_process((second, address));
    assert_eq!(rig.fixture.client().get("k", "2", 900).1, "v\r\n");
    assert!(!reader.is_finished(), "the old process still gives its value");
    assert_eq!(reader.join().unwrap().0, Ok(()));
    assert!(wait_for_exit(old).status.success());
    drop(operator);
}

/// Guards against an upgrade whose older process cuts values off, or keeps the newer one from the next
/// upgrade while it finishes them; and against an older one that comes back when that one ends.
#[test]
fn an_older_process_that_finishes_values_does_not_delay_the_next_upgrade() {
    let mut rig = Rig::start();
    let reader = rig.value_reader(&read("slow1", "1"), ms(0));
    sleep(ms(50));
    let second = rig.fixture.start_second_process();
    let first = rig.fixture.replace_process(second);
    signal(&first, "TERM");
    sleep(EARLIEST_KILL);
    let third = rig.fixture.start_second_process();
    assert!(!reader.is_finished(), "the first process still gives its value");
    let second = rig.fixture.replace_process(third);
    signal(&second, "TERM");
    assert_eq!(rig.fixture.client().get("k", "2", 900).1, "v\r\n");
    assert_eq!(reader.join().unwrap().0, Ok(()));
    assert!(wait_for_exit(first).status.success() && wait_for_exit(second).status.success());
    assert_eq!(rig.fixture.client().get("k", "3", 900).1, "v\r\n");
    let fourth = rig.fixture.start_second_process();
    let third = rig.fixture.replace_process(fourth);
    signal(&third, "TERM");
    assert!(wait_for_exit(third).status.success());
}

/// Guards against an older process that finishes values and takes part again when the newer one dies:
/// it must leave the addresses to the next process.
#[test]
fn a_newer_process_that_dies_leaves_the_addresses_to_the_next_one() {
    let mut rig = Rig::start();
    let reader = rig.value_reader(&read("slow1", "1"), ms(0));
    let second = rig.fixture.start_second_process();
    let first = rig.fixture.replace_process(second);
    signal(&first, "TERM");
    sleep(EARLIEST_KILL - ms(200));
    rig.fixture.restart();
    assert_eq!(rig.fixture.client().get("k", "2", 900).1, "v\r\n");
    assert!(!reader.is_finished(), "the first process still gives its value");
    assert_eq!(reader.join().unwrap().0, Ok(()));
    assert!(wait_for_exit(first).status.success());
    assert_eq!(rig.fixture.client().get("k", "3", 900).1, "v\r\n");
}
