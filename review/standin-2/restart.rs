//! A planned restart while cache nodes still give long values.

use crate::kit::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

const LENGTH: usize = 768 * 1024;
const PIECE: usize = 16 * 1024;
/// 16 KiB each 0.125 s are 128 KiB a second: 6 s for a value.
const PAUSE_MS: u64 = 125;
const CLIENTS: usize = 4;
const WAIT_MS: u64 = 1200;

pub fn run(record: &Record) -> Outcome {
    let given = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&given);
    let node = node(move |command, output| {
        let value = value_of(&command.key, LENGTH);
        use std::io::Write;
        output.write_all(format!("VA {LENGTH} O{}\r\n", command.id).as_bytes())?;
        let written = write_slowly(output, &value, PIECE, ms(PAUSE_MS));
        written.and_then(|()| output.write_all(b"\r\n"))?;
        count.fetch_add(1, Ordering::AcqRel);
        Ok(())
    });
    let origin = origin(|request, output| http_ok(output, &value_of(&request.key, 64)));
    let members = vec![member(1, node, "c6-std"), member(2, origin, "origin")];
    let mut proxy = Proxy::start(&ProxySetup::new(members), record)?;
    let listen = proxy.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let key = format!("{number:016x}");
                let mut client = Client::connect(listen).map_err(|error| error.to_string())?;
                let request = read_request(&key, &new_id(number as u64), "lookup", WAIT_MS);
                client.send(request.as_bytes()).map_err(|error| error.to_string())?;
                record.line(&format!("client {number} sent: {}", request.trim_end()));
                let answer = client.answer(ms(10_000));
                record.line(&format!("client {number} got: {}", show(&answer)));
                Ok::<(String, Answer), String>((key, answer))
            })
        })
        .collect();
    thread::sleep(ms(1000));
    if record.trouble {
        proxy.signal(0, SIGTERM, record);
        // The kill comes no sooner than 3.2 s after SIGTERM; this platform lets the process run on.
        thread::sleep(ms(9000));
        record.line(&format!("the process: {}", proxy.exit_of(0).unwrap_or("runs".to_owned())));
    }
    let (mut whole, mut lost) = (0, 0);
    for client in clients {
        let (key, answer) = client.join().map_err(|_| "a client panicked")??;
        match answer {
            Answer::Value(value) if value == value_of(&key, LENGTH) => whole += 1,
            // An error is a final answer: the request has failed and is not lost.
            Answer::Line(line) if line.starts_with("SERVER_ERROR") => {}
            Answer::Cut { .. } | Answer::None(_) => lost += 1,
            other => return Err(format!("an answer that this case does not judge: {}", show(&other))),
        }
    }
    let given = given.load(Ordering::Acquire);
    record.line(&format!(
        "{whole} of {CLIENTS} values arrived whole, {lost} lost; nodes gave {given} to their end"
    ));
    Ok(if lost == 0 { Verdict::Held } else { Verdict::Broken })
}
