//! Writes down what the rig sees of a proxy from outside: what consumers, cache nodes, the origin and discovery
//! sent and got. Each test has its own; all that it makes writes to it.

use pinetrail_history_checker::{
    check, check_quota, Answer, Class, Effect, End, Figures, History, HistoryEvent, Node, ProxyEnd, Scope,
    State, Time,
};
use serde_json::Value;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Each time limit is longer by so much: 50 ms on sockets, as the protocol has it, and what a busy machine takes to
/// notice. The exact limits are those of the seeded histories.
const BLUR: Time = 250.0;
/// Of two processes of one proxy none is told apart: for the rules they are one.
const PROXY: &str = "p";

/// What was seen so far. Clones write to the same.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<Notes>>);

struct Notes {
    begun: Instant,
    begun_ms: f64,
    events: Vec<(Time, HistoryEvent)>,
    calls: u64,
}

thread_local! {
    static OWN: Recorder = Recorder(Arc::new(Mutex::new(Notes {
        begun: Instant::now(),
        begun_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0,
        events: Vec::new(),
        calls: 0,
    })));
}

impl Recorder {
    /// That of the test which this thread runs.
    pub fn own() -> Recorder {
        OWN.with(Recorder::clone)
    }

    fn note<T>(&self, seen: impl FnOnce(&mut Notes) -> (HistoryEvent, T)) -> T {
        let mut notes = self.0.lock().unwrap();
        let (seen, more) = seen(&mut notes);
        let at = notes.begun.elapsed().as_secs_f64() * 1000.0;
        notes.events.push((at, seen));
        more
    }

    /// The settings of a configuration came into force, and its list is known.
    pub fn record_active_config(&self, config: &str) {
        let config: Value = serde_json::from_str(config).unwrap();
        let figures = figures(&config["settings"]);
        self.note(|_| (HistoryEvent::ConfigActivated { proxy: PROXY.into(), figures }, ()));
        self.record_endpoint_list(&config["known"].to_string());
    }

    /// Discovery told a list or changes.
    pub fn record_endpoint_list(&self, list: &str) {
        let Ok(list) = serde_json::from_str::<Value>(list) else { return };
        self.note(|notes| {
            let entries = list["instances"].as_array().into_iter().flatten();
            let nodes = entries.map(|entry| node(entry, notes.begun_ms)).collect();
            let whole = list["reset"].as_bool().unwrap_or(false);
            (HistoryEvent::EndpointsListed { proxy: PROXY.into(), whole, nodes }, ())
        });
    }

    /// A consumer's command is about to go out.
    pub fn record_request(&self, command: &str) {
        let word = |name: &str| label(command, name).unwrap_or_default().to_owned();
        let request = crate::opaque(command).to_owned();
        let budget = word("d").parse().unwrap();
        self.note(|_| {
            (HistoryEvent::RequestSent { proxy: PROXY.into(), request, class: word("c"), budget }, ())
        });
    }

    /// A consumer has its answer: the line of it, and the line of the value.
    pub fn record_response(&self, command: &str, line: &str, value: &str) {
        let request = crate::opaque(command).to_owned();
        let answer = match line.split(' ').next() {
            Some("VA") => Answer::Served(value.trim_end().to_owned()),
            Some("HD") => Answer::Served(line.trim_end().rsplit_once(" c").unwrap().1.to_owned()),
            _ if line.starts_with("SERVER_ERROR busy") => Answer::Rejected,
            _ => Answer::Failed,
        };
        self.note(|_| (HistoryEvent::ResponseReceived { request, answer }, ()));
    }

    /// A consumer closes its connection.
    pub fn record_client_gone(&self, command: &str) {
        let request = crate::opaque(command).to_owned();
        self.note(|_| (HistoryEvent::ClientDisconnected { request }, ()));
    }

    /// The process has ended by itself.
    pub fn record_exit(&self) {
        self.note(|_| (HistoryEvent::ProxyEnded { proxy: PROXY.into(), how: ProxyEnd::Exited }, ()));
    }

    /// A provider has read a call; its number.
    pub fn record_backend_request(&self, place: &str, words: &str) -> u64 {
        let id = words.lines().find_map(|line| line.strip_prefix("X-Txn: ").map(|id| format!("O{id}")));
        let request = id.unwrap_or_else(|| crate::opaque(words).to_owned());
        self.note(|notes| {
            notes.calls += 1;
            let first = notes.begun.elapsed().as_secs_f64() * 1000.0;
            let (proxy, place, call) = (PROXY.to_owned(), place.to_owned(), notes.calls);
            (
                HistoryEvent::AttemptReceived {
                    proxy,
                    request,
                    attempt: call,
                    address: place,
                    first,
                    work: 1.0,
                },
                call,
            )
        })
    }

