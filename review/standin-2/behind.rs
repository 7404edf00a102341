//! A long value that its node gives slowly, with another command behind it on the connection.

use crate::kit::*;
use std::collections::HashSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;

const LENGTH: usize = 256 * 1024;
const PIECE: usize = 16 * 1024;
const WAIT_MS: u64 = 1200;

pub fn run(record: &Record) -> Outcome {
    // 15 pauses of 0.2 s: 3 s for the value; without the disruption it comes at once.
    let pause = if record.trouble { ms(200) } else { ms(0) };
    let cut_off: Arc<Mutex<HashSet<String>>> = Arc::default();
    let (seen, log) = (Arc::clone(&cut_off), record.clone());
    let nodes = node(move |command, output| {
        if command.key.starts_with('b') {
            let value = value_of(&command.key, 100);
            let mut bytes = format!("VA {} O{}\r\n", value.len(), command.id).into_bytes();
            bytes.extend(value);
            bytes.extend(b"\r\n");
            return output.write_all(&bytes);
        }
        output.write_all(format!("VA {LENGTH} O{}\r\n", command.id).as_bytes())?;
        for (number, part) in value_of(&command.key, LENGTH).chunks(PIECE).enumerate() {
            if let Err(error) = output.write_all(part) {
                log.line(&format!(
                    "node: {} cut off after {} of {LENGTH} bytes: {}",
                    command.key,
                    number * PIECE,
                    error.kind()
                ));
                seen.lock().unwrap().insert(command.key.clone());
                return Err(error);
            }
            thread::sleep(pause);
        }
        output.write_all(b"\r\n")
    });
    let origin = origin(|request, output| http_ok(output, &value_of(&request.key, 64)));
    let members = vec![member(1, nodes, "c6-std"), member(2, origin, "origin")];
    let proxy = Proxy::start(&ProxySetup::new(members), record)?;
    let mut broken = 0;
    for round in 0..3_u64 {
        let mut client = Client::connect(proxy.listen).map_err(|error| error.to_string())?;
        let (long, short) = (format!("a{round:015x}"), format!("b{round:015x}"));
        let text = read_request(&long, &new_id(round * 2 + 1), "lookup", WAIT_MS)
            + &read_request(&short, &new_id(round * 2 + 2), "lookup", WAIT_MS);
        client.send(text.as_bytes()).map_err(|error| error.to_string())?;
        record.line(&format!("round {round}: sent {text:?}"));
        let first = client.answer(ms(6000));
        record.line(&format!("round {round}: the long value: {}", show(&first)));
        let second = client.answer(ms(6000));
        record.line(&format!("round {round}: the one behind: {}", show(&second)));
        thread::sleep(ms(400));
        // Lost is what the proxy cut off while its node was still giving it and its client still waited.
        let is_cut_off = cut_off.lock().unwrap().contains(&long);
        broken += usize::from(is_cut_off && first != Answer::Value(value_of(&long, LENGTH)));
    }
    Ok(if broken == 0 { Verdict::Held } else { Verdict::Broken })
}
