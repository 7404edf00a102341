//! The program from start to exit, as the named phases of one object.

mod budget;
mod host;
mod state;

use super::admin::AdminServer;
use super::backend::BackendService;
use super::client::ClientService;
use super::config::Config;
use super::config::PolicyConfig;
use super::counters::Counters;
use super::descriptors::{self, Descriptors};
use super::discovery::{Discovery, Target};
use super::dispatcher::Dispatcher;
use super::drain::{Drain, SendAway};
use super::fleet::{self, Fleet};
use super::hot_restart::{self, Handover, Host, HotRestart, PeerProcess, Share};
use super::listener;
use super::log::{log, print};
use super::memory::Memory;
use super::policy::Policy;
use crate::interface;
use crate::settings::Settings;
use budget::Budget;
use may::coroutine::sleep;
use may::sync::mpsc::channel;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
pub use state::Phase;
use state::Stand;
use std::error::Error;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Words, not bytes: 128 KiB a coroutine, of which only what is touched counts.
const STACK_WORDS: usize = 16 * 1024;
/// Coroutines kept ready: invocations' timers come and go in hundreds.
const READY_COROUTINES: usize = 512;
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// At the end of a drain answers that nobody waited for longer have so long to go out.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// Descriptors that are neither a consumer's nor a provider's: files, pollers, discovery, the listener.
const OWN_SOCKETS: usize = 24;

/// Where the settings say this of discovery, lists come without being asked for.
const PUSHED: &str = "push";

/// The program stops: it cannot be put in or out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping;

/// The program's phase and what it stands on.
pub struct Lifecycle {
    stand: Mutex<Stand>,
    counters: Arc<Counters>,
    sides: OnceLock<Sides>,
    takeover: Arc<HotRestart>,
    /// Only if one is configured.
    fleet: OnceLock<Arc<Fleet>>,
    /// Only if one is configured.
    policy: OnceLock<Arc<Policy>>,
}

/// The sides of a running proxy, as far as signals, operators and the other process reach them.
struct Sides {
    exchange: Arc<Dispatcher>,
    consumers: Arc<ClientService>,
    providers: Arc<BackendService>,
    discovery: Arc<Target>,
    budget: Budget,
}

/// Runs the program from start to exit.
pub fn run() -> ExitCode {
    let lifecycle = Arc::new(Lifecycle {
        stand: Mutex::default(),
        counters: Arc::default(),
        sides: OnceLock::new(),
        takeover: HotRestart::new(),
        fleet: OnceLock::new(),
        policy: OnceLock::new(),
    });
    match lifecycle.go() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(&format!("cannot start: {error}"));
            ExitCode::from(2)
        }
    }
}

impl Lifecycle {
    /// Whether this process takes clients, be it to send them on.
    pub fn is_ready(&self) -> bool {
        self.stand().serves() && self.sides.get().is_none_or(|sides| !sides.exchange.is_fenced())
    }

    /// Why this process does not take clients.
    pub fn why_not_ready(&self) -> String {
        let serves = self.stand().serves();
        match self.policy().filter(|_| !self.is_ready()) {
            Some(policy) if serves => format!("not ready: fenced: {}", policy.why_not()),
            Some(policy) => format!("not ready: it catches up: {}", policy.why_not()),
            None => "not ready: starting or stopping".to_owned(),
        }
    }

    /// Puts the proxy in service or out of it; to do so twice changes nothing.
    pub fn serve(&self, in_service: bool) -> Result<(), Stopping> {
        self.change(|stand| {
            stand.away = !in_service;
            stand.serves().then_some(()).ok_or(Stopping)
        })?;
        if let Some(sides) = self.sides.get() {
            if in_service {
                sides.consumers.welcome()
            } else {
                sides.consumers.send_away(SendAway::OUT_OF_SERVICE)
            }
        }
        Ok(())
    }

    /// All that the other process of this proxy is told.
    pub fn takeover(&self) -> &HotRestart {
        &self.takeover
    }

