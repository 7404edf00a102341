//! A cache node breaks off a long value, and its client has sent a write behind it on the same connection.

use crate::deployment::{Case, Verdict, GDYNIA};
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
                return Err(io::Error::other("the node ends the connection under the request"));
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
    let exchange = || -> io::Result<(bool, Vec<u8>)> {
        let mut client = Client::connect(deployment.listen)?;
        // Longer than the write's time and the half second after it.
        client.set_timeout(ms(4000));
        record.line("a client sends at once: mg route (O1, lookup), ms seat (O2, hold)");
        client.send(concat!(
            "mg route v O1 Pc=lookup,t=hel-gdynia,d=1500\r\n",
            "ms seat 4 O2 Pc=hold,t=hel-gdynia,d=2500,k=5c0f6e1a2b3d4c59\r\nhold\r\n",
        ))?;
        let mut received = Vec::new();
        let mut piece = vec![0; 64 << 10];
        let ended = loop {
            match client.reader.read(&mut piece) {
                Ok(0) => break true,
                Ok(count) => received.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == io::ErrorKind::ConnectionReset => break true,
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => break false,
                Err(error) => return Err(error),
            }
            if received.ends_with(b"HD O2 cr1\r\n") {
                break false;
            }
        };
        Ok((ended, received))
    };
    let (ended, received) = exchange().map_err(|error| error.to_string())?;
    let end = String::from_utf8_lossy(&received[received.len().saturating_sub(40)..]).replace("\r\n", " | ");
    record.line(&format!("the client got {} bytes, the last: {end}", received.len()));
    record.line(if ended { "the proxy ended the connection" } else { "the connection is open" });
    case.keep_log(&deployment.proxy);
    let runs = origin.received().iter().filter(|request| request.id == "2").count();
    let is_answered = received.ends_with(b"HD O2 cr1\r\n")
        || received.windows(14).any(|window| window == b"\r\nSERVER_ERROR ");
    record.line(&format!("the write O2 ran {runs} time(s) and was {}answered", if is_answered { "" } else { "not " }));
    if received.is_empty() || runs == 0 {
        Err("the value did not begin, or the write did not run".to_owned())
    } else if is_answered {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken("the write O2 was taken, sent on and run, and never answered".to_owned()))
    }
}
