//! The memory of both processes of an upgrade under many clients.

use super::*;
use socket2::SockRef;
use std::io::BufRead;

/// Memory limit of the proxy, in MB.
const MEMORY_MB: usize = 27;
const KB_PER_MB: u64 = 1024;
/// Limit of file descriptors of the proxy.
const SOCKETS: usize = 1024;
/// Clients that read values slowly, half of them long ones.
const READERS: usize = 360;
/// Clients that connect, and then send nothing or stop half way through a command.
const SILENT_CLIENTS: usize = 500;
/// Length of a long value, which is streamed, and of a short one, in bytes.
const LONG_VALUE_BYTES: usize = 1024 * 1024;
const SHORT_VALUE_BYTES: usize = 60_000;
/// The time for which the older process runs alone, and for which both are watched.
const ALONE: Duration = Duration::from_millis(2500);
const OBSERVED: Duration = Duration::from_millis(3500);
/// Size of a slow reader's receive buffer.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// The pause of a slow reader after each read.
const READ_PAUSE: Duration = Duration::from_millis(20);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Reads values slowly until `stop` is set; connects again if the connection ends.
fn read_slowly(address: std::net::SocketAddr, number: usize, stop: &AtomicBool) {
    let key = if number.is_multiple_of(2) { "long" } else { "short" };
    let mut request = 0;
    while !stop.load(Ordering::SeqCst) {
        let Some(mut client) = Client::try_connect(address) else { continue };
        // Otherwise the system holds most of a value for the client.
        SockRef::from(client.reader().get_ref()).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        loop {
            request += 1;
            let id = format!("r{number}.{request}");
            if !client.try_send(&format!("mg {key} v O{id} Pc=read,t=acme,d=900\r\n")) {
                break;
            }
            let line = client.read_line();
            let length = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()?.parse().ok());
            let is_read = length.map_or(line.starts_with("SERVER_ERROR "), |length: usize| {
                read_value_slowly(&mut client, length, stop)
            });
            if !is_read {
                break;
            }
            thread::sleep(READ_PAUSE);
        }
    }
}

/// Reads a value; returns false if the connection ends first, or `stop` is set.
fn read_value_slowly(client: &mut Client, length: usize, stop: &AtomicBool) -> bool {
    let mut remaining = length + 2;
    while remaining > 0 {
        let available = client.reader().fill_buf().map_or(0, <[u8]>::len).min(remaining);
        if available == 0 || stop.load(Ordering::SeqCst) {
            return false;
        }
        client.reader().consume(available);
        remaining -= available;
        thread::sleep(READ_PAUSE);
    }
    true
}

/// Connects, and sends nothing more or half a command; connects again once the connection ends.
fn stay_silent(address: std::net::SocketAddr, number: usize, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Some(mut client) = Client::try_connect(address) else { continue };
        client.try_send("mn\r\n");
        client.read_line();
        if number.is_multiple_of(2) {
            let command = format!("ms k{number} 60000 Os{number} Pc=put,t=acme,d=900,k=1\r\n");
            client.try_send(&(command + &"x".repeat(3_900)));
        }
        client.read_line();
        thread::sleep(READ_PAUSE);
    }
}

/// Guards against two processes of an upgrade that together pass the memory limit: what each needs
/// besides its budget is there twice, and the older one kept what it had freed.
#[test]
fn both_processes_of_an_upgrade_stay_within_the_memory_limit() {
    let _machine = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let value = "x".repeat(LONG_VALUE_BYTES);
    let node = StubServer::node(move |line| {
        let length = if line.starts_with("mg long ") { LONG_VALUE_BYTES } else { SHORT_VALUE_BYTES };
        StubAction::Reply(format!("VA {length} {}\r\n{}\r\n", opaque(line), &value[..length]))
    });
    let origin = StubServer::origin(|_| StubAction::Ignore);
    let entries = [node.entry("s-0", "c6", "ready"), origin.entry("o", "origin", "ready")];
    let mut fixture = ProxyFixture::with_limits(&entries, SOCKETS, MEMORY_MB);
    let (address, stop) = (fixture.client_address, AtomicBool::new(false));
    let (alone, together) = thread::scope(|scope| {
        let stop = &stop;
        for number in 0..READERS {
            scope.spawn(move || read_slowly(address, number, stop));
        }
        for number in 0..SILENT_CLIENTS {
            scope.spawn(move || stay_silent(address, number, stop));
        }
        thread::sleep(ALONE);
        let alone = fixture.anonymous_memory_kb();
        let second = fixture.start_second_process();
        let mut older = fixture.replace_process(second);
        signal(&older, "TERM");
        let mut together = 0;
        let began = Instant::now();
        while began.elapsed() < OBSERVED {
            together = together.max(fixture.anonymous_memory_kb() + anonymous_memory_kb(&older));
            thread::sleep(SAMPLE_INTERVAL);
        }
        // The older process may have ended.
        let _ = older.kill();
        let _ = older.wait();
        stop.store(true, Ordering::SeqCst);
        (alone, together)
    });
    eprintln!("alone {alone} KB, both up to {together} KB of {}", MEMORY_MB as u64 * KB_PER_MB);
    assert!(together < MEMORY_MB as u64 * KB_PER_MB, "{together} KB, alone {alone} KB");
}
