//! A cache node breaks off a long value, and its client has sent a write behind it on the same connection.

use crate::deployment::{Case, Deployment, Verdict, GDYNIA};
use crate::standin::*;
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::thread;

const VALUE_BYTES: usize = 1 << 20;
/// The part of the value that the node gives before it stands still.
const FIRST_PART_BYTES: usize = VALUE_BYTES / 4;

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let trouble = case.trouble;
    let node = start_node(
        "the cache node",
        record,
        Arc::new(move |request, stream| {
            stream.write_all(format!("VA {VALUE_BYTES} O{} h1\r\n", request.id).as_bytes())?;
            stream.write_all(&[b'v'; FIRST_PART_BYTES])?;
            // The page lets it stand still for 200 to 450 ms.
            thread::sleep(ms(400));
            if trouble {
                reset_at_close(stream);
                return Err(io::Error::other("the node resets the connection under the request"));
            }
            stream.write_all(&[b'v'; VALUE_BYTES - FIRST_PART_BYTES])?;
            stream.write_all(b"\r\n")
        }),
    );
    let origin = start_origin(
        record,
        Arc::new(|request, stream| {
            thread::sleep(ms(150));
            write_ok(stream, &request.id, b"r1")
        }),
    );
    let deployment = case.deploy(GDYNIA, &node, &origin)?;
    let seen = exchange(case, &deployment, &format!("{READ}{WRITE}")).map_err(|error| error.to_string())?;
    let runs = || origin.received().iter().filter(|request| request.id == "2").count();
    let has_run = runs() > 0;
    let mut is_answered = seen.answers == 2;
    if !is_answered && !has_run && seen.ended {
        // The page: a close may cross a request that the proxy has not read; it is sent once more.
        record.line("the write was not sent on; the client sends it once more, on a new connection");
        is_answered = exchange(case, &deployment, WRITE).is_ok_and(|again| again.answers == 1);
    }
    case.keep_log(&deployment.proxy);
    record.line(&format!("the write O2 ran {} time(s) and was {}answered", runs(), if is_answered { "" } else { "not " }));
    if is_answered {
        Ok(Verdict::Held)
    } else if has_run && seen.has_begun && seen.ended {
        Ok(Verdict::Broken("the write O2 was taken, sent on and run, and never answered".to_owned()))
    } else {
        Err("the value did not begin, the write did not run, or the connection is still open".to_owned())
    }
}

const READ: &str = "mg route v O1 Pc=lookup,t=hel-gdynia,d=1500\r\n";
const WRITE: &str = "ms seat 4 O2 Pc=hold,t=hel-gdynia,d=2500,k=5c0f6e1a2b3d4c59\r\nhold\r\n";

/// What the client saw on one connection.
struct Seen {
    /// The number of whole answers. Any line is one: served, refused or failed.
    answers: usize,
    /// Whether the first answer has begun.
    has_begun: bool,
    /// Whether the proxy has ended the connection.
    ended: bool,
}

/// Sends the commands at once on a new connection, and reads until each has its answer or the connection ends. The
/// wait is far longer than both deadlines and the half second after them.
fn exchange(case: &Case, deployment: &Deployment, commands: &str) -> io::Result<Seen> {
    let mut client = Client::connect(deployment.listen)?;
    client.set_timeout(ms(15_000));
    let wanted = commands.matches(" O").count();
    case.record.line(&format!("a client sends at once: {}", commands.trim_end().replace("\r\n", " | ")));
    client.send(commands)?;
    let mut received = Vec::new();
    let mut piece = vec![0; 64 << 10];
    let ended = loop {
        if count_answers(&received) >= wanted {
            break false;
        }
        match client.reader.read(&mut piece) {
            Ok(0) => break true,
            Ok(count) => received.extend_from_slice(&piece[..count]),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => break true,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => break false,
            Err(error) => return Err(error),
        }
    };
    let answers = count_answers(&received);
    let end = String::from_utf8_lossy(&received[received.len().saturating_sub(40)..]).replace("\r\n", " | ");
    case.record.line(&format!("the client got {} bytes, {answers} whole answers, the last: {end}", received.len()));
    case.record.line(if ended { "the proxy ended the connection" } else { "the connection is open" });
    Ok(Seen { answers, has_begun: !received.is_empty(), ended })
}

/// Returns how many whole answers these bytes have, in the order of the commands.
fn count_answers(mut bytes: &[u8]) -> usize {
    let mut answers = 0;
    while let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") {
        let line = String::from_utf8_lossy(&bytes[..end]);
        let value = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()?.parse::<usize>().ok());
        let length = end + 2 + value.map_or(0, |length| length + 2);
        let Some(rest) = bytes.get(length..) else { break };
        bytes = rest;
        answers += 1;
    }
    answers
}
