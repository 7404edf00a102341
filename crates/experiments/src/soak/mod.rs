//! The subcommand `soak`: runs several real processes under seeded mixes of faults, and checks what
//! clients and backends observe against rules. Read [`run`] first.
//!
//! `plan` derives the faults from a seed, `clients` and `backends` generate traffic and add their
//! observations to a `record`, `judge` checks these against the rules, and `request_logs` reads
//! what the proxies logged.

mod backends;
mod clients;
mod judge;
mod plan;
mod record;
mod request_logs;
mod upgrade;

use crate::error::ExperimentError;
use backends::{Backend, Kind};
use clap::{Args, ValueEnum};
use clients::Client;
use judge::{LateResponse, Rule, Verdict, Violation, DEDUPLICATION_WINDOW};
use pinetrail_test_harness::{endpoint_list_json, set_program, ProxyFixture, StaticDiscovery};
use plan::{Fault, FaultMix, Plan};
use record::{Change, Record, Stop};
use request_logs::RequestLogs;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The options of `soak`.
#[derive(Args)]
pub(crate) struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// The last seed.
    #[arg(long, default_value_t = 3)]
    last: u64,
    /// The duration of the load for each seed, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// The number of late responses to requests with short timeouts that are shown for each seed,
    /// of those that no stop of the proxy explains.
    #[arg(long, default_value_t = 0)]
    show_late: usize,
    /// The mix of faults that is played.
    #[arg(long, value_enum, default_value_t = FaultMix::Standard)]
    faults: FaultMix,
    /// The program that is tested; by default the proxy of this program's own release.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// The time for which a crowd keeps its connections.
const CROWD_DURATION: Duration = Duration::from_secs(2);
/// The time between two signals of a restart or of a series of signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of violations of one seed that are shown with their timelines.
const MAX_SHOWN_VIOLATIONS: usize = 5;
const NODES: usize = 4;
/// The number of the origin among the backends.
const ORIGIN: usize = NODES;
const CLIENTS_PER_PROXY: usize = 6;
/// The time from SIGTERM to SIGKILL: the longest timeout of the configuration's classes, and the
/// time that the platform adds to it.
const TERM_TO_KILL: Duration = Duration::from_millis(1700);
/// The duration of a hold-up: a proxy must tolerate that it is stopped for this time.
const HOLD_UP_DURATION: Duration = Duration::from_millis(150);
/// The least time between two hold-ups of a proxy. Two hold-ups without a break would count as one
/// that is longer than a proxy must tolerate.
const TIME_BETWEEN_HOLD_UPS: Duration = Duration::from_millis(60);
/// The time that requests in flight have to end after the end of the load.
const WIND_DOWN_TIME: Duration = Duration::from_secs(3);
/// The number of connections of a crowd, which is more than the descriptors of a proxy allow.
const CROWD_CONNECTIONS: usize = 220;
/// The deduplication window in the default configuration, which the soak replaces by
/// [`DEDUPLICATION_WINDOW`].
const DEFAULT_WINDOW: &str = r#""RepeatWindow":5000.0"#;

/// Plays all seeds and prints their verdicts. Returns whether no rule was violated.
pub(crate) fn run(options: &Options) -> Result<bool, ExperimentError> {
    if options.first > options.last {
        return Err(ExperimentError::EmptySeedRange { first: options.first, last: options.last });
    }
    match &options.program {
        Some(program) => set_program(program.clone(), &[]),
        None => set_program(std::env::current_exe().map_err(ExperimentError::CurrentExe)?, &["proxy"]),
    }
    let logs = RequestLogs::enable().map_err(ExperimentError::SoakSetup)?;
    let mut passed = true;
    for seed in options.first..=options.last {
        let plan = Plan::from_seed(seed, Duration::from_secs(options.seconds), options.faults);
        logs.clear();
        let verdict = play(&plan, &logs)?;
        print_verdict(&plan, &verdict, options);
        passed &= verdict.violations.is_empty();
    }
    Ok(passed)
}

