//! Runs one case of the review: `standin CASE FOLDER` writes `record.txt` into the folder and exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod lib;

use lib::*;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// What a case found.
enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// What every case has.
struct Case {
    root: PathBuf,
    folder: PathBuf,
    record: Record,
    trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, target] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let record = Record::create(&PathBuf::from(target).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().unwrap();
    let case = Case { root, folder: temporary_folder(), record: record.clone(), trouble };
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let verdict = match name.as_str() {
        "slow-reader" => slow_reader(&case),
        "broken-value" => broken_value(&case),
        "crowded-discovery" => crowded_discovery(&case),
        "upgrade-out" => upgrade_out(&case),
        "new-class" => new_class(&case),
        "stop-in-pipeline" => stop_in_pipeline(&case),
        _ => Verdict::CouldNotRun(format!("no case {name}")),
    };
    let _ = std::fs::remove_dir_all(&case.folder);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("the rule was broken: {what}"), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}

/// The settings of the deployment `gdynia-bookings`, in the form of the simulator's first message.
const GDYNIA: &str = r#"{"Callers":{"MarksRetry":false},"Discovery":"ask","Family":"cache",
"FamilyInfo":{"Mode":"aside","OriginFall":3000.0,"OriginFallMultiple":0.0,"OriginKind":3},
"Grades":[
{"Aim":750.0,"DedupScope":"all","GiveUp":1500.0,"LateWorth":0.0,"Name":"lookup","RepeatWindow":5000.0,"Semantics":"safe","Stream":false,"Worth":1.0},
{"Aim":750.0,"DedupScope":"all","GiveUp":2500.0,"LateWorth":0.0,"Name":"hold","RepeatWindow":5000.0,"Semantics":"keyed","Stream":false,"Worth":8.0},
{"Aim":600.0,"DedupScope":"all","GiveUp":1200.0,"LateWorth":0.0,"Name":"confirm","RepeatWindow":1200.0,"Semantics":"keyed","Stream":false,"Worth":8.0}],
"GroupSize":1,"Kinds":["c6-fast","c6-std","c6-slow","origin"],"MyNumber":0,
"Orgs":[{"AllowancePerS":88.0,"Name":"hel-gdynia","Share":0.29},{"AllowancePerS":79.0,"Name":"swinoujscie-bornholm","Share":0.26}],
"OverShareWorth":0.05,
"Permissions":{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":15000,"MaxAttempts":3,"MaxOpen":20000,"MaxRetryAfter":2000.0,"PeerMessages":false,"Probing":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32},
"Report":{"Columns":[],"How":"silent"},
"Safety":{"AnswerSlack":20.0,"Cold":24000.0,"FallMultiple":3.0,"MustAskIn":10000.0,"StartCapacity":0.13,"StopSendingWithin":2000.0,"TipAfter":3000.0},
"Stage":0,"Stages":["fare-cache"],"Tick":5.0,"ValueBy":"work","Weights":"rough","Zone":0,"Zones":["gdynia-port"]}"#;

/// The settings of the deployment `lakes-transcripts`, in the same form.
const LAKES: &str = r#"{"Callers":{"MarksRetry":true},"Discovery":"ask","Family":"cache",
"FamilyInfo":{"Mode":"aside","OriginFall":3000.0,"OriginFallMultiple":0.0,"OriginKind":2},
"Grades":[
{"Aim":600.0,"DedupScope":"all","GiveUp":2500.0,"LateWorth":0.25,"Name":"read-transcript","RepeatWindow":5000.0,"Semantics":"safe","Stream":false,"Worth":5.0},
{"Aim":500.0,"DedupScope":"all","GiveUp":1000.0,"LateWorth":0.25,"Name":"save-correction","RepeatWindow":800.0,"Semantics":"keyed","Stream":false,"Worth":10.0}],
"GroupSize":1,"Kinds":["full-speed","slow-clock","origin"],"MyNumber":0,
"Orgs":[{"AllowancePerS":88.0,"Name":"harbor-telephone","Share":0.53},{"AllowancePerS":40.0,"Name":"ridge-mutual","Share":0.22}],
"OverShareWorth":0.2,
"Permissions":{"Cancel":true,"ConnIdle":60000.0,"ConnectTimeout":200.0,"CpuUsPerRequest":10.0,"CpuUsPerS":8000,"MaxAttempts":6,"MaxOpen":20000,"MaxRetryAfter":1200.0,"PeerMessages":false,"Probing":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32},
"Report":{"Columns":[],"How":"silent"},
"Safety":{"AnswerSlack":20.0,"Cold":8700.0,"FallMultiple":3.0,"MustAskIn":10000.0,"StartCapacity":0.32,"StopSendingWithin":250.0,"TipAfter":1500.0},
"Stage":0,"Stages":["transcript-cache"],"Tick":5.0,"ValueBy":"work","Weights":"nominal","Zone":0,"Zones":["duluth","sault","cleveland"]}"#;

