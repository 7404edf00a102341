//! Responses of cache nodes and the origin that arrive slowly, or never end, in each framing.

use crate::ms;
use pinetrail_test_harness::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::Read;
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Seeds from which sizes, pauses and numbers of pieces are drawn.
const SEEDS: [u64; 2] = [1, 2];
/// Time that a client waits for a response.
const CLIENT_TIMEOUT: Duration = ms(1500);
/// Time after the client's deadline within which a final response must arrive: `AnswerSlack`, and
/// what is added to it on sockets.
const RESPONSE_SLACK: Duration = ms(70);
/// Time after which a value that streams and never ends must have ended its connection.
const MAX_STREAM_TIME: Duration = ms(7000);
/// The pauses within a response, in ms.
const PAUSES_MS: Range<u64> = 350..850;
/// Latency objective and client timeout of the classes.
const GENEROUS_OBJECTIVE: &str = r#""Aim":1400.0,"GiveUp":1500.0"#;
/// Number of requests that are open at once.
const CONCURRENT_REQUESTS: usize = 6;
/// Number of times that a client requests a slow response: a request for which nothing was begun may
/// be shed.
const TRIES: usize = 4;
/// Number of cache nodes.
const NODES: usize = 3;
/// Lengths of values within the protocol's limit, in bytes.
const SHORT_LENGTHS: [usize; 5] = [1, 120, 5_000, 40_000, 65_536];
/// Lengths of values above the protocol's limit, in bytes.
const LONG_LENGTHS: [usize; 3] = [65_537, 104_777, 228_087];

/// The response that a client received.
#[derive(Debug, PartialEq, Eq)]
enum Received {
    Value(Vec<u8>),
    /// The connection ended within a value.
    Truncated,
    /// A final response without a value.
    Line(String),
}

impl Received {
    /// Returns when the client is to come again, if the response says so.
    fn retry_after(&self) -> Option<Duration> {
        let Received::Line(line) = self else { return None };
        line.strip_prefix("SERVER_ERROR busy ")?.trim_end().parse().ok().map(Duration::from_millis)
    }
}

/// The responses of all backends: the one to the request for key `N` has the number `N`.
struct Script {
    responses: Vec<PacedResponse>,
    deliveries: Deliveries,
}

impl Script {
    fn act_as_node(self: &Arc<Self>, line: &str) -> StubAction {
        let key = line.split(' ').nth(1).unwrap();
        if self.responses[key.parse::<usize>().unwrap()].framing.is_of_node() {
            self.respond(key, line)
        } else {
            StubAction::Reply(format!("EN {}\r\n", opaque(line)))
        }
    }

    fn act_as_origin(self: &Arc<Self>, request: &str) -> StubAction {
        let key = request.strip_prefix("GET /").and_then(|rest| rest.split(' ').next()).unwrap();
        self.respond(key, request)
    }

    fn respond(self: &Arc<Self>, key: &str, request: &str) -> StubAction {
        let (script, request) = (Arc::clone(self), request.to_owned());
        let number: usize = key.parse().unwrap();
        StubAction::ReplyWith(Box::new(move |stream| {
            script.responses[number].write(&request, stream, &script.deliveries);
        }))
    }
}

/// A proxy whose backends respond by a [`Script`].
struct SlowBackends {
    fixture: ProxyFixture,
    script: Arc<Script>,
    /// The stubs live as long as the proxy.
    _servers: Vec<StubServer>,
}