fn print_verdict(plan: &Plan, verdict: &Verdict, options: &Options) {
    let violations = verdict.violations.len();
    let (requests, served, late) = (verdict.requests, verdict.served, verdict.late_after_short_timeouts);
    println!(
        "seed {:3}: {}: {requests} requests, {served} served, {late} late responses after short timeouts ({} without a stop of the proxy), \
         {violations} violations; backends read up to {} ms late",
        plan.seed,
        plan.summary,
        verdict.unexplained_late.len(),
        verdict.longest_read_delay.as_millis()
    );
    for (rule, count) in count_by_rule(&verdict.violations) {
        println!("  {rule:?}: {count}");
    }
    for Violation { rule, request, timeline } in verdict.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        println!("  violation of {rule:?} by request {request}\n{timeline}");
    }
    for LateResponse { request, timeline } in verdict.unexplained_late.iter().take(options.show_late) {
        println!("  late response to request {request}\n{timeline}");
    }
    if violations > 0 {
        let (seed, seconds) = (plan.seed, options.seconds);
        let faults =
            options.faults.to_possible_value().map_or(String::new(), |mix| mix.get_name().to_owned());
        println!(
            "  to reproduce: pinetrail-experiments soak --first {seed} --last {seed} --seconds {seconds} --faults {faults}"
        );
    }
}

fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_default() += 1;
    }
    counts
}

/// The proxies of a run, and the backends and the discovery service that they call.
struct TestBed {
    proxies: Vec<ProxyFixture>,
    backends: Vec<Backend>,
    discovery: StaticDiscovery,
    record: Arc<Record>,
    generation: u64,
}

fn play(plan: &Plan, logs: &RequestLogs) -> Result<Verdict, ExperimentError> {
    let record = Arc::<Record>::default();
    let mut test_bed = TestBed::new(plan, &record)?;
    let began = Instant::now();
    let stop_at = began + plan.duration;
    let delay_monitor = {
        let record = Arc::clone(&record);
        thread::spawn(move || record.measure_own_delays(stop_at + WIND_DOWN_TIME))
    };
    let clients = test_bed.start_clients(plan, stop_at);
    for (at, fault) in &plan.faults {
        thread::sleep((began + *at).saturating_duration_since(Instant::now()));
        test_bed.inject(*fault);
    }
    for client in clients {
        // A client that panicked has printed the reason.
        let _ = client.join();
    }
    thread::sleep(WIND_DOWN_TIME.saturating_sub(stop_at.elapsed()));
    let _ = delay_monitor.join();
    Ok(judge::judge(&record, logs, began, Instant::now()))
}

fn endpoint_entry(backend: &Backend, number: usize, lifecycle: &str) -> String {
    let (name, kind) =
        if number == ORIGIN { ("o".to_owned(), "origin") } else { (format!("s-{number}"), "c6") };
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{}","zone":"a","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
        backend.address
    )
}