/// Returns a configuration of a small proxy.
fn config(listen: SocketAddr, admin: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":48,"sockets":384}},"known":{known},"settings":{settings}}}"#
    )
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A small deployment: two cache nodes, the origin, discovery and one proxy.
struct Deployment {
    discovery: Discovery,
    listen: SocketAddr,
    admin: SocketAddr,
    proxy: Proxy,
}

impl Case {
    fn deploy(&self, settings: &str, entries: Vec<String>) -> Result<Deployment, String> {
        let discovery = Discovery::start(&self.record, entries.clone(), Arc::new(|| ms(0)));
        let (listen, admin) = (free_address(), free_address());
        let text = config(listen, admin, discovery.address, &list(1, &entries), settings);
        let proxy = Proxy::start(&self.root, &self.folder, 0, listen, admin, &text);
        if !wait_until_ready(listen, ms(10_000)) {
            return Err("the proxy was not ready within 10 s".to_owned());
        }
        self.record.line("the proxy is ready");
        Ok(Deployment { discovery, listen, admin, proxy })
    }

    fn keep_log(&self, proxy: &Proxy) {
        for line in std::fs::read_to_string(&proxy.log).unwrap_or_default().lines() {
            self.record.line(&format!("proxy log: {line}"));
        }
    }
}

const LONG_VALUE_BYTES: usize = 4 << 20;

/// A client reads a value of 4 MiB slowly and without a pause.
fn slow_reader(case: &Case) -> Verdict {
    let record = &case.record;
    let bytes = env_number("BYTES", LONG_VALUE_BYTES as u64) as usize;
    let value = vec![b'v'; bytes];
    let node = start_node("node s-1", record, Arc::new(move |request, stream| write_value(stream, &request.id, &value)));
    let origin = start_origin(record, Arc::new(|request, stream| write_ok(stream, &request.id, b"origin")));
    let entries = vec![
        entry("s-00000001", node.address, "c6-fast", "gdynia-port", "ready"),
        entry("s-000000aa", origin.address, "origin", "gdynia-port", "ready"),
    ];
    let deployment = match case.deploy(GDYNIA, entries) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let piece = env_number("PIECE", 16 << 10) as usize;
    let pause = if case.trouble { ms(env_number("PAUSE", 160)) } else { ms(0) };
    let read = || -> io::Result<(usize, bool)> {
        let mut client = Client::connect(deployment.listen)?;
        client.set_timeout(ms(20_000));
        record.line("client sends: mg route v O1 Pc=lookup,t=hel-gdynia,d=1500");
        let first = client.call("mg route v O1 Pc=lookup,t=hel-gdynia,d=1500\r\n")?.unwrap_or_default();
        record.line(&format!("client got: {first}"));
        if !first.starts_with("VA ") {
            return Ok((0, false));
        }
        let (mut total, wanted) = (0, bytes + 2);
        let mut buffer = vec![0; piece];
        while total < wanted {
            let room = piece.min(wanted - total);
            match client.reader.read(&mut buffer[..room]) {
                Ok(0) => return Ok((total, false)),
                Ok(count) => {
                    if (total + count) / (256 << 10) != total / (256 << 10) {
                        record.line(&format!("client has read {} bytes", total + count));
                    }
                    total += count;
                }
                Err(error) => {
                    record.line(&format!("client: {error}"));
                    return Ok((total, false));
                }
            }
            thread::sleep(pause);
        }
        Ok((total, true))
    };
    let result = read();
    case.keep_log(&deployment.proxy);
    match result {
        Ok((_, true)) => Verdict::Held,
        Ok((0, false)) | Err(_) => Verdict::CouldNotRun("the value did not begin".to_owned()),
        Ok((total, false)) => {
            Verdict::Broken(format!("the proxy ended the connection after {total} of {} bytes", bytes + 2))
        }
    }
}

