//! Hot restarts: a second process takes over from the first while it serves.

use crate::{idle_origin, ms};
use pinetrail_test_harness::*;
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};

fn kill(mut child: Child) {
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Clients that send requests continuously, and connect again whenever their connection is closed
/// between commands.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(fixture: &ProxyFixture, clients: usize) -> Load {
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let address = fixture.client_address;
        let run = |number: usize| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            spawn(move || {
                let mut client = Client::connect(address);
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{number}.{n}");
                    // A command that crosses the close of its connection is not read, so it is sent
                    // once more.
                    let mut response = client.try_get(&id);
                    if response.is_none() {
                        client = Client::connect(address);
                        response = client.try_get(&format!("{id}r"));
                    }
                    assert_eq!(response.as_deref(), Some("v\r\n"), "{id}");
                    answered.fetch_add(1, Ordering::SeqCst);
                    sleep(ms(3));
                }
            })
        };
        let clients = (0..clients).map(run).collect();
        Load { stop, answered, clients }
    }

    fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.join().expect("every command is answered");
        }
        self.answered.load(Ordering::SeqCst)
    }
}

/// Guards against commands that are lost or executed twice in a hot restart, and against nodes that
/// return from maintenance because of it.
#[test]
fn three_hot_restarts_lose_no_request_and_keep_maintenance() {
    let (node, offline_node, origin) =
        (StubServer::hit_node("v"), StubServer::hit_node("out"), idle_origin());
    let mut fixture = ProxyFixture::with_backends(&[&node, &offline_node], &origin);
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/cache-nodes/s-1/offline").0, 200);
    let load = Load::start(&fixture, 8);
    for _ in 0..3 {
        let second = fixture.start_second_process();
        // The commands of both admin servers apply to both processes.
        assert_eq!(call_admin(second.1, "POST", "/control/cache-nodes/s-0/online").0, 200);
        assert_eq!(call_admin(fixture.admin_address, "POST", "/control/cache-nodes/s-1/offline").0, 200);
        assert_eq!(
            call_admin(fixture.admin_address, "GET", "/control/ready").0,
            200,
            "the first process still serves"
        );
        sleep(ms(100));
        let first = fixture.replace_process(second);
        signal(&first, "TERM");
        assert!(wait_for_exit(first).status.success());
        sleep(ms(100));
    }
    let answered = load.stop();
    let ids: std::collections::BTreeSet<String> =
        node.received().iter().map(|line| opaque(line).to_owned()).collect();
    assert_eq!(node.received().len(), ids.len(), "no request is executed twice");
    assert!(ids.len() >= answered && answered > 100, "{answered} answered, {} at the node", ids.len());
    assert!(
        offline_node.received().is_empty(),
        "the node is in maintenance before, during and after each hot restart"
    );
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/cache-nodes/s-1/online").0, 200);
    let mut client = fixture.client();
    for n in 0..40 {
        assert!(client.get(&format!("j{n}"), &format!("j{n}"), 900).0.starts_with("VA "));
    }
    assert!(!offline_node.received().is_empty(), "the node serves again");
}