impl SlowBackends {
    fn start(responses: Vec<PacedResponse>) -> SlowBackends {
        let script = Arc::new(Script { responses, deliveries: Deliveries::default() });
        let mut nodes = Vec::new();
        for _ in 0..NODES {
            let script = Arc::clone(&script);
            nodes.push(StubServer::node(move |line| script.act_as_node(line)));
        }
        let of_origin = Arc::clone(&script);
        let origin = StubServer::origin(move |request| of_origin.act_as_origin(request));
        let mut entries: Vec<String> =
            nodes.iter().enumerate().map(|(n, node)| node.entry(&format!("s-{n}"), "c6", "ready")).collect();
        entries.push(origin.entry("o", "origin", "ready"));
        // Slow responses are no overload here, so that no request is shed.
        let fixture =
            ProxyFixture::with_config_change(&entries, r#""Aim":400.0,"GiveUp":1000.0"#, GENEROUS_OBJECTIVE);
        nodes.push(origin);
        SlowBackends { fixture, script, _servers: nodes }
    }

    /// Requests these keys once each, a few at a time; returns what was received and how long it
    /// took. A client that is told to come again later does so, `tries` times in all.
    fn request(&self, numbers: Range<usize>, tries: usize) -> Vec<(Received, Duration)> {
        let numbers: Vec<usize> = numbers.collect();
        let mut received = Vec::new();
        for group in numbers.chunks(CONCURRENT_REQUESTS) {
            let clients: Vec<_> = group.iter().map(|number| self.request_one(*number, tries)).collect();
            received.extend(clients.into_iter().map(|client| client.join().unwrap()));
        }
        received
    }

    fn request_one(&self, number: usize, tries: usize) -> thread::JoinHandle<(Received, Duration)> {
        let mut client = self.fixture.client();
        let timeout_ms = CLIENT_TIMEOUT.as_millis();
        thread::spawn(move || {
            for attempt in 1.. {
                let sent_at = Instant::now();
                client.send(&format!("mg {number} v O{number}.{attempt} Pc=read,t=acme,d={timeout_ms}\r\n"));
                let (received, time) = (receive(&mut client), sent_at.elapsed());
                match received.retry_after() {
                    Some(pause) if attempt < tries => thread::sleep(pause),
                    _ => return (received, time),
                }
            }
            unreachable!("the last try returns");
        })
    }

    fn describe(&self, seed: u64, number: usize, time: Duration) -> String {
        let PacedResponse { framing, value, first_bytes, pieces, duration, completion } =
            &self.script.responses[number];
        format!(
            "seed {seed}, key {number}, {framing:?} of {} bytes, {first_bytes} at once, {pieces} pieces in \
             {duration:?}, {completion:?}; after {time:?}",
            value.len()
        )
    }
}

/// Reads one response.
fn receive(client: &mut Client) -> Received {
    let line = client.read_line();
    let length = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next());
    let Some(length) = length else { return Received::Line(line) };
    let mut value = vec![0; length.parse::<usize>().unwrap() + 2];
    if client.reader().read_exact(&mut value).is_err() {
        return Received::Truncated;
    }
    assert_eq!(value.split_off(value.len() - 2), b"\r\n");
    Received::Value(value)
}

/// Draws responses with this completion, several of each framing and length.
fn draw_responses(seed: u64, completion: Completion) -> Vec<PacedResponse> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut responses = Vec::new();
    for framing in FRAMINGS {
        for length in SHORT_LENGTHS.iter().chain(&LONG_LENGTHS) {
            let first_bytes = if rng.gen() { 0 } else { length / 8 };
            responses.push(PacedResponse {
                framing,
                value: (0..*length).map(|_| rng.gen_range(b'a'..=b'z')).collect(),
                first_bytes,
                duration: ms(rng.gen_range(PAUSES_MS)),
                pieces: [1, 1, 2, 12][rng.gen_range(0..4)],
                completion,
            });
        }
    }
    responses
}

/// Guards against a response that is cut off because its backend pauses within it for longer than
/// a bound of the proxy, although the client still waits; and against one that never ends and keeps
/// its client waiting.
#[test]
fn slow_responses_are_served_and_endless_ones_get_a_final_response_in_time() {
    for seed in SEEDS {
        let whole = draw_responses(seed, Completion::Whole);
        let slow_count = whole.len();
        let endless = draw_responses(seed, Completion::NeverEnds);
        let backends = SlowBackends::start([whole, endless].concat());
        for (number, (received, time)) in backends.request(0..slow_count, TRIES).into_iter().enumerate() {
            check_slow(&backends.describe(seed, number, time), &backends.script.responses[number], received);
        }
        let cut_off = backends.script.deliveries.cut_off();
        assert!(cut_off.is_empty(), "seed {seed}: {} cut off, first {:?}", cut_off.len(), cut_off[0]);
        assert_eq!(backends.script.deliveries.all().len(), slow_count, "one attempt each");
        let endless = slow_count..backends.script.responses.len();
        for (number, (received, time)) in endless.clone().zip(backends.request(endless, 1)) {
            check_endless(&backends.describe(seed, number, time), received, time);
        }
    }
}

fn check_slow(what: &str, response: &PacedResponse, received: Received) {
    match received {
        Received::Value(value) => assert!(value == response.value, "{what}: another value"),
        Received::Truncated => panic!("{what}: truncated"),
        Received::Line(line) => panic!("{what}: {line:?}"),
    }
}

fn check_endless(what: &str, received: Received, time: Duration) {
    match received {
        Received::Line(line) => {
            assert!(line.starts_with("SERVER_ERROR "), "{what}: {line:?}");
            assert!(time < CLIENT_TIMEOUT + RESPONSE_SLACK, "{what}: late");
        }
        Received::Truncated => assert!(time < MAX_STREAM_TIME, "{what}: late"),
        Received::Value(_) => panic!("{what}: served"),
    }
}