/// A cache node breaks off a long value; a write behind it on the same connection has run.
fn broken_value(case: &Case) -> Verdict {
    let record = &case.record;
    let trouble = case.trouble;
    let value = vec![b'v'; 1 << 20];
    let node = start_node(
        "node s-1",
        record,
        Arc::new(move |request, stream| {
            if !trouble {
                return write_value(stream, &request.id, &value);
            }
            stream.write_all(format!("VA {} O{} h1\r\n", value.len(), request.id).as_bytes())?;
            stream.write_all(&value[..value.len() / 4])?;
            thread::sleep(ms(400));
            Err(io::Error::other("reset under a request that has begun"))
        }),
    );
    let origin = start_origin(
        record,
        Arc::new(|request, stream| {
            thread::sleep(ms(150));
            write_ok(stream, &request.id, b"r1")
        }),
    );
    let entries = vec![
        entry("s-00000001", node.address, "c6-fast", "gdynia-port", "ready"),
        entry("s-000000aa", origin.address, "origin", "gdynia-port", "ready"),
    ];
    let deployment = match case.deploy(GDYNIA, entries) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let run = || -> io::Result<(bool, Option<String>)> {
        let mut client = Client::connect(deployment.listen)?;
        client.set_timeout(ms(6000));
        let commands = "mg route v O1 Pc=lookup,t=hel-gdynia,d=1500\r\nms seat 4 O2 Pc=hold,t=hel-gdynia,d=2500,k=5c0f6e1a2b3d4c59\r\nhold\r\n";
        record.line("client sends: mg route ... O1, ms seat ... O2, in one piece");
        let first = client.call(commands)?.unwrap_or_default();
        record.line(&format!("client got: {first}"));
        match read_rest(&mut client, &first) {
            Ok(value) => record.line(&format!("client got a whole value of {} bytes", value.len())),
            Err(error) => {
                record.line(&format!("client: the value broke off: {error}"));
                return Ok((false, None));
            }
        }
        let second = client.line()?;
        record.line(&format!("client got: {second:?}"));
        Ok((true, second))
    };
    let result = run();
    thread::sleep(ms(300));
    case.keep_log(&deployment.proxy);
    let writes = origin.received.lock().unwrap().iter().filter(|request| request.is_write).count();
    record.line(&format!("the origin ran {writes} write(s)"));
    match result {
        Ok((_, Some(_))) => Verdict::Held,
        Ok((_, None)) if writes > 0 => {
            Verdict::Broken("the write O2 was read, sent on and run, and its client got no answer".to_owned())
        }
        Ok((_, None)) => Verdict::Held,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

fn crowded_discovery(case: &Case) -> Verdict {
    let record = &case.record;
    let hit: Serve = Arc::new(|request, stream| {
        thread::sleep(ms(5));
        write_value(stream, &request.id, b"fare")
    });
    let stays = start_node("node s-1 (ready)", record, Arc::clone(&hit));
    let drains = start_node("node s-2 (drains)", record, hit);
    let origin = start_origin(record, Arc::new(|request, stream| write_ok(stream, &request.id, b"origin")));
    let entries = |state: &str| {
        vec![
            entry("s-00000001", stays.address, "full-speed", "duluth", "ready"),
            entry("s-00000002", drains.address, "full-speed", "duluth", state),
            entry("s-000000aa", origin.address, "origin", "duluth", "ready"),
        ]
    };
    let wait = if case.trouble { ms(env_number("WAIT", 2800)) } else { ms(0) };
    let discovery = Discovery::start(record, entries("ready"), Arc::new(move || wait));
    let (listen, admin) = (free_address(), free_address());
    let text = config(listen, admin, discovery.address, &list(1, &entries("ready")), LAKES);
    let proxy = Proxy::start(&case.root, &case.folder, 0, listen, admin, &text);
    if !wait_until_ready(listen, ms(10_000)) {
        return Verdict::CouldNotRun("the proxy was not ready within 10 s".to_owned());
    }
    let ready_at = record.now();
    record.line("the proxy is ready");
    discovery.publish(entries("draining"));
    record.line("discovery has it that s-00000002 drains");
    let drained_at = record.now();
    let length = ms(env_number("LENGTH", 15_000));
    let began = Instant::now();
    let mut number = 0;
    let mut served = 0;
    while began.elapsed() < length {
        number += 1;
        if let Ok(mut client) = Client::connect(listen) {
            client.set_timeout(ms(3000));
            let command = format!("mg key{} v O{number} Pc=read-transcript,t=harbor-telephone,d=2500\r\n", number % 16);
            if let Ok(Some(first)) = client.call(&command) {
                let _ = read_rest(&mut client, &first);
                served += usize::from(first.starts_with("VA"));
            }
        }
        thread::sleep(ms(40));
    }
    case.keep_log(&proxy);
    let told = drained_at + 6000;
    let bound = told + 250 + 50;
    let late: Vec<u64> =
        drains.received.lock().unwrap().iter().map(|request| request.at).filter(|at| *at > bound).collect();
    record.line(&format!(
        "ready at {ready_at}; drain known to discovery at {drained_at}, counts as told at {told} at the latest; {served} of {number} served; to s-2 after {bound}: {}",
        late.len()
    ));
    if number < 50 || served == 0 {
        return Verdict::CouldNotRun("too few requests".to_owned());
    }
    match late.last() {
        Some(last) => Verdict::Broken(format!("{} requests went to the draining node after the grace, the last {} ms after the drain", late.len(), last - drained_at)),
        None => Verdict::Held,
    }
}

fn upgrade_out(case: &Case) -> Verdict {
    let record = &case.record;
    let hit: Serve = Arc::new(|request, stream| write_value(stream, &request.id, b"fare"));
    let node = start_node("node s-1", record, hit);
    let origin = start_origin(record, Arc::new(|request, stream| write_ok(stream, &request.id, b"origin")));
    let entries = vec![
        entry("s-00000001", node.address, "c6-fast", "gdynia-port", "ready"),
        entry("s-000000aa", origin.address, "origin", "gdynia-port", "ready"),
    ];
    let deployment = match case.deploy(GDYNIA, entries.clone()) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let called_at = record.now();
    let status = call_admin(deployment.admin, "POST", "/control/out-of-service");
    record.line(&format!("POST /control/out-of-service: {status:?}"));
    thread::sleep(ms(1000));
    let ask = || -> String {
        Client::connect(deployment.listen).and_then(|mut client| {
            client.set_timeout(ms(1000));
            client.call("mn\r\n")
        }).map_or_else(|error| error.to_string(), |line| line.unwrap_or_default())
    };
    record.line(&format!("mn: {}", ask()));
    let mut second = None;
    let admin = free_address();
    if case.trouble {
        let text = config(deployment.listen, admin, deployment.discovery.address, &list(1, &entries), GDYNIA);
        second = Some(Proxy::start(&case.root, &case.folder, 1, deployment.listen, admin, &text));
        let until = Instant::now() + ms(6000);
        while Instant::now() < until && !matches!(call_admin(admin, "GET", "/control/ready"), Ok(200)) {
            thread::sleep(ms(50));
        }
        record.line("the second process said yes to /control/ready; SIGTERM goes to the first");
        deployment.proxy.signal("TERM");
        thread::sleep(ms(3200));
        deployment.proxy.signal("KILL");
    }
    while record.now() < called_at + 6000 {
        thread::sleep(ms(20));
    }
    let answer = ask();
    record.line(&format!("mn, {} ms after the call: {answer}", record.now() - called_at));
    if let Some(second) = &second {
        case.keep_log(second);
    }
    if answer == "MN" { Verdict::Broken("mn says yes".to_owned()) } else { Verdict::Held }
}

/// Returns the number of bytes that the process which holds this end of a connection has not read yet.
fn unread_bytes(local: SocketAddr, remote: SocketAddr) -> Option<u64> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            format!("{:08X}:{:04X}", u32::from_le_bytes(octets), address.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let (local, remote) = (hex(local), hex(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().find(|row| {
        let mut columns = row.split_whitespace().skip(1);
        columns.next() == Some(local.as_str()) && columns.next() == Some(remote.as_str())
    })?;
    let queues = row.split_whitespace().nth(4)?;
    u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
}

/// A planned restart finds a client that has sent many commands at once.
fn stop_in_pipeline(case: &Case) -> Verdict {
    let record = &case.record;
    let commands = env_number("COMMANDS", 90) as usize;
    let node = start_node(
        "node s-1",
        record,
        Arc::new(|request, stream| {
            if request.key == "k0" {
                stream.write_all(format!("EN O{}\r\n", request.id).as_bytes())
            } else {
                write_value(stream, &request.id, b"f")
            }
        }),
    );
    let origin = start_origin(
        record,
        Arc::new(|request, stream| {
            thread::sleep(ms(env_number("SLOW", 400)));
            write_ok(stream, &request.id, b"f")
        }),
    );
    let entries = vec![
        entry("s-00000001", node.address, "c6-fast", "gdynia-port", "ready"),
        entry("s-000000aa", origin.address, "origin", "gdynia-port", "ready"),
    ];
    let deployment = match case.deploy(GDYNIA, entries) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let run = || -> io::Result<(usize, Option<u64>)> {
        let mut client = Client::connect(deployment.listen)?;
        client.set_timeout(ms(4000));
        record.line(&format!("client: mn: {:?}", client.call("mn\r\n")?));
        if case.trouble {
            deployment.proxy.signal("TERM");
            record.line("SIGTERM");
        }
        thread::sleep(ms(env_number("AFTER", 2300)));
        let text: String = (0..commands).map(|n| format!("mg k{n} v O{n} Pc=lookup,d=1500\r\n")).collect();
        record.line(&format!("client sends {commands} commands at once, {} bytes", text.len()));
        client.send(&text)?;
        thread::sleep(ms(100));
        let unread = unread_bytes(deployment.listen, client.stream.local_addr()?);
        record.line(&format!("bytes of these that the proxy has not read: {unread:?}"));
        let mut answers = 0;
        while answers < commands {
            match client.line() {
                Ok(Some(line)) => {
                    read_rest(&mut client, &line)?;
                    if answers % 10 == 0 { record.line(&format!("client got answer {answers}: {line}")); }
                    answers += 1;
                }
                Ok(None) => { record.line("client: the proxy ended the connection"); break }
                Err(error) => { record.line(&format!("client: {error}")); break }
            }
        }
        Ok((answers, unread))
    };
    let result = run();
    thread::sleep(ms(500));
    case.keep_log(&deployment.proxy);
    match result {
        Ok((answers, unread)) => {
            record.line(&format!("{answers} of {commands} commands got an answer; {} were sent on to the node", node.count()));
            if answers == commands { Verdict::Held } else {
                Verdict::Broken(format!("{} of {commands} commands got no answer; the proxy had left {unread:?} of their bytes unread", commands - answers))
            }
        }
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

/// Returns settings in which the class `hold` has this effect, and each class that `stretched` names has an
/// `AimStretch`.
fn settings_with(classes: &[(&str, &str, bool)], attempts: u32) -> String {
    let grades: Vec<String> = classes
        .iter()
        .map(|(name, effect, is_stretched)| {
            let stretch = if *is_stretched { r#""AimStretch":0.5,"# } else { "" };
            format!(
                r#"{{"Aim":750.0,{stretch}"DedupScope":"all","GiveUp":2500.0,"LateWorth":0.0,"Name":"{name}","RepeatWindow":5000.0,"Semantics":"{effect}","Stream":false,"Worth":1.0}}"#
            )
        })
        .collect();
    let begin = GDYNIA.find(r#""Grades":["#).unwrap();
    let end = GDYNIA.find(r#""GroupSize""#).unwrap();
    let text = format!("{}\"Grades\":[{}],\n{}", &GDYNIA[..begin], grades.join(",\n"), &GDYNIA[end..]);
    text.replace(r#""MaxAttempts":3"#, &format!(r#""MaxAttempts":{attempts}"#))
}

/// New settings add a class whose entry has no `AimStretch`, and make another class unsafe to repeat.
fn new_class(case: &Case) -> Verdict {
    let record = &case.record;
    let node = start_node("node s-1", record, Arc::new(|request, stream| write_value(stream, &request.id, b"fare")));
    let runs: Arc<std::sync::Mutex<Vec<String>>> = Arc::default();
    let ran = Arc::clone(&runs);
    let run_record = record.clone();
    let origin = start_origin(
        record,
        Arc::new(move |request, stream| {
            let count = {
                let mut ran = ran.lock().unwrap();
                ran.push(request.id.clone());
                ran.iter().filter(|id| **id == request.id).count()
            };
            run_record.line(&format!("origin ran {}, run {count}", request.id));
            if request.is_write && count == 1 {
                run_record.line(&format!("origin answers 500 to {}: it has run", request.id));
                stream.write_all(
                    format!("HTTP/1.1 500 Error\r\nX-Txn: {}\r\nContent-Length: 0\r\n\r\n", request.id).as_bytes(),
                )
            } else {
                write_ok(stream, &request.id, b"r1")
            }
        }),
    );
    let entries = vec![
        entry("s-00000001", node.address, "c6-fast", "gdynia-port", "ready"),
        entry("s-000000aa", origin.address, "origin", "gdynia-port", "ready"),
    ];
    let before = settings_with(&[("lookup", "safe", true), ("hold", "safe", true)], 3);
    let deployment = match case.deploy(&before, entries.clone()) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let call = |command: &str| -> io::Result<String> {
        let mut client = Client::connect(deployment.listen)?;
        client.set_timeout(ms(4000));
        record.line(&format!("client sends: {}", command.trim_end().replace("\r\n", " | ")));
        let first = client.call(command)?.unwrap_or_default();
        let _ = read_rest(&mut client, &first);
        record.line(&format!("client got: {first}"));
        Ok(first)
    };
    // Requests before the change, so that the proxy serves when SIGHUP comes.
    for number in 0..10 {
        if let Err(error) = call(&format!("mg route v Oa{number} Pc=lookup,t=hel-gdynia,d=1500\r\n")) {
            return Verdict::CouldNotRun(error.to_string());
        }
        thread::sleep(ms(150));
    }
    let after = settings_with(
        &[("lookup", "safe", true), ("hold", "unsafe", true), ("quote", "safe", !case.trouble)],
        2,
    );
    let text = config(deployment.listen, deployment.admin, deployment.discovery.address, &list(1, &entries), &after);
    let path = case.folder.join("config-0.json");
    if std::fs::write(case.folder.join("next.json"), text)
        .and_then(|()| std::fs::rename(case.folder.join("next.json"), path))
        .is_err()
    {
        return Verdict::CouldNotRun("the new configuration cannot be written".to_owned());
    }
    deployment.proxy.signal("HUP");
    record.line("the new configuration is in place: hold is unsafe, quote is new; SIGHUP");
    thread::sleep(ms(1500));
    let quote = call("mg route v Ob1 Pc=quote,t=hel-gdynia,d=1500\r\n");
    let hold = call("ms seat 4 Ob2 Pc=hold,t=hel-gdynia,d=2500\r\nhold\r\n");
    thread::sleep(ms(300));
    case.keep_log(&deployment.proxy);
    let count = runs.lock().unwrap().iter().filter(|id| *id == "b2").count();
    record.line(&format!("the write b2 of the class hold ran {count} time(s); the class quote got {quote:?}"));
    match (hold, count) {
        (Err(error), _) => Verdict::CouldNotRun(error.to_string()),
        (Ok(_), 0) => Verdict::CouldNotRun("the write never reached the origin".to_owned()),
        (Ok(_), 1) => Verdict::Held,
        (Ok(_), _) => Verdict::Broken(format!("the unsafe write b2 ran {count} times")),
    }
}
