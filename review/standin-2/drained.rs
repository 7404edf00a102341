//! A proxy that operators put out of service and upgrade before they put it back.

use crate::kit::*;
use std::io::Write;
use std::thread;
use std::time::Instant;

/// The front asks so often.
const ASK_INTERVAL_MS: u64 = 100;

pub fn run(record: &Record) -> Outcome {
    let nodes = node(|command, output| {
        let value = value_of(&command.key, 100);
        let mut bytes = format!("VA {} O{}\r\n", value.len(), command.id).into_bytes();
        bytes.extend(value);
        bytes.extend(b"\r\n");
        output.write_all(&bytes)
    });
    let origin = origin(|request, output| http_ok(output, &value_of(&request.key, 64)));
    let members = vec![member(1, nodes, "c6-std"), member(2, origin, "origin")];
    let mut proxy = Proxy::start(&ProxySetup::new(members), record)?;
    let status = operator_call(proxy.admin, "POST", "/control/out-of-service").map_err(|error| error.to_string())?;
    let called = Instant::now();
    record.line(&format!("POST /control/out-of-service: {status}"));
    if !(200..300).contains(&status) {
        return Err("the call was refused".to_owned());
    }
    let mut upgraded = false;
    let mut yes_late = 0;
    let mut served_late = 0;
    let mut last = String::new();
    let mut number = 0;
    while called.elapsed() < ms(8000) {
        if record.trouble && !upgraded && called.elapsed() > ms(1500) {
            let admin = free_address();
            proxy.spawn(admin, record)?;
            let is_ready = || operator_call(admin, "GET", "/control/ready").is_ok_and(|status| status == 200);
            if !wait_until(ms(6000), is_ready) {
                return Err("the new process did not say yes within 6 s".to_owned());
            }
            record.line("the new process says yes at its second address");
            proxy.signal(0, SIGTERM, record);
            upgraded = true;
        }
        let mut client = Client::connect(proxy.listen).map_err(|error| error.to_string())?;
        let line = client.noop().unwrap_or_else(|error| error.to_string());
        let at = called.elapsed().as_millis();
        if line != last {
            record.line(&format!("{at} ms after the call mn gets: {line}"));
            last.clone_from(&line);
        }
        if line == "MN" && at > 4000 {
            yes_late += 1;
            number += 1;
            let request = read_request("00000000000000aa", &new_id(number), "lookup", 1200);
            let _ = client.send(request.as_bytes());
            served_late += u32::from(matches!(client.answer(ms(2000)), Answer::Value(_)));
        }
        thread::sleep(ms(ASK_INTERVAL_MS));
    }
    record.line(&format!("after 4 s: {yes_late} times yes, {served_late} requests of the front's clients taken and served"));
    record.line(&format!("the old process: {}", proxy.exit_of(0).unwrap_or("runs".to_owned())));
    Ok(if yes_late == 0 { Verdict::Held } else { Verdict::Broken })
}
