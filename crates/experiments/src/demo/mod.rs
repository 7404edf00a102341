//! `pinetrail-experiments demo`: three real proxies that know each other, the servers they call,
//! clients, and faults.

use crate::error::ExperimentError;
use crate::load::{Done, Load};
use crate::output::{progress_bar, write_json};
use crate::table;
use clap::Args;
use hdrhistogram::Histogram;
use pinetrail_history_checker::check;
use pinetrail_test_harness::fleet::{Fleet, Options as FleetOptions};
use pinetrail_test_harness::recorder::Recorder;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};
use pinetrail_test_harness::{http_200, opaque, program, StubAction, StubServer};
use serde_json::{json, Value};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What to show.
#[derive(Args)]
pub(crate) struct Options {
    /// How long clients ask, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(8..=600))]
    seconds: u64,
    /// Random numbers begin with this.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests a second.
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u64).range(1..=2000))]
    rate: u64,
    /// Where to write all figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Prints all that happened, in order of time.
    #[arg(long)]
    timeline: bool,
}

const PROXIES: usize = 3;
const NODES: usize = 3;

/// Runs it; whether each request had exactly one final answer and no rule was broken.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    let own = std::env::current_exe().map_err(ExperimentError::OwnPath)?;
    program(own, &["proxy"]);
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stopped)).map_err(ExperimentError::SignalHandler)?;
    }
    println!(
        "{PROXIES} proxies, {NODES} cache nodes, an origin and discovery, all on loopback; {} s",
        options.seconds
    );
    let nodes = (0..NODES).map(|_| node()).collect();
    let origin = StubServer::origin(|head| {
        // The origin is slow, and names the request that it answers.
        sleep(Duration::from_millis(8));
        http_200(&format!("o.{}", head.split_whitespace().nth(1).unwrap_or("/").trim_start_matches('/')))
    });
    let mut fleet =
        Fleet::start_all(FleetOptions { seed: options.seed, ..FleetOptions::of(PROXIES) }, nodes, origin);
    let everybody: Vec<usize> = (0..PROXIES).collect();
    fleet.wait_until("the proxies meet", |fleet| fleet.all_agree(&everybody));
    record_config(&fleet);
    let script = script(options.seconds);
    let start = fleet.timeline.now();
    let addresses = everybody.iter().map(|proxy| fleet.process(*proxy).client_address).collect();
    let load = Load::start(addresses, options.rate, Duration::from_secs(options.seconds), options.seed);
    let is_complete = play(&mut fleet, &script, options.seconds, &stopped)?;
    if !is_complete {
        load.cancel();
        return Err(ExperimentError::Stopped);
    }
    let done = load.wait();
    fleet.wait_until("the proxies agree again", |fleet| fleet.all_agree(&everybody));
    let notices = notices(&fleet, &script, start);
    let figures = figures(options, &done, &notices);
    show(&figures, &notices);
    if options.timeline {
        println!("\n{}", fleet.timeline);
    }
    if let Some(path) = &options.json {
        write_json(path, &figures)?;
    }
    Ok(done.is_sound() && figures["rules_broken"].as_array().is_some_and(Vec::is_empty))
}

/// A cache node that lacks some keys at first and takes a moment for each call.
fn node() -> StubServer {
    let had = std::sync::Mutex::new(std::collections::BTreeSet::new());
    StubServer::node(move |line| {
        sleep(Duration::from_millis(2));
        let key = line.split(' ').nth(1).unwrap_or_default().to_owned();
        // It has a key from the second time on: after a miss the origin's value is put there.
        if had.lock().is_ok_and(|mut had| !had.insert(key.clone())) {
            StubAction::Reply(format!("VA {} {}\r\nc.{key}\r\n", key.len() + 2, opaque(line)))
        } else {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        }
    })
}

/// Records the settings for the history checker, and the nodes by the addresses that they have
/// themselves.
fn record_config(fleet: &Fleet) {
    let mut config = fleet.config(0, &[]);
    if let Some(listed) = config["known"]["instances"].as_array_mut() {
        for (node, entry) in fleet.nodes.iter().chain([&fleet.origin]).zip(listed) {
            entry["hostPort"] = json!(node.address.to_string());
        }
    }
    Recorder::own().record_active_config(&config.to_string());
}

/// One proxy dies and returns, one path is cut and heals, one cache node is gone for a moment.
fn script(seconds: u64) -> Script {
    let step = |tenths: u64, fault| ScriptStep { at: seconds * 100 * tenths, fault };
    let steps = vec![
        step(1, Fault::Kill(2)),
        step(2, Fault::Cut(0, 1)),
        step(5, Fault::Heal),
        step(6, Fault::Start(2)),
        step(7, Fault::NodeDown(0)),
        step(8, Fault::NodeUp(0)),
    ];
    Script { steps }
}

