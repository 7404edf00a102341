//! New settings add a class whose entry leaves out a key that may be absent, and make another class unsafe.

use crate::deployment::{Case, Deployment, Verdict, GDYNIA};
use crate::standin::*;
use std::io::{self, Write};
use std::sync::Arc;
use std::thread;

/// A class in the settings.
struct Class {
    name: &'static str,
    effect: &'static str,
    /// Whether the entry has an `AimStretch`, which the page lets be absent.
    has_stretch: bool,
}

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let node = start_node(
        "the cache node",
        record,
        Arc::new(|request, stream| write_value(stream, &request.id, b"fare")),
    );
    let origin_record = record.clone();
    let origin = start_origin(
        record,
        Arc::new(move |request, stream| {
            origin_record.line(&format!("the origin runs {}, for the {}. time", request.id, request.count));
            if request.is_write && request.count == 1 {
                // It has run. The page: "500 (it may have run)".
                origin_record.line("the origin answers with 500");
                write_error(stream, &request.id)
            } else {
                write_ok(stream, &request.id, b"r1")
            }
        }),
    );
    let lookup = || Class { name: "lookup", effect: "safe", has_stretch: true };
    let before = [lookup(), Class { name: "hold", effect: "safe", has_stretch: true }];
    let deployment = case.deploy(&settings(&before, 3), &node, &origin)?;
    // The proxy serves for more than a second before SIGHUP.
    for number in 0..10 {
        call(case, &deployment, &format!("mg route v Oa{number} Pc=lookup,t=hel-gdynia,d=1500\r\n"))?;
        thread::sleep(ms(150));
    }
    let quote = Class { name: "quote", effect: "safe", has_stretch: !case.trouble };
    let after = [lookup(), Class { name: "hold", effect: "unsafe", has_stretch: true }, quote];
    deployment.reload(&settings(&after, 2))?;
    record.line("the new file is in place and SIGHUP is sent: hold is unsafe now, and quote is new");
    thread::sleep(ms(1500));
    let quoted = call(case, &deployment, "mg route v Ob1 Pc=quote,t=hel-gdynia,d=1500\r\n")?;
    let held = call(case, &deployment, "ms seat 4 Ob2 Pc=hold,t=hel-gdynia,d=2500\r\nhold\r\n")?;
    thread::sleep(ms(3000));
    case.keep_log(&deployment.proxy);
    let runs = origin.received().iter().filter(|request| request.id == "b2").count();
    record.line(&format!("the unsafe write b2 ran {runs} time(s) and got {held:?}; the new class got {quoted:?}"));
    match runs {
        0 => Err("the write b2 never reached the origin".to_owned()),
        1 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("the unsafe write b2 ran {runs} times"))),
    }
}

/// Sends one command on a new connection, and returns the first line of its answer.
fn call(case: &Case, deployment: &Deployment, command: &str) -> Result<String, String> {
    let exchange = || -> io::Result<String> {
        let mut client = Client::connect(deployment.listen)?;
        client.set_timeout(ms(4000));
        case.record.line(&format!("a client sends: {}", command.trim_end().replace("\r\n", " | ")));
        let first = client.call(command)?.unwrap_or_default();
        read_rest(&mut client, &first)?;
        Ok(first)
    };
    let answer = exchange().map_err(|error| error.to_string())?;
    case.record.line(&format!("the client got: {answer}"));
    Ok(answer)
}

fn write_error(stream: &mut std::net::TcpStream, id: &str) -> io::Result<()> {
    stream.write_all(format!("HTTP/1.1 500 Error\r\nX-Txn: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes())
}

/// Returns the site's settings with these classes and this number of attempts.
fn settings(classes: &[Class], attempts: u32) -> String {
    let entries: Vec<String> = classes
        .iter()
        .map(|Class { name, effect, has_stretch }| {
            let stretch = if *has_stretch { r#""AimStretch":0.5,"# } else { "" };
            format!(
                r#"{{"Aim":750.0,{stretch}"DedupScope":"all","GiveUp":2500.0,"LateWorth":0.0,"Name":"{name}","RepeatWindow":5000.0,"Semantics":"{effect}","Stream":false,"Worth":1.0}}"#
            )
        })
        .collect();
    let begin = GDYNIA.find(r#""Grades":["#).expect("the settings have classes");
    let end = GDYNIA.find(r#""GroupSize""#).expect("the settings have a group size");
    let text = format!("{}\"Grades\":[\n{}],\n{}", &GDYNIA[..begin], entries.join(",\n"), &GDYNIA[end..]);
    text.replace(r#""MaxAttempts":3"#, &format!(r#""MaxAttempts":{attempts}"#))
}
