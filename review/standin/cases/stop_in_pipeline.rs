//! A planned restart meets a client that has sent many commands at once.

use crate::deployment::{Case, Deployment, Verdict, GDYNIA};
use crate::standin::*;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

const COMMANDS: usize = 90;
/// The time from SIGTERM to the commands. The longest deadline is 2.5 s, so that SIGKILL comes after 3.2 s at the
/// earliest.
const SENT_AFTER_MS: u64 = 2300;
/// The time that the slow origin takes. The site lets a request wait there for 0.67 to 2.6 s.
const ORIGIN_MS: u64 = 400;

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let node = start_node(
        "the cache node",
        record,
        Arc::new(|request, stream| match request.key.as_str() {
            "k0" => write_miss(stream, &request.id),
            _ => write_value(stream, &request.id, b"fare"),
        }),
    );
    let origin = start_origin(
        record,
        Arc::new(|request, stream| {
            thread::sleep(ms(ORIGIN_MS));
            write_ok(stream, &request.id, b"fare")
        }),
    );
    let deployment = case.deploy(GDYNIA, &node, &origin)?;
    let seen = send_pipeline(case, &deployment).map_err(|error| error.to_string())?;
    let answered_again = if seen.answers < COMMANDS { send_again(case, &deployment, seen.answers) } else { 0 };
    thread::sleep(ms(500));
    case.keep_log(&deployment.proxy);
    record.line(&format!(
        "{} of {COMMANDS} commands got their answer, {answered_again} more on a new connection",
        seen.answers
    ));
    let answered = seen.answers + answered_again;
    let Some(read) = seen.commands_read else {
        return Err("what the proxy had read cannot be told".to_owned());
    };
    // The page excuses a close that crosses a request that the proxy has not read.
    if answered >= COMMANDS || answered >= read {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken(format!("{} commands that the proxy had read got no answer", read - answered)))
    }
}

/// What the client saw.
struct Seen {
    answers: usize,
    /// The commands that the proxy had read wholly 100 ms after they were sent, while the connection was open in both
    /// directions.
    commands_read: Option<usize>,
}

/// Sends the commands in one piece on a connection that is open since before SIGTERM, and reads the answers.
fn send_pipeline(case: &Case, deployment: &Deployment) -> io::Result<Seen> {
    let record = &case.record;
    let mut client = Client::connect(deployment.listen)?;
    client.set_timeout(ms(4000));
    record.line(&format!("a client sends mn and gets {:?}", client.call("mn\r\n")?));
    if case.trouble {
        deployment.proxy.signal("TERM");
        record.line("SIGTERM");
    }
    thread::sleep(ms(SENT_AFTER_MS));
    let commands = pipeline(0);
    client.send(&commands)?;
    record.line(&format!("the client has sent {COMMANDS} commands at once, {} bytes", commands.len()));
    thread::sleep(ms(100));
    let unread_bytes = unread_bytes(deployment.listen, client.stream.local_addr()?);
    record.line(&format!("bytes of them that the proxy has not read: {unread_bytes:?}"));
    let commands_read = unread_bytes.map(|unread| {
        let read = commands.len().saturating_sub(unread);
        commands[..read].matches("\r\n").count()
    });
    let answers = read_answers(case, &mut client, COMMANDS);
    Ok(Seen { answers, commands_read })
}

/// Sends the commands without an answer once more, on a new connection, and returns how many were answered.
fn send_again(case: &Case, deployment: &Deployment, first: usize) -> usize {
    let result = Client::connect(deployment.listen).and_then(|mut client| {
        client.set_timeout(ms(2500));
        client.send(&pipeline(first))?;
        Ok(read_answers(case, &mut client, COMMANDS - first))
    });
    match result {
        Ok(answers) => answers,
        Err(error) => {
            case.record.line(&format!("the client sends the rest on a new connection: {error}"));
            0
        }
    }
}

/// Returns the commands from this number on.
fn pipeline(first: usize) -> String {
    (first..COMMANDS).map(|number| format!("mg k{number} v O{number} Pc=lookup,t=hel-gdynia,d=1500\r\n")).collect()
}

/// Reads answers until there are so many or the connection ends, and returns their number.
fn read_answers(case: &Case, client: &mut Client, wanted: usize) -> usize {
    for answers in 0..wanted {
        let answer = client.line().and_then(|line| match line {
            Some(line) => read_rest(client, &line).map(|_| line),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        });
        match answer {
            Ok(line) => case.record.line(&format!("the client got: {line}")),
            Err(error) => {
                case.record.line(&format!("the proxy ended the connection: {error}"));
                return answers;
            }
        }
    }
    wanted
}

/// Returns how many bytes the process that has this end of a connection has not read, as the system's table of
/// connections says. Returns `None` unless the connection is open in both directions: what is read after a shutdown
/// does not count as read.
fn unread_bytes(local: SocketAddr, remote: SocketAddr) -> Option<usize> {
    const ESTABLISHED: &str = "01";
    let (local, remote) = (in_table(local)?, in_table(remote)?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<&str>>());
    let row = rows.into_iter().find(|row| row.get(1) == Some(&local.as_str()) && row.get(2) == Some(&remote.as_str()))?;
    if row.get(3) != Some(&ESTABLISHED) {
        return None;
    }
    usize::from_str_radix(row.get(4)?.split(':').nth(1)?, 16).ok()
}

fn in_table(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port()))
}