    /// This process's part in its fleet, if it belongs to one.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.get()
    }

    /// This process's part in the fleet's common policy, if there is one.
    pub fn policy(&self) -> Option<&Arc<Policy>> {
        self.policy.get()
    }

    /// Changes what the phase follows from.
    fn change<T>(&self, change: impl FnOnce(&mut Stand) -> T) -> T {
        let mut stand = self.stand();
        let done = change(&mut stand);
        stand.settle();
        done
    }

    fn stand(&self) -> MutexGuard<'_, Stand> {
        self.stand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, phase: Phase) {
        self.stand().enter(phase);
    }

    fn go(self: &Arc<Self>) -> Result<(), Box<dyn Error>> {
        // Before anything listens: a signal is never answered by death.
        let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT, SIGUSR1])?;
        let mut config = Config::from_env()?;
        let given = hot_restart::ask(config.listen)?;
        let Some(sides) = self.start(&config, given, &mut signals)? else {
            log("asked to stop before it was ready");
            self.fleet().into_iter().for_each(|fleet| fleet.leave());
            return Ok(());
        };
        log(&format!("{} listens on {}", config.name, sides.consumers.address()));
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => print(&self.counters.line()),
                SIGHUP => self.reload(&mut config, sides),
                _ => break,
            }
        }
        self.enter(Phase::Draining);
        self.fleet().into_iter().for_each(|fleet| fleet.begin_to_leave());
        let governed = self.policy().and_then(|policy| policy.longest_wait());
        let longest = longest_wait(governed.unwrap_or_else(|| longest_give_up(&config.settings)));
        drain(sides, Drain::for_wait(longest), self.takeover.leave());
        self.takeover.end();
        self.fleet().into_iter().for_each(|fleet| fleet.leave());
        self.enter(Phase::Stopped);
        print(&self.counters.line());
        Ok(())
    }

    /// Reads the configuration again: settings and discovery are put in force at once. A bad file changes
    /// nothing: a slip in it must not end a proxy that serves.
    fn reload(&self, config: &mut Config, sides: &Sides) {
        self.change(|stand| stand.reloading = true);
        match config.reload() {
            Ok(newer) => {
                self.counters.reloads.add();
                let classes = newer.names.classes().join(", ");
                match self.policy().filter(|policy| !policy.lets_in_local_settings()) {
                    Some(policy) if policy.is_in_force(newer.settings_json()) => {
                        log("reload: the settings are those of the fleet's policy in force");
                    }
                    Some(_) => log(
                        "reload: the settings are not put in force: the fleet has one policy; propose them by POST /control/policy",
                    ),
                    None => {
                        log(&format!("reload: new settings are in force, with the classes {classes}"));
                        sides.exchange.apply_settings(newer.settings.clone(), newer.names.clone());
                        sides.providers.retune(newer.connect_timeout, conn_idle(&newer.settings));
                    }
                }
                if newer.discovery != config.discovery {
                    log(&format!("reload: discovery moves from {} to {}", config.discovery, newer.discovery));
                    sides.discovery.move_to(newer.discovery);
                }
                if let (Some(fleet), Some(new)) = (self.fleet(), &newer.fleet) {
                    if let Err(error) = fleet.set_peers(new.settings.peers.clone()) {
                        log(&format!("reload: the fleet's peers stay: {error}"));
                    }
                }
                let waiting = config.changes_at_restart(&newer);
                if !waiting.is_empty() {
                    log(&format!("reload: only the next start heeds the new {}", waiting.join(", ")));
                }
                config.adopt(newer);
            }
            Err(error) => {
                self.counters.reloads_failed.add();
                log(&format!("reload: the old configuration stays: {error}"));
            }
        }
        self.change(|stand| stand.reloading = false);
    }

    /// Starts all sides; none if the process was asked to stop before it was ready.
    fn start(
        self: &Arc<Self>,
        config: &Config,
        given: Option<Handover>,
        signals: &mut Signals,
    ) -> Result<Option<&Sides>, Box<dyn Error>> {
        // One core: a second worker could only wait. Unpinned, since the core is the platform's choice.
        may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(READY_COROUTINES);
        may::config().set_worker_pin(false);
        let door = match config.admin {
            Some(address) => {
                Some(AdminServer::open(address).map_err(|error| format!("door at {address}: {error}"))?)
            }
            None => None,
        };
        let own = OWN_SOCKETS
            + door.as_ref().map_or(0, |_| descriptors::ADMIN_DESCRIPTORS)
            + config.fleet.as_ref().map_or(0, |_| descriptors::FLEET_DESCRIPTORS)
            + config.policy().map_or(0, PolicyConfig::descriptors);
        let alone = config.limits.sockets - own;
        let descriptors = Descriptors::new(alone);
        let ((orders, ordered), (subscribe, subscriptions)) = (channel(), channel());
        let counters = &self.counters;
        let exchange = Dispatcher::new(
            config.settings.clone(),
            config.seed,
            config.names.clone(),
            Arc::clone(counters),
            orders,
            subscribe.clone(),
        );
        let memory = Memory::with_limit_mb(config.limits.memory_mb);
        let all = Share { sockets: alone, memory: Memory::value_bytes(config.limits.memory_mb) };
        let both = Share { sockets: alone.saturating_sub(own), ..all };
        let (memory_of, descriptors_of) = (Arc::clone(&memory), Arc::clone(&descriptors));
        let budget = Budget { both, alone: all, descriptors: descriptors_of, memory: memory_of };
        let mut known = config.known.clone();
        if let Some(given) = &given {
            self.change(|stand| (stand.is_newcomer, stand.partner) = (true, PeerProcess::Serving));
            budget.allow(Some(given.share));
            exchange.restore_snapshot(given.nodes.clone());
            // What the older process heard last is newer than what the file knows.
            if !given.nodes.listed.is_empty() {
                known.instances.clone_from(&given.nodes.listed);
            }
        }
        let providers = BackendService::start(
            Arc::clone(&exchange),
            Arc::clone(counters),
            ordered,
            Arc::clone(&descriptors),
            config.connect_timeout,
            conn_idle(&config.settings),
        );
        let discovery = Discovery::start(
            Arc::clone(&exchange),
            Arc::clone(counters),
            (config.discovery, config.settings.discovery == PUSHED),
            known,
            config.seed,
            (subscribe, subscriptions),
        );
        if let Some(told) = &config.fleet {
            let sharer = Arc::clone(&exchange);
            let tell = Box::new(move |told: fleet::Share| {
                let (part, base, whole) = (told.part, told.base, told.whole);
                sharer.apply_quota(interface::Share { part, base, whole, until: 0.0 }, told.ends);
            });
            let fleet =
                self.fleet.get_or_init(|| Fleet::new(told.clone(), config.seed, given.is_some(), tell));
            let (counted, policy) = (Arc::clone(fleet), Arc::clone(self));
            self.counters.external.set_source(move || {
                let policy = policy.policy().map_or(Vec::new(), |policy| policy.list());
                counted.list().into_iter().chain(policy).collect()
            });
            if given.is_none() {
                fleet.activate()?;
            }
        }
        if let (Some(told), Some(fleet)) = (config.policy(), self.fleet()) {
            let links = given.as_ref().map_or(Vec::new(), |given| given.nodes.peers.clone());
            let sides = (&exchange, &providers);
            let policy =
                Policy::start(told.clone(), fleet, sides, config.settings_json(), links, config.seed)
                    .map_err(|error| format!("policy: {error}"))?;
            let policy = self.policy.get_or_init(|| policy);
            // Operators are answered while it catches up.
            if let Some(door) = &door {
                log(&format!("operators call {}", door.address()?));
                Arc::clone(door).serve(Arc::clone(&exchange), Arc::clone(self));
            }
            let mut is_asked_to_stop = || signals.pending().any(|signal| [SIGTERM, SIGINT].contains(&signal));
            if !policy.catch_up(&mut is_asked_to_stop) {
                return Ok(None);
            }
        }
        let socket = match &given {
            Some(given) => given.socket.try_clone()?,
            None => listener::open(config.listen)
                .map_err(|error| format!("listen on {}: {error}", config.listen))?,
        };
        let consumers =
            ClientService::start(Arc::clone(&exchange), Arc::clone(counters), memory, descriptors, socket)?;
        let address = consumers.address();
        let sides = self.sides.get_or_init(|| Sides { exchange, consumers, providers, discovery, budget });
        if let Some(door) = door.filter(|_| self.policy().is_none()) {
            log(&format!("operators call {}", door.address()?));
            door.serve(Arc::clone(&sides.exchange), Arc::clone(self));
        }
        let host: Arc<dyn Host> = Arc::clone(self) as Arc<dyn Host>;
        let is_newcomer = given.is_some();
        if let Some(given) = given {
            self.takeover.join(given, Arc::clone(&host))?;
        }
        // The older process has the socket until it has heard that this one serves.
        self.fleet().filter(|_| is_newcomer).into_iter().for_each(super::fleet::Fleet::activate_when_free);
        self.change(|stand| stand.enter(Phase::Serving));
        self.takeover.listen(address, host);
        Ok(Some(sides))
    }
}

