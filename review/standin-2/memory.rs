//! An upgrade of a proxy with little memory, under many clients.

use crate::kit::*;
use std::fs;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// Clients that read values slowly, half of them of 4 MiB, half of 60,000 bytes.
const READERS: u64 = 340;
/// Clients that connect, ask `mn`, and then say nothing or stop in the middle of a request.
const CROWD: u64 = 450;
const LONG: usize = 4 << 20;
const SHORT: usize = 60_000;
const UPGRADE_AT_MS: u64 = 5000;
const STOP_AFTER_MS: u64 = 1500;
const END_MS: u64 = 12_000;

/// The memory of a process in KiB, each page divided by the processes that have it: all of it, and
/// the part that no file backs, which the system cannot take back.
fn memory_kib(pid: u32) -> Option<(u64, u64)> {
    let text = fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).ok()?;
    let field = |name: &str| -> Option<u64> {
        text.lines().find(|line| line.starts_with(name))?.split_whitespace().nth(1)?.parse().ok()
    };
    Some((field("Pss:")?, field("Pss_Anon:")?))
}

/// Whether the process is the proxy already, and not the shell that becomes it.
fn is_proxy(pid: u32) -> bool {
    fs::read_to_string(format!("/proc/{pid}/comm")).is_ok_and(|name| name.trim() == "pinetrail")
}

pub fn run(record: &Record) -> Outcome {
    let nodes = node(|command, output| {
        let length = if command.key.starts_with('a') { LONG } else { SHORT };
        output.write_all(format!("VA {length} O{}\r\n", command.id).as_bytes())?;
        output.write_all(&value_of(&command.key, length))?;
        output.write_all(b"\r\n")
    });
    let origin = origin(|request, output| http_ok(output, &value_of(&request.key, 64)));
    let members = vec![member(1, nodes, "c6-std"), member(2, nodes, "c6-fast"), member(3, origin, "origin")];
    let mut setup = ProxySetup::new(members);
    setup.memory_mb = MEMORY_MB;
    setup.sockets = SOCKETS;
    let mut proxy = Proxy::start(&setup, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let listen = proxy.listen;
    for number in 0..READERS {
        let stop = Arc::clone(&stop);
        spawn(move || {
            let mut id = (number + 1) * 1_000_000;
            while !is_set(&stop) {
                let Ok(mut client) = Client::connect(listen) else {
                    thread::sleep(ms(50));
                    continue;
                };
                client.set_receive_buffer(8192);
                while !is_set(&stop) {
                    id += 1;
                    let key = format!("{}{id:015x}", if number % 2 == 0 { 'a' } else { 'b' });
                    if client.send(read_request(&key, &new_id(id), "lookup", 1200).as_bytes()).is_err() {
                        break;
                    }
                    let answer = client.answer_paced(ms(4000), 32 * 1024, ms(10));
                    if matches!(answer, Answer::None(_) | Answer::Cut { .. }) {
                        break;
                    }
                    // A client that is told to come again later does so.
                    thread::sleep(ms(if matches!(answer, Answer::Line(_)) { 100 } else { 5 }));
                }
            }
        });
    }
    for number in 0..CROWD {
        let stop = Arc::clone(&stop);
        spawn(move || {
            while !is_set(&stop) {
                let Ok(mut client) = Client::connect(listen) else {
                    thread::sleep(ms(100));
                    continue;
                };
                let _ = client.send(b"mn\r\n");
                let _ = client.answer(ms(2000));
                if number % 2 == 0 {
                    let id = new_id(number + 7);
                    let _ = client.send(
                        format!("ms {number:016x} 60000 O{id} Pc=hold,t=sopot-hel,d=2000,k={id}\r\n")
                            .as_bytes(),
                    );
                    let _ = client.send(&[b'x'; 3900]);
                }
                let _ = client.answer(ms(6000));
                thread::sleep(ms(20));
            }
        });
    }
    record.line(&format!("{READERS} readers, {CROWD} others; the limit is {} KiB", MEMORY_MB * 1024));
    let started = Instant::now();
    let (mut most, mut most_at, mut shown) = (0, 0, 0);
    let mut phase = 0;
    while started.elapsed() < ms(END_MS) {
        thread::sleep(ms(10));
        let at = started.elapsed();
        if record.trouble && phase == 0 && at >= ms(UPGRADE_AT_MS) {
            proxy.spawn(free_address(), record)?;
            phase = 1;
        }
        if phase == 1 && at >= ms(UPGRADE_AT_MS + STOP_AFTER_MS) {
            if let Some(exit) = proxy.exit_of(1) {
                return Err(format!("the new process ended: {exit}"));
            }
            proxy.signal(0, SIGTERM, record);
            phase = 2;
        }
        let processes = if phase == 0 { vec![0] } else { vec![0, 1] };
        let mut parts = Vec::new();
        for index in processes {
            if is_proxy(proxy.pid_of(index)) {
                parts.push(memory_kib(proxy.pid_of(index)).unwrap_or_default());
            }
        }
        let sum: u64 = parts.iter().map(|(_, anonymous)| anonymous).sum();
        if sum > most {
            (most, most_at) = (sum, at.as_millis());
        }
        if at.as_millis() / 500 > shown {
            shown = at.as_millis() / 500;
            let over = if sum > u64::from(MEMORY_MB) * 1024 { "  OVER THE LIMIT" } else { "" };
            record.line(&format!("memory of the proxy's processes: {parts:?} KiB, together {sum}{over}"));
        }
    }
    stop.store(true, Ordering::Release);
    record.line(&format!("the most: {most} KiB, {most_at} ms after the clients began"));
    let own = fs::read_to_string("/proc/self/status").unwrap_or_default();
    record.line(&format!(
        "the stand-ins: {}",
        own.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("")
    ));
    if most < 8 * 1024 {
        return Err("the memory could not be read".to_owned());
    }
    Ok(if most <= u64::from(MEMORY_MB) * 1024 { Verdict::Held } else { Verdict::Broken })
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let _ = thread::Builder::new().stack_size(256 * 1024).spawn(run);
}
