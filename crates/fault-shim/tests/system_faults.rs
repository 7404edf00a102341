//! Tests of real proxies whose `accept` or `connect` calls fail, or whose wall clock is set.

use pinetrail_fault_shim::{FaultControl, CONTROL_FILE_VARIABLE};
use pinetrail_test_harness::*;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longest time from the end of a fault until the proxy serves again.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
const HOUR_MS: i64 = 3_600_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Makes the harness start proxies with the library preloaded, and returns their control file
/// without faults. All tests of this program share the file, so the returned lock makes the tests
/// run one after the other.
fn control() -> MutexGuard<'static, FaultControl> {
    static CONTROL: OnceLock<Mutex<FaultControl>> = OnceLock::new();
    let control = CONTROL.get_or_init(|| {
        let file = std::env::temp_dir().join(format!("pinetrail-faults-{}", std::process::id()));
        let control = FaultControl::create(&file).unwrap();
        let test = std::env::current_exe().unwrap();
        let folder = test.parent().and_then(Path::parent).unwrap();
        // `cargo build` copies the library to the folder of the programs; `cargo test` leaves it
        // in the folder of the test.
        let library = test.with_file_name("libpinetrail_fault_shim.so");
        assert!(library.exists(), "{} was not built with this test", library.display());
        let preload = format!("LD_PRELOAD={}", library.display());
        let faults = format!("{CONTROL_FILE_VARIABLE}={}", file.display());
        let proxy = folder.join("pinetrail").display().to_string();
        set_program(PathBuf::from("/usr/bin/env"), &[&preload, &faults, &proxy]);
        Mutex::new(control)
    });
    // A test that failed may have left its fault active.
    let control = control.lock().unwrap_or_else(PoisonError::into_inner);
    control.clear_faults();
    control
}

/// Returns whether the proxy answers a command on a new connection within a time.
fn answers_new_connections_within(fixture: &ProxyFixture, time: Duration) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let client = Client::try_connect(fixture.client_address);
        if client.is_some_and(|mut client| client.try_send("mn\r\n") && client.read_line() == "MN\r\n") {
            return true;
        }
        sleep(ms(10));
    }
    false
}

/// Guards against a listener that stops accepting connections after an error of `accept`.
#[test]
fn a_proxy_accepts_again_after_each_error_of_accept() {
    let control = control();
    let origin = StubServer::origin(|_| StubAction::Ignore);
    let fixture = ProxyFixture::with_backends(&[&StubServer::hit_node("v")], &origin);
    let mut held = fixture.client();
    assert_eq!(held.request("mn\r\n"), "MN\r\n", "the connection is accepted before the fault");
    for error in [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EINTR, libc::EPROTO] {
        control.fail_accept(error);
        // Enters the listener's queue, and so makes the proxy call `accept`.
        let waiting = Client::try_connect(fixture.client_address);
        sleep(ms(200));
        assert_eq!(
            held.get("k", &format!("held{error}"), 900).1,
            "v\r\n",
            "errno {error}: the open connection is not served"
        );
        control.fail_accept(0);
        assert!(answers_new_connections_within(&fixture, RECOVERY_TIME), "errno {error}: not accepting");
        drop(waiting);
    }
}

/// Guards against requests without a response while `connect` fails, and against nodes that stay
/// unused after it succeeds again.
#[test]
fn requests_are_answered_while_connect_fails_and_served_after_it() {
    let control = control();
    for error in [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT] {
        let (node, origin) = (StubServer::hit_node("v"), StubServer::origin(|_| StubAction::Ignore));
        let fixture = ProxyFixture::with_backends(&[&node], &origin);
        control.fail_connect(error);
        let mut client = fixture.client();
        for number in 0..2 {
            let begun = Instant::now();
            let (line, _) = client.get("k", &format!("failing{number}"), 700);
            assert!(line.starts_with("SERVER_ERROR "), "errno {error}: {line:?}");
            assert!(begun.elapsed() < ms(2000), "errno {error}: answered after {:?}", begun.elapsed());
        }
        control.fail_connect(0);
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut number = 0;
        while client.get("k", &format!("after{number}"), 900).1 != "v\r\n" {
            number += 1;
            assert!(Instant::now() < until, "errno {error}: the node is not used again");
            sleep(ms(20));
        }
    }
}

/// Guards against deadlines that move when the wall clock is set: time limits must be measured on
/// the monotonic clock.
#[test]
fn deadlines_hold_while_the_wall_clock_is_set() {
    let control = control();
    let (node, origin) =
        (StubServer::node(|_| StubAction::Ignore), StubServer::origin(|_| StubAction::Ignore));
    let fixture = ProxyFixture::with_backends(&[&node], &origin);
    for (number, offset_ms) in [-HOUR_MS, -3000, 3000, HOUR_MS].into_iter().enumerate() {
        let mut client = fixture.client();
        let begun = Instant::now();
        client.send(&format!("mg k v O{number} Pc=read,t=acme,d=600\r\n"));
        sleep(ms(100));
        control.set_wall_clock_offset(offset_ms);
        assert!(client.read_line().starts_with("SERVER_ERROR "));
        let took = begun.elapsed();
        assert!(took >= ms(400) && took < ms(5000), "offset {offset_ms} ms: answered after {took:?}");
        control.set_wall_clock_offset(0);
    }
    assert_eq!(fixture.counter("overdue"), 0, "a request was ended by the check for overdue requests");
}

/// Guards against a node that counts as warm after a restart because the wall clocks of the proxy
/// and the node were set back before.
#[test]
fn a_node_that_restarts_after_the_clock_was_set_back_is_warming_up() {
    let control = control();
    let nodes = [StubServer::hit_node("v"), StubServer::hit_node("v")];
    let origin = StubServer::origin(|_| StubAction::Ignore);
    let fixture = ProxyFixture::with_backends(&[&nodes[0], &nodes[1]], &origin);
    let (_, updates) = fixture.discovery.next_watch();
    let mut client = fixture.client();
    for number in 0..100 {
        assert_eq!(client.get(&format!("k{number}"), &format!("warm{number}"), 900).1, "v\r\n");
    }
    control.set_wall_clock_offset(-HOUR_MS);
    let unix = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis();
    let started = unix - u128::try_from(HOUR_MS).unwrap();
    let entry = nodes[0].entry("s-0", "c6", "ready");
    let restarted = entry.replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{started}"#));
    updates.send(endpoint_list_json(2, false, &[restarted])).unwrap();
    fixture.wait_until("the list with the restart has arrived", || fixture.counter("lists") == 1);
    let before = nodes.each_ref().map(|node| node.received().len());

    for number in 0..200 {
        assert_eq!(client.get(&format!("c{number}"), &format!("cold{number}"), 900).1, "v\r\n");
    }
    control.set_wall_clock_offset(0);

    let [cold, warm] = [0, 1].map(|node| nodes[node].received().len() - before[node]);
    assert!(cold * 3 < warm, "the cold node got {cold}, the warm one {warm}");
}
