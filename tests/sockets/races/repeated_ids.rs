//! The id of a write that comes again after its client has disconnected.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Seed of the pauses.
const SEED: u64 = 7;
/// Number of writes.
const WRITES: usize = 12;
/// Time that the origin takes for a write.
const WRITE_TIME: Duration = ms(250);

/// Starts an origin that takes so long for each write.
fn slow_write_origin(time: Duration) -> StubServer {
    StubServer::origin(move |request| {
        if !request.starts_with("PUT ") {
            return StubAction::Disconnect;
        }
        sleep(time);
        http_200("r1")
    })
}

fn write(number: usize) -> String {
    format!("ms seat 4 Ow{number} Pc=confirm,t=acme,d=900\r\nhold\r\n")
}

/// Returns how many times the origin received each write.
fn executions(origin: &StubServer) -> BTreeMap<String, usize> {
    let mut executions = BTreeMap::new();
    for request in origin.received() {
        let id = request.lines().find(|line| line.starts_with("X-Txn: ")).unwrap_or("none").to_owned();
        *executions.entry(id).or_default() += 1;
    }
    executions
}

/// Sends each write on a connection of `first` that is closed at some time, then again on one of
/// `second`.
fn send_twice(mut first: impl FnMut() -> Client, second: impl Fn() -> Client) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    for number in 0..WRITES {
        let mut client = first();
        client.send(&write(number));
        sleep(ms(rng.gen_range(5..300)));
        drop(client);
        sleep(ms(rng.gen_range(0..150)));
        let line = second().request(&write(number));
        assert!(line.starts_with("CLIENT_ERROR "), "write {number}: {line:?}");
    }
}

/// Guards against a write that runs at both processes of an upgrade, in either order.
#[test]
fn a_write_that_one_process_of_an_upgrade_has_read_does_not_run_at_the_other() {
    for is_first_at_older in [true, false] {
        let (node, origin) = (StubServer::hit_node("v"), slow_write_origin(WRITE_TIME));
        let mut fixture = ProxyFixture::with_backends(&[&node], &origin);
        // These connections stay with the older process, which accepts none once the newer serves.
        let mut at_older: Vec<Client> = (0..WRITES).map(|_| fixture.client()).collect();
        for client in &mut at_older {
            assert_eq!(client.request("mn\r\n"), "MN\r\n");
        }
        let second = fixture.start_second_process();
        let mut older = fixture.replace_process(second);
        let at_older = RefCell::new(at_older);
        let older_client = || at_older.borrow_mut().pop().unwrap();
        if is_first_at_older {
            send_twice(older_client, || fixture.client());
        } else {
            send_twice(|| fixture.client(), older_client);
        }
        let executions = executions(&origin);
        assert_eq!(executions.len(), WRITES);
        assert!(executions.values().all(|count| *count == 1), "{executions:?}");
        older.kill().and_then(|()| older.wait()).unwrap();
    }
}

/// Guards against a write that runs twice, because its client disconnected and the id was forgotten
/// when its attempt ended.
#[test]
fn a_write_whose_client_has_disconnected_does_not_run_again() {
    let (node, origin) = (StubServer::hit_node("v"), slow_write_origin(WRITE_TIME));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    send_twice(|| fixture.client(), || fixture.client());
    let executions = executions(&origin);
    assert_eq!(executions.len(), WRITES);
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
}

/// A hold-up of the older process, within the 150 ms that a process must tolerate.
const HOLD_UP: Duration = ms(130);
/// Clients that send writes one after another, and clients that send the same ids meanwhile.
const USUAL_CLIENTS: usize = 24;
const REPEATING_CLIENTS: usize = 60;
/// The time for which clients send after the second process has opened its address for operators.
const REPEAT_TIME: Duration = ms(1200);
/// Time that the origin takes for a write that is repeated while it is open.
const OPEN_WRITE_TIME: Duration = ms(150);
/// The time that a write is open before its id is sent again.
const OPEN_TIME: Duration = ms(20);

/// The open write of each usual client: its number, and since when it is open.
type OpenWrites = Mutex<BTreeMap<usize, (usize, Instant)>>;

/// Sends writes with new ids one after another.
fn send_writes(address: SocketAddr, client_number: usize, open: &OpenWrites, stop: &AtomicBool) {
    let mut client = None;
    for write_number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let connection = client.get_or_insert_with(|| Client::connect(address));
        let number = client_number * 100_000 + write_number;
        let is_sent = connection.try_send(&write(number));
        open.lock().unwrap().insert(client_number, (number, Instant::now()));
        let is_answered = is_sent && !connection.read_line().is_empty();
        open.lock().unwrap().remove(&client_number);
        if !is_answered {
            client = None;
        }
    }
}

/// Sends the ids of open writes again, each on a connection of its own.
fn repeat_writes(address: SocketAddr, turn: usize, open: &OpenWrites, stop: &AtomicBool) {
    for turn in turn.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let chosen = open.lock().unwrap().get(&(turn % USUAL_CLIENTS)).copied();
        let Some((number, _)) = chosen.filter(|(_, since)| since.elapsed() >= OPEN_TIME) else {
            sleep(ms(1));
            continue;
        };
        let Some(mut client) = Client::try_connect(address) else { continue };
        if client.try_send(&write(number)) {
            client.read_line();
        }
    }
}

/// Guards against a write that the newer process runs a second time because it accepts clients before
/// it knows the ids of the older one, which is held up meanwhile; and against ids that are announced
/// during the hand-over.
#[test]
fn no_write_runs_twice_while_a_new_process_takes_over_from_one_that_is_held_up() {
    let (node, origin) = (StubServer::hit_node("v"), slow_write_origin(OPEN_WRITE_TIME));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    let (address, open, stop) = (fixture.client_address, OpenWrites::default(), AtomicBool::new(false));
    let free_port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    thread::scope(|scope| {
        let (open, stop) = (&open, &stop);
        for number in 0..USUAL_CLIENTS {
            scope.spawn(move || send_writes(address, number, open, stop));
        }
        for number in 0..REPEATING_CLIENTS {
            scope.spawn(move || repeat_writes(address, number, open, stop));
        }
        sleep(REPEAT_TIME);
        let to = format!(r#""admin":"{free_port}""#);
        let mut second = fixture.start_second_process_with(r#""admin":"127.0.0.1:0""#, &to);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while TcpStream::connect(free_port).is_err() && Instant::now() < deadline {
            sleep(Duration::from_micros(200));
        }
        fixture.signal("STOP");
        sleep(HOLD_UP);
        fixture.signal("CONT");
        sleep(REPEAT_TIME);
        let is_ready = call_admin(free_port, "GET", "/control/ready").0 == 200;
        stop.store(true, Ordering::SeqCst);
        sleep(WRITE_TIME);
        second.kill().and_then(|()| second.wait()).unwrap();
        assert!(is_ready, "the second process is ready");
    });
    let executions = executions(&origin);
    let repeated: Vec<_> = executions.iter().filter(|(_, count)| **count > 1).collect();
    assert!(executions.len() > USUAL_CLIENTS, "{} writes ran", executions.len());
    assert!(repeated.is_empty(), "{repeated:?} of {} writes", executions.len());
}