/// Plays the script and waits for the end; false if it was stopped before.
fn play(
    fleet: &mut Fleet,
    script: &Script,
    seconds: u64,
    stopped: &AtomicBool,
) -> Result<bool, ExperimentError> {
    let bar = progress_bar(seconds * 10, "{bar:40} {elapsed}  {msg}")?;
    let begun = Instant::now();
    let mut faults = script.steps.iter().peekable();
    while begun.elapsed() < Duration::from_secs(seconds) {
        if stopped.load(Ordering::Acquire) {
            bar.abandon();
            return Ok(false);
        }
        let now = begun.elapsed().as_millis();
        while let Some(ScriptStep { fault, .. }) = faults.next_if(|step| u128::from(step.at) <= now) {
            bar.set_message(fault.to_string());
            fleet.inject(fault);
        }
        bar.set_position(now as u64 / 100);
        sleep(Duration::from_millis(20));
    }
    bar.finish_and_clear();
    Ok(true)
}

/// When one member noticed the death or the return of another.
struct Notice {
    /// Who noticed.
    member: String,
    /// Whose death or return.
    of: String,
    /// `dead` or `back`.
    what: &'static str,
    /// In ms after it happened; none if never.
    after_ms: Option<u128>,
}

/// When each member noticed each death and return. The script began at this time of the timeline,
/// in ms.
fn notices(fleet: &Fleet, script: &Script, start: u128) -> Vec<Notice> {
    let mut notices = Vec::new();
    for ScriptStep { at, fault } in &script.steps {
        let (of, what, text, suffix) = match fault {
            Fault::Kill(member) => {
                (*member, "dead", format!("fleet: {} at ", Fleet::name(*member)), "-> failed")
            }
            Fault::Start(member) => {
                (*member, "back", format!("fleet: {} is a new process", Fleet::name(*member)), "")
            }
            _ => continue,
        };
        // The moment at which the harness notes that it did it.
        let injected = fleet.timeline.first_match("harness", &fault.to_string(), start + u128::from(*at));
        let happened = injected.unwrap_or(start);
        for member in (0..PROXIES).filter(|member| *member != of) {
            let member = Fleet::name(member);
            let noticed = fleet.timeline.first_match_of_both(&member, &text, suffix, happened);
            let after_ms = noticed.map(|noticed| noticed - happened);
            notices.push(Notice { member, of: Fleet::name(of), what, after_ms });
        }
    }
    notices
}

fn figures(options: &Options, done: &Done, notices: &[Notice]) -> Value {
    let broken: Vec<String> = match check(&Recorder::own().history()) {
        Ok(violations) => violations.iter().map(ToString::to_string).collect(),
        Err(error) => vec![format!("not judged: {error:?}")],
    };
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are possible");
    for us in &done.latencies {
        histogram.record(*us).expect("it grows as needed");
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    let known: Vec<Value> = notices.iter().map(notice_json).collect();
    json!({
        "seconds": options.seconds,
        "seed": options.seed,
        "requests": done.requests,
        "answers": done.answers,
        "asked_again": done.asked_again,
        "without_answer": done.without_answer,
        "answered_twice": done.answered_twice,
        "latency_ms": {"p50": at(0.5), "p99": at(0.99), "max": histogram.max() as f64 / 1000.0},
        "known": known,
        "rules_broken": broken,
    })
}

fn notice_json(notice: &Notice) -> Value {
    let Notice { member, of, what, after_ms } = notice;
    json!({"member": member, "of": of, "what": what, "after_ms": after_ms.map(|ms| ms as u64)})
}

fn show(figures: &Value, notices: &[Notice]) {
    let number = |name: &str| figures[name].to_string();
    let answers: BTreeMap<String, Value> = match &figures["answers"] {
        Value::Object(answers) => answers.clone().into_iter().collect(),
        _ => BTreeMap::new(),
    };
    let mut rows = vec![vec!["requests".to_owned(), number("requests")]];
    rows.extend(answers.iter().map(|(kind, count)| vec![format!("  {kind}"), count.to_string()]));
    rows.push(vec!["asked again after a proxy died".into(), number("asked_again")]);
    rows.push(vec!["without a final answer".into(), number("without_answer")]);
    rows.push(vec!["with two".into(), number("answered_twice")]);
    for name in ["p50", "p99", "max"] {
        let ms = figures["latency_ms"][name].as_f64().unwrap_or_default();
        rows.push(vec![format!("ms from when it was due, {name}"), format!("{ms:.1}")]);
    }
    table::print(&["", "count"], &rows);
    println!();
    let rows: Vec<Vec<String>> = notices
        .iter()
        .map(|Notice { member, of, what, after_ms }| {
            let ms = after_ms.map_or("never".to_owned(), |ms| ms.to_string());
            vec![format!("{member} knew that {of} was {what}"), ms]
        })
        .collect();
    table::print(&["", "ms after"], &rows);
    let broken = figures["rules_broken"].as_array().map_or(&[][..], Vec::as_slice);
    if broken.is_empty() {
        println!("\nNo rule was broken.");
    }
    for rule in broken {
        println!("\nBROKEN: {rule}");
    }
}