/// When providers close idle connections.
fn conn_idle(settings: &Settings) -> Duration {
    Duration::from_secs_f64(settings.limits.conn_idle.clamp(1000.0, 86_400_000.0) / 1000.0)
}

fn longest_give_up(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.give_up).fold(0.0, f64::max)
}

/// How long a client waits at the most, over all classes; none where that is not told.
fn longest_wait(longest: f64) -> Option<Duration> {
    (longest > 0.0).then(|| Duration::from_secs_f64(longest.min(60_000.0) / 1000.0))
}

/// Serves on while new connections may come, unless another process accepts them; then those that are held, then
/// until everything taken is answered.
fn drain(sides: &Sides, drain: Drain, other_accepts: bool) {
    let begun = Instant::now();
    let until = |time: Duration| sleep(time.saturating_sub(begun.elapsed()));
    let held = || sides.exchange.pending_count() + sides.consumers.open();
    // Danger: clients are short of connections until the last may come. Who is idle gives way to them till then.
    if other_accepts {
        sides.consumers.send_away(SendAway::for_drain(&drain))
    } else {
        until(drain.accepts)
    }
    sides.consumers.stop_listening(other_accepts);
    sides.consumers.keep_all();
    while begun.elapsed() < drain.serves && held() > 0 {
        sleep(LOOK_EVERY);
    }
    sides.consumers.close_when_idle();
    while held() > 0 && begun.elapsed() < drain.ends {
        sleep(LOOK_EVERY);
    }
    sides.exchange.abort_all();
    // Then the answers go out; a consumer that does not read cannot hold the exit up for long.
    while held() > 0 && begun.elapsed() < drain.ends + LAST_WRITES {
        sleep(LOOK_EVERY);
    }
}
