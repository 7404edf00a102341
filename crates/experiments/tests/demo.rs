//! Runs the subcommand `demo` as a user does, and checks its figures and its processes.

use serde_json::Value;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(60);

fn demo(arguments: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinetrail-experiments"));
    command.arg("demo").args(arguments).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().expect("the demo cannot be started")
}

fn end(mut child: Child) -> Option<i32> {
    let until = Instant::now() + WAIT;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        sleep(Duration::from_millis(20));
    }
    child.kill().and_then(|()| child.wait()).unwrap();
    panic!("the demo did not end within {WAIT:?}");
}

#[test]
fn the_demo_answers_every_request_once_and_says_so() {
    let path = std::env::temp_dir().join(format!("pinetrail-demo-{}.json", std::process::id()));
    let child = demo(&["--seconds", "8", "--rate", "60", "--seed", "3", "--json", path.to_str().unwrap()]);
    assert_eq!(end(child), Some(0));
    let figures: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    std::fs::remove_file(path).unwrap();
    assert_eq!(figures["requests"], 480);
    let answers = figures["answers"].as_object().unwrap();
    assert_eq!(answers.values().map(|count| count.as_u64().unwrap()).sum::<u64>(), 480);
    assert!(answers["served"].as_u64().unwrap() > 200, "{answers:?}");
    assert_eq!(figures["rules_broken"], Value::Array(vec![]));
    assert!(figures["latency_ms"]["p50"].as_f64().unwrap() > 1.0, "a cache node alone takes 2 ms");
    let known = figures["known"].as_array().unwrap();
    assert_eq!(known.len(), 4);
    assert!(known.iter().all(|known| known["after_ms"].as_u64().is_some()), "{known:?}");
}

/// Guards against proxies that outlive the demo that started them.
#[test]
fn an_interrupt_ends_it_and_all_its_processes() {
    let child = demo(&["--seconds", "120"]);
    let path = format!("/proc/{0}/task/{0}/children", child.id());
    let until = Instant::now() + WAIT;
    let proxies = loop {
        let text = std::fs::read_to_string(&path).unwrap();
        let proxies: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        if proxies.len() == 3 {
            break proxies;
        }
        assert!(Instant::now() < until, "the demo did not start its three proxies within {WAIT:?}");
        sleep(Duration::from_millis(20));
    };
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::INT).unwrap();
    assert_eq!(end(child), Some(2));
    assert!(proxies.iter().all(|id| !std::path::Path::new(&format!("/proc/{id}")).exists()), "{proxies:?}");
}