impl TestBed {
    fn new(plan: &Plan, record: &Arc<Record>) -> Result<TestBed, ExperimentError> {
        let kind = |number| if number == ORIGIN { Kind::Origin } else { Kind::Node };
        let backends =
            (0..=NODES).map(|number| Backend::start(kind(number), number, plan.seed, record, plan.mix));
        let backends: Vec<Backend> =
            backends.collect::<Result<_, _>>().map_err(ExperimentError::SoakSetup)?;
        let entries: Vec<String> = backends
            .iter()
            .enumerate()
            .map(|(number, backend)| endpoint_entry(backend, number, "ready"))
            .collect();
        let window = format!(r#""RepeatWindow":{}.0"#, DEDUPLICATION_WINDOW.as_millis());
        let changes = [(DEFAULT_WINDOW, window.as_str())];
        let proxies: Vec<ProxyFixture> =
            (0..plan.proxies).map(|_| ProxyFixture::with_config_changes(&entries, &changes)).collect();
        let discovery = StaticDiscovery::new(endpoint_list_json(2, true, &entries));
        for proxy in &proxies {
            proxy.reload(&proxy.discovery.address.to_string(), &discovery.address.to_string());
        }
        Ok(TestBed { proxies, backends, discovery, record: Arc::clone(record), generation: 2 })
    }

    fn start_clients(&self, plan: &Plan, stop_at: Instant) -> Vec<thread::JoinHandle<()>> {
        let mut threads = Vec::new();
        for (proxy, fixture) in self.proxies.iter().enumerate() {
            for number in 0..CLIENTS_PER_PROXY {
                let client = Client {
                    proxy,
                    address: fixture.client_address,
                    number,
                    seed: plan.seed ^ ((proxy as u64) << 48),
                    stop_at,
                    mix: plan.mix,
                    record: Arc::clone(&self.record),
                };
                threads.push(thread::spawn(move || client.run()));
            }
        }
        threads
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::HoldUp(proxy) => self.hold_up(proxy),
            Fault::Reload(proxy) => {
                let fixture = &self.proxies[proxy];
                fixture.reload(r#""Aim":400.0"#, r#""Aim":401.0"#);
                fixture.reload(r#""Aim":401.0"#, r#""Aim":"#);
                fixture.reload(r#""Aim":,"#, r#""Aim":400.0,"#);
            }
            Fault::Restart(proxy) => self.restart(proxy),
            Fault::Kill(proxy) => self.kill(proxy),
            Fault::SignalSeries(proxy) => self.end_by_signals(proxy),
            Fault::Upgrade(proxy) => self.upgrade(proxy),
            Fault::Drain(node) => self.publish(node, "draining", Change::Draining(node)),
            Fault::Undrain(node) => self.publish(node, "ready", Change::Ready(node)),
            Fault::DiscoveryDown => {
                self.record.add_change(Change::DiscoveryDown);
                self.discovery.set_down(true);
            }
            Fault::DiscoveryUp => {
                self.discovery.set_down(false);
                self.record.add_change(Change::DiscoveryUp);
            }
            Fault::Crowd(proxy) => self.crowd(proxy),
        }
    }

    /// Sends SIGTERM, further signals, and SIGKILL at the earliest time that the platform allows.
    /// Starts the proxy again.
    fn restart(&mut self, proxy: usize) {
        self.record.add_change(Change::Terminated(proxy));
        let terminated = Instant::now();
        let fixture = &self.proxies[proxy];
        for signal in ["TERM", "TERM", "HUP"] {
            fixture.signal(signal);
            thread::sleep(SIGNAL_INTERVAL);
        }
        thread::sleep(TERM_TO_KILL.saturating_sub(HOLD_UP_DURATION).saturating_sub(terminated.elapsed()));
        // The proxy is stopped from here until SIGKILL, so it must have written its last responses.
        let began = Instant::now();
        fixture.signal("STOP");
        thread::sleep(TERM_TO_KILL.saturating_sub(terminated.elapsed()));
        self.record.add_stop(Stop { proxy, began, ended: Instant::now() });
        self.kill(proxy);
    }

    /// Stops a proxy for [`HOLD_UP_DURATION`], at least [`TIME_BETWEEN_HOLD_UPS`] after it was last
    /// stopped.
    fn hold_up(&self, proxy: usize) {
        if let Some(last) = self.record.stops().iter().rfind(|stop| stop.proxy == proxy) {
            thread::sleep(TIME_BETWEEN_HOLD_UPS.saturating_sub(last.ended.elapsed()));
        }
        let began = Instant::now();
        self.proxies[proxy].signal("STOP");
        thread::sleep(HOLD_UP_DURATION);
        self.proxies[proxy].signal("CONT");
        self.record.add_stop(Stop { proxy, began, ended: Instant::now() });
    }

    /// Sends a series of signals, with SIGTERM while a reload is under way, and starts the proxy
    /// again. The process has [`TERM_TO_KILL`] to end on its own before it is killed.
    fn end_by_signals(&mut self, proxy: usize) {
        let fixture = &self.proxies[proxy];
        for signal in ["HUP", "USR1", "HUP"] {
            fixture.signal(signal);
            thread::sleep(SIGNAL_INTERVAL);
        }
        fixture.signal("HUP");
        self.record.add_change(Change::Terminated(proxy));
        fixture.signal("TERM");
        if !self.proxies[proxy].exits_within(TERM_TO_KILL) {
            self.kill(proxy);
            return;
        }
        self.record.add_change(Change::Exited(proxy));
        self.proxies[proxy].start_again();
        self.record.add_change(Change::Started(proxy));
    }

    fn kill(&mut self, proxy: usize) {
        self.record.add_change(Change::Killed(proxy));
        self.proxies[proxy].kill();
        self.record.add_change(Change::Ended(proxy));
        self.proxies[proxy].start_again();
        self.record.add_change(Change::Started(proxy));
    }

    fn publish(&mut self, node: usize, lifecycle: &str, change: Change) {
        self.generation += 1;
        let state = |number| if number == node { lifecycle } else { "ready" };
        let entries: Vec<String> =
            (0..).zip(&self.backends).map(|(n, b)| endpoint_entry(b, n, state(n))).collect();
        self.record.add_change(change);
        self.discovery.publish(endpoint_list_json(self.generation, true, &entries));
    }

    /// Connects a crowd of idle clients, which use up the descriptors of a proxy for
    /// [`CROWD_DURATION`].
    fn crowd(&self, proxy: usize) {
        self.record.add_change(Change::Crowd(proxy));
        let address = self.proxies[proxy].client_address;
        thread::spawn(move || {
            let crowd: Vec<TcpStream> =
                (0..CROWD_CONNECTIONS).map_while(|_| TcpStream::connect(address).ok()).collect();
            thread::sleep(CROWD_DURATION);
            drop(crowd);
        });
    }
}
