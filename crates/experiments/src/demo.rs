//! `pinetrail-experiments demo`: three real proxies that know each other, what they talk to, clients, and faults.

use crate::load::{Done, Load};
use crate::table;
use clap::Args;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};

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
pub(crate) fn run(options: &Options) -> Result<bool, String> {
    let own = std::env::current_exe()
        .map_err(|error| format!("this program does not know where it is: {error}"))?;
    program(own, &["proxy"]);
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stopped)).map_err(|error| error.to_string())?;
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
    let begun = fleet.timeline.now();
    let places = everybody.iter().map(|proxy| fleet.process(*proxy).client_address).collect();
    let load = Load::begin(places, options.rate, Duration::from_secs(options.seconds), options.seed);
    let whole = play(&mut fleet, &script, options.seconds, &stopped)?;
    if !whole {
        load.cancel();
        return Err("stopped; its processes have ended".to_owned());
    }
    let done = load.end();
    fleet.wait_until("the proxies agree again", |fleet| fleet.all_agree(&everybody));
    let knew = knew(&fleet, &script, begun);
    let figures = figures(options, &done, &knew);
    show(&figures, &knew);
    if options.timeline {
        println!("\n{}", fleet.timeline);
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&figures).map_err(|error| error.to_string())?;
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))?;
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

/// The judge hears of the settings, and of the nodes by the addresses that they have themselves.
fn record_config(fleet: &Fleet) {
    let mut config = fleet.config(0, &[]);
    if let Some(listed) = config["known"]["instances"].as_array_mut() {
        for (node, entry) in fleet.nodes.iter().chain([&fleet.origin]).zip(listed) {
            entry["hostPort"] = json!(node.address.to_string());
        }
    }
    Recorder::own().record_active_config(&config.to_string());
}

/// One proxy dies and returns, one way is cut and heals, one cache node is gone for a moment.
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
fn play(fleet: &mut Fleet, script: &Script, seconds: u64, stopped: &AtomicBool) -> Result<bool, String> {
    let bar = ProgressBar::new(seconds * 10);
    let style = ProgressStyle::with_template("{bar:40} {elapsed}  {msg}");
    bar.set_style(style.map_err(|error| error.to_string())?);
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

/// When each member knew of each death and return: who, of whom, what, and how many ms after it happened.
fn knew(fleet: &Fleet, script: &Script, begun: u128) -> Vec<(String, String, &'static str, Option<u128>)> {
    let mut knew = Vec::new();
    for ScriptStep { at, fault } in &script.steps {
        let (of, what, words) = match fault {
            Fault::Kill(member) => (*member, "dead", format!("fleet: {} at ", Fleet::name(*member))),
            Fault::Start(member) => {
                (*member, "back", format!("fleet: {} is a new process", Fleet::name(*member)))
            }
            _ => continue,
        };
        // The moment at which the rig says that it did it.
        let words_of_rig = fault.to_string();
        let happened =
            fleet.timeline.first_match("harness", &words_of_rig, begun + u128::from(*at)).unwrap_or(begun);
        for member in (0..PROXIES).filter(|member| *member != of) {
            let by = Fleet::name(member);
            let suffix = if what == "dead" { "-> failed" } else { "" };
            let said = fleet.timeline.first_match_of_both(&by, &words, suffix, happened);
            knew.push((by, Fleet::name(of), what, said.map(|said| said - happened)));
        }
    }
    knew
}

fn figures(options: &Options, done: &Done, knew: &[(String, String, &'static str, Option<u128>)]) -> Value {
    let broken: Vec<String> = match check(&Recorder::own().history()) {
        Ok(breaches) => breaches.iter().map(ToString::to_string).collect(),
        Err(error) => vec![format!("not judged: {error:?}")],
    };
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are possible");
    done.latencies.iter().for_each(|us| histogram.record(*us).expect("it grows as needed"));
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    let known: Vec<Value> = knew
        .iter()
        .map(|(member, of, what, ms)| json!({"member": member, "of": of, "what": what, "after_ms": ms.map(|ms| ms as u64)}))
        .collect();
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

fn show(figures: &Value, knew: &[(String, String, &'static str, Option<u128>)]) {
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
    let rows: Vec<Vec<String>> = knew
        .iter()
        .map(|(member, of, what, ms)| {
            let ms = ms.map_or("never".to_owned(), |ms| ms.to_string());
            vec![format!("{member} knew that {of} was {what}"), ms]
        })
        .collect();
    table::print(&["", "ms after"], &rows);
    let broken = figures["rules_broken"].as_array().map_or(&[][..], Vec::as_slice);
    match broken {
        [] => println!("\nNo rule was broken."),
        _ => broken.iter().for_each(|rule| println!("\nBROKEN: {rule}")),
    }
}
