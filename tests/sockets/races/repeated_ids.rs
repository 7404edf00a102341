//! The id of a write that comes again after its client has disconnected.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

/// Seed of the pauses.
const SEED: u64 = 7;
/// Number of writes.
const WRITES: usize = 12;
/// Time that the origin takes for a write.
const WRITE_TIME: Duration = ms(250);

/// Starts an origin that executes each write slowly.
fn slow_write_origin() -> StubServer {
    StubServer::origin(|request| {
        if !request.starts_with("PUT ") {
            return StubAction::Disconnect;
        }
        sleep(WRITE_TIME);
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
        let (node, origin) = (StubServer::hit_node("v"), slow_write_origin());
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
    let (node, origin) = (StubServer::hit_node("v"), slow_write_origin());
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    send_twice(|| fixture.client(), || fixture.client());
    let executions = executions(&origin);
    assert_eq!(executions.len(), WRITES);
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
}
