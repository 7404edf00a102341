//! Bad clients that send the ids of other clients' open writes, during an upgrade.

use crate::kit::*;
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL: u64 = 24;
const BAD: u64 = 60;
/// The origin needs so long for a write.
const WORK_MS: u64 = 150;
/// A bad client names only ids that have been open for so long.
const OPEN_FOR_MS: u64 = 20;
/// A hold-up of the old process, within the 0.15 s of the page.
const HELD_UP_MS: u64 = 130;
const UPGRADE_AT_MS: u64 = 2500;
const STOP_AFTER_MS: u64 = 1000;
const END_MS: u64 = 7000;

fn write_request(id: &str) -> String {
    format!("ms 00000000000000aa 5 O{id} Pc=confirm,t=hel-gdynia,d=2000,k={id}\r\nhello\r\n")
}

pub fn run(record: &Record) -> Outcome {
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let (counted, log) = (Arc::clone(&runs), record.clone());
    let origin = origin(move |request, output| {
        if request.method != "PUT" {
            return http_ok(output, &value_of(&request.key, 64));
        }
        let times = {
            let mut runs = counted.lock().unwrap();
            let times = runs.entry(request.id.clone()).or_default();
            *times += 1;
            *times
        };
        if times > 1 {
            log.line(&format!("origin: PUT {} runs for the {times}. time", request.id));
        }
        thread::sleep(ms(WORK_MS));
        http_ok(output, format!("receipt-{}", request.id).as_bytes())
    });
    let miss = node(|command, output| {
        use std::io::Write;
        output.write_all(format!("EN O{}\r\n", command.id).as_bytes())
    });
    let mut setup = ProxySetup::new(vec![member(1, miss, "c6-std"), member(2, origin, "origin")]);
    // The settings of a short day: a class has another effect than the site gives it.
    setup.classes[2] = Class { name: "confirm", aim: 1000, give_up: 2500, semantics: "unsafe", window: 1200 };
    let mut proxy = Proxy::start(&setup, record)?;
    let listen = proxy.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let open: Arc<Mutex<HashMap<u64, (String, Instant)>>> = Arc::default();
    let served_usual = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..USUAL)
        .map(|number| {
            let (stop, open, served) = (Arc::clone(&stop), Arc::clone(&open), Arc::clone(&served_usual));
            thread::spawn(move || {
                let mut id = (number + 1) * 1_000_000;
                let mut client = None;
                while !is_set(&stop) {
                    if client.is_none() {
                        client = Client::connect(listen).ok();
                    }
                    let Some(connection) = &mut client else { continue };
                    id += 1;
                    let name = new_id(id);
                    if connection.send(write_request(&name).as_bytes()).is_err() {
                        client = None;
                        continue;
                    }
                    open.lock().unwrap().insert(number, (name.clone(), Instant::now()));
                    let answer = connection.answer(ms(4000));
                    open.lock().unwrap().remove(&number);
                    match answer {
                        Answer::Line(line) if line == format!("HD O{name} creceipt-{name}") => {
                            served.fetch_add(1, Ordering::AcqRel);
                        }
                        Answer::None(_) => client = None,
                        _ => thread::sleep(ms(50)),
                    }
                }
            })
        })
        .collect();
    let answers: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let named: Arc<Mutex<HashSet<String>>> = Arc::default();
    for number in 0..BAD {
        let (stop, open, named) = (Arc::clone(&stop), Arc::clone(&open), Arc::clone(&named));
        let (answers, log) = (Arc::clone(&answers), record.clone());
        thread::spawn(move || {
            let mut turn = number;
            while !is_set(&stop) {
                turn += 1;
                let choice = open.lock().unwrap().get(&(turn % USUAL)).cloned();
                let Some((name, _)) = choice.filter(|(_, since)| since.elapsed() >= ms(OPEN_FOR_MS)) else {
                    thread::sleep(ms(1));
                    continue;
                };
                let Ok(mut client) = Client::connect(listen) else { continue };
                if client.send(write_request(&name).as_bytes()).is_err() {
                    continue;
                }
                // Only an id whose usual client still waits is that of an open request.
                let is_open = open.lock().unwrap().values().any(|(other, _)| *other == name);
                if is_open {
                    named.lock().unwrap().insert(name.clone());
                }
                let answer = show(&client.answer(ms(4000)));
                if answer.starts_with("HD") {
                    log.line(&format!("a bad client that named the open id {name} got: {answer}"));
                }
                let kind = answer.split(" O").next().unwrap_or("").to_owned();
                *answers.lock().unwrap().entry(kind).or_default() += 1;
            }
        });
    }
    let started = Instant::now();
    thread::sleep(ms(UPGRADE_AT_MS));
    let admin = free_address();
    if record.trouble {
        proxy.spawn(admin, record)?;
        // The new process opens its second address before it accepts clients.
        if !wait_until_often(ms(6000), || is_open(admin)) {
            return Err("the new process opened no second address".to_owned());
        }
    }
    proxy.signal(0, SIGSTOP, record);
    let stopped = Instant::now();
    thread::sleep(ms(HELD_UP_MS));
    proxy.signal(0, SIGCONT, record);
    let held_up = stopped.elapsed();
    record.line(&format!("the old process was held up for {} ms", held_up.as_millis()));
    if held_up > ms(150) {
        return Err("the process was held up for longer than the page's 0.15 s".to_owned());
    }
    if record.trouble {
        let is_ready = || operator_call(admin, "GET", "/control/ready").is_ok_and(|status| status == 200);
        if !wait_until(ms(6000), is_ready) {
            return Err("the new process did not say yes within 6 s".to_owned());
        }
        record.line("the new process says yes");
        thread::sleep(ms(STOP_AFTER_MS));
        proxy.signal(0, SIGTERM, record);
    }
    thread::sleep(ms(END_MS).saturating_sub(started.elapsed()));
    stop.store(true, Ordering::Release);
    for thread in threads {
        thread.join().map_err(|_| "a client panicked")?;
    }
    let runs = runs.lock().unwrap().clone();
    let named = named.lock().unwrap().clone();
    let twice = runs.iter().filter(|(id, times)| **times > 1 && named.contains(*id)).count();
    let served = served_usual.load(Ordering::Acquire);
    record.line(&format!(
        "{} writes ran, {twice} of them more than once whose id was named while open; usual clients served: {served}",
        runs.len()
    ));
    record.line(&format!("bad clients got: {:?}", answers.lock().unwrap().clone()));
    if served == 0 {
        return Err("no usual client was served".to_owned());
    }
    Ok(if twice == 0 { Verdict::Held } else { Verdict::Broken })
}

fn wait_until_often(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_true() {
            return true;
        }
        thread::sleep(Duration::from_micros(200));
    }
    false
}

/// Returns whether a process listens at the address. A connection that the system makes from a free port
/// to itself is none.
fn is_open(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok_and(|stream| stream.local_addr().is_ok_and(|own| own != address))
}