    /// A provider is about to answer a call with these words; none if its connection has ended.
    pub fn record_backend_response(&self, call: u64, words: Option<&str>) {
        let end = match words {
            None => End::Broken,
            Some(words) if words.starts_with("VA ") => {
                End::Served(words.lines().nth(1).unwrap_or_default().to_owned())
            }
            Some(words) if words.starts_with("EN ") => End::Missed,
            Some(words) if words.starts_with("SERVER_ERROR busy") => End::Rejected,
            Some(words) if words.starts_with("HTTP/1.1 200") => {
                End::Served(words.split_once("\r\n\r\n").unwrap().1.to_owned())
            }
            Some(words) if words.contains("X-Turned-Away: 1") => End::Rejected,
            Some(_) => End::Failed,
        };
        self.note(|_| (HistoryEvent::AttemptEnded { attempt: call, end }, ()));
    }

    /// A process said at its door what its share is; its calls run for so long at the most.
    pub fn share(&self, proxy: &str, part: f64, calls: Time) {
        self.note(|_| {
            (HistoryEvent::QuotaStated { proxy: proxy.to_owned(), part, longest_attempt: calls }, ())
        });
    }

    /// All together may have so many calls at once at a provider.
    pub fn bound(&self, place: &str, calls: usize) {
        self.note(|_| (HistoryEvent::AttemptLimitSet { address: place.to_owned(), limit: calls }, ()));
    }

    /// Judges what was seen of shares alone.
    pub fn check_quota(&self) {
        let breaches = check_quota(&self.history()).expect("shares were seen");
        assert!(breaches.is_empty(), "{} in all, first {}", breaches.len(), breaches[0]);
    }

    /// What was seen.
    pub fn history(&self) -> History {
        History { clock_error: BLUR, events: self.0.lock().unwrap().events.clone() }
    }

    /// Judges it: nothing may be broken.
    pub fn check(&self) {
        let breaches = check(&self.history()).expect("the history is whole");
        assert!(breaches.is_empty(), "{} in all, first {}", breaches.len(), breaches[0]);
    }
}

/// A label of a command's list, such as `c` in `Pc=read,t=acme`.
fn label<'a>(command: &'a str, name: &str) -> Option<&'a str> {
    let labels = command.split_whitespace().find_map(|word| word.strip_prefix('P'))?;
    labels.split(',').find_map(|label| label.strip_prefix(name)?.strip_prefix('='))
}

fn node(entry: &Value, begun_ms: f64) -> Node {
    let text = |key: &str| entry[key].as_str().unwrap().to_owned();
    Node {
        name: text("instanceId"),
        address: text("hostPort"),
        zone: u16::from(text("zone") != "a"),
        cell: entry["cell"].as_u64().unwrap() as u16,
        state: match &*text("lifecycle") {
            "ready" => State::Ready,
            "draining" => State::Draining,
            _ => State::Gone,
        },
        started: entry["startedAtMs"].as_f64().unwrap() - begun_ms,
    }
}

fn figures(settings: &Value) -> Figures {
    let class = |class: &Value| {
        let of = |key: &str| class[key].as_str().unwrap_or_default();
        let effect = match of("Semantics") {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let scope = match of("DedupScope") {
            "all" => Scope::All,
            "zone" => Scope::Zone,
            _ => Scope::Cell,
        };
        let window = class["RepeatWindow"].as_f64().unwrap_or(0.0);
        (of("Name").to_owned(), Class { effect, scope, window })
    };
    let (allowed, safety) = (&settings["Permissions"], &settings["Safety"]);
    let figure = |name: &str| safety[name].as_f64().unwrap();
    Figures {
        classes: settings["Grades"].as_array().unwrap().iter().map(class).collect(),
        attempts: allowed["MaxAttempts"].as_u64().unwrap() as usize,
        second_copies: allowed["SecondCopies"].as_bool().unwrap(),
        answer_slack: 20.0,
        stop_within: 1000.0,
        start_capacity: figure("StartCapacity"),
        cold: figure("Cold"),
        fall_multiple: figure("FallMultiple"),
        tip_after: figure("TipAfter"),
    }
}