/// Guards against clients that wait for a second process that dies, and against a failed hot
/// restart that prevents the next one.
#[test]
fn a_second_process_that_fails_leaves_the_first_one_unchanged() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let mut fixture = ProxyFixture::with_backends(&[&node], &origin);
    let admin_in_use = format!(r#""admin":"{}""#, fixture.admin_address);
    for (from, to, expected_text) in [
        (r#""admin":"127.0.0.1:0""#, admin_in_use.as_str(), "endpoint:"),
        (r#""Grades""#, r#""Grates""#, "Grades"),
    ] {
        let output = wait_for_exit(fixture.start_second_process_with(from, to));
        assert_eq!(output.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&output.stderr).contains(expected_text));
        assert_eq!(fixture.client().get("k", expected_text, 900).1, "v\r\n");
    }
    // Killed at different times before and after it is ready.
    for wait_ms in [0, 5, 20, 60] {
        let child = fixture.start_second_process_with("n0", "n0");
        sleep(ms(wait_ms));
        kill(child);
        assert_eq!(fixture.client().get("k", &wait_ms.to_string(), 900).1, "v\r\n");
    }
    let (second, _) = fixture.start_second_process();
    let third = wait_for_exit(fixture.start_second_process_with("n0", "n0"));
    assert_eq!(third.status.code(), Some(2), "only one hot restart at a time");
    assert!(String::from_utf8_lossy(&third.stderr).contains("refuses"));
    kill(second);
    fixture.wait_until("the first process accepts", || fixture.client().get("k", "a", 900).1 == "v\r\n");
    let second = fixture.start_second_process();
    let first = fixture.replace_process(second);
    kill(first);
    assert_eq!(
        fixture.client().get("k", "b", 900).1,
        "v\r\n",
        "the second process serves after the first is killed"
    );
    let second = fixture.start_second_process();
    let first = fixture.replace_process(second);
    signal(&first, "TERM");
    assert!(wait_for_exit(first).status.success());
    assert_eq!(fixture.client().get("k", "c", 900).1, "v\r\n");
}

/// Guards against a hot restart in which only one of the two processes goes out of service, and
/// against a later process that starts out of service.
#[test]
fn going_out_of_service_applies_to_both_processes_and_is_not_inherited() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let mut fixture = ProxyFixture::with_backends(&[&node], &origin);
    let second = fixture.start_second_process();
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200);
    assert!(fixture.client().request("mn\r\n").starts_with("SERVER_ERROR "));
    assert_eq!(call_admin(second.1, "POST", "/control/in-service").0, 200);
    assert_eq!(fixture.client().request("mn\r\n"), "MN\r\n");
    kill(fixture.replace_process(second));
    assert_eq!(call_admin(fixture.admin_address, "POST", "/control/out-of-service").0, 200);
    let second = fixture.start_second_process();
    kill(fixture.replace_process(second));
    assert_eq!(fixture.client().request("mn\r\n"), "MN\r\n");
}

/// Guards against a hot restart that fails because the path of `$TMPDIR` is too long for a Unix
/// socket, or because a killed process left files there.
#[test]
fn a_hot_restart_needs_no_short_path_and_no_clean_folder() {
    let (node, origin) = (StubServer::hit_node("v"), idle_origin());
    let mut fixture = ProxyFixture::with_backends(&[&node], &origin);
    fixture.use_long_temp_dir();
    // A killed process leaves its socket file behind.
    for _ in 0..2 {
        fixture.restart();
    }
    let second = fixture.start_second_process();
    let first = fixture.replace_process(second);
    signal(&first, "TERM");
    assert!(wait_for_exit(first).status.success());
    assert_eq!(fixture.client().get("k", "1", 900).1, "v\r\n");
}

/// Guards against a crash while draining: a process that had closed a listening socket still got
/// events of it, with a pointer to freed memory, because another process held the socket open.
#[test]
fn a_newer_process_that_is_stopped_first_ends_in_order_while_clients_connect() {
    let node = StubServer::node(|line| {
        if line.starts_with("mg slow") {
            StubAction::Ignore
        } else {
            StubAction::Reply(format!("VA 1 {}\r\nv\r\n", opaque(line)))
        }
    });
    let fixture = ProxyFixture::with_backends(&[&node], &idle_origin());
    for round in 0..4 {
        let (newer, _) = fixture.start_second_process();
        // Some of these belong to the newer process, which runs until they have their responses.
        let mut waiting: Vec<Client> = (0..16).map(|_| fixture.client()).collect();
        for (number, client) in waiting.iter_mut().enumerate() {
            client.send(&format!("mg slow{number} v O{round}w{number} Pc=read,t=acme,d=900\r\n"));
        }
        sleep(ms(50));
        signal(&newer, "TERM");
        for n in 0..200 {
            assert_eq!(fixture.client().get("k", &format!("{round}.{n}"), 900).1, "v\r\n");
        }
        let responses: Vec<String> = waiting.iter_mut().map(Client::read_line).collect();
        let status = wait_for_exit(newer).status;
        assert!(status.success(), "round {round}: {status}, {responses:?}");
        assert!(responses.iter().all(|line| line.starts_with("SERVER_ERROR ")), "{responses:?}");
    }
}
