//! Answers over HTTP whose stated length is shorter than what they bring.

use crate::kit::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

const LENGTH: usize = 2000;
const STATED: usize = 400;
/// One answer in so many is spoilt.
const SPOILT_ONE_IN: u64 = 5;
const REQUESTS: u64 = 60;

fn receipt_of(id: &str) -> String {
    format!("booking-{id}-hel-gdynia")
}

pub fn run(record: &Record) -> Outcome {
    // Cache nodes are spoilt alike: they have every second key, and miss the others.
    let (trouble, count, log) = (record.trouble, AtomicU64::new(0), record.clone());
    let nodes = node(move |command, output| {
        let has_key =
            command.value.is_none() && u64::from_str_radix(&command.key, 16).is_ok_and(|key| key % 2 == 0);
        if !has_key {
            return output.write_all(format!("EN O{}\r\n", command.id).as_bytes());
        }
        let is_spoilt = trouble && count.fetch_add(1, Ordering::AcqRel) % SPOILT_ONE_IN == SPOILT_ONE_IN - 1;
        let stated = if is_spoilt { STATED } else { LENGTH };
        log.line(&format!("node: mg {} ran; VA {stated}, brings {LENGTH}", command.id));
        let mut bytes = format!("VA {stated} O{}\r\n", command.id).into_bytes();
        bytes.extend(value_of(&command.key, LENGTH));
        bytes.extend(b"\r\n");
        output.write_all(&bytes)
    });
    let (trouble, count, log) = (record.trouble, AtomicU64::new(0), record.clone());
    let origin = origin(move |request, output| {
        let body = match request.method.as_str() {
            "PUT" => receipt_of(&request.id).into_bytes(),
            _ => value_of(&request.key, LENGTH),
        };
        let is_spoilt = trouble && count.fetch_add(1, Ordering::AcqRel) % SPOILT_ONE_IN == SPOILT_ONE_IN - 1;
        let stated = match (is_spoilt, request.method.as_str()) {
            (false, _) => body.len(),
            (true, "PUT") => 12,
            (true, _) => STATED,
        };
        log.line(&format!(
            "origin: {} {} ran; Content-Length {stated}, brings {}",
            request.method,
            request.id,
            body.len()
        ));
        let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\n\r\n").into_bytes();
        bytes.extend(body);
        output.write_all(&bytes)
    });
    let members = vec![member(1, nodes, "c6-std"), member(2, nodes, "c6-fast"), member(3, origin, "origin")];
    let proxy = Proxy::start(&ProxySetup::new(members), record)?;
    let mut client = Client::connect(proxy.listen).map_err(|error| error.to_string())?;
    let mut wrong = 0;
    let mut right = 0;
    for number in 0..REQUESTS {
        let (key, id) = (format!("{number:016x}"), new_id(number));
        let is_write = number % 3 == 2;
        let request = if is_write {
            format!("ms {key} 5 O{id} Pc=hold,t=hel-gdynia,d=2000,k={id}\r\nhello\r\n")
        } else {
            read_request(&key, &id, "lookup", 1200)
        };
        client.send(request.as_bytes()).map_err(|error| error.to_string())?;
        let answer = client.answer(ms(4000));
        let shown = show(&answer);
        let verdict = match answer {
            Answer::Value(value) if value == value_of(&key, LENGTH) => "right",
            Answer::Line(line) if line == format!("HD O{id} c{}", receipt_of(&id)) => "right",
            Answer::Line(line) if line.starts_with("SERVER_ERROR") => "failed",
            Answer::Value(_) | Answer::Line(_) => "WRONG",
            Answer::Cut { .. } => "cut",
            Answer::None(why) => return Err(format!("no answer to {id}: {why}")),
        };
        wrong += u32::from(verdict == "WRONG");
        right += u32::from(verdict == "right");
        record.line(&format!("client: {} -> {shown}: {verdict}", request.lines().next().unwrap_or("")));
        thread::sleep(ms(20));
    }
    record.line(&format!("{REQUESTS} requests: {right} right, {wrong} wrong"));
    if right == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(if wrong == 0 { Verdict::Held } else { Verdict::Broken })
}
