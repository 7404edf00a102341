//! Starts, reloads, hands over and stops the process. Read [`Lifecycle`] first: it owns the phase
//! and the running services, and signals, operators and the peer process all act through it.
//!
//! Each kind of event has one module: `start` starts the services, `signals` waits on the main
//! thread, `reload` handles SIGHUP, `shutdown` handles SIGTERM, `peer` handles the other process of
//! a hot restart, `admin_control` handles operators. `state` decides the phase; its module
//! documentation has the table of phases and events.

mod admin_control;
mod budget;
mod error;
mod free_memory;
mod peer;
mod reload;
mod shutdown;
mod signals;
mod start;
mod state;

use super::admin::{AdminServer, NotReady, NotServing};
use super::backend::BackendService;
use super::client::ClientService;
use super::counters::Counters;
use super::discovery::DiscoveryTarget;
use super::dispatcher::Dispatcher;
use super::drain::DisconnectSchedule;
use super::fleet::Fleet;
use super::hot_restart::{self, HotRestart, ServiceState};
use super::log::log;
use super::policy::Policy;
use super::request_log;
use budget::ProcessBudget;
use error::StartError;
use pinetrail_config::Config;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use start::StartOutcome;
pub use state::Phase;
use state::{LifecycleEvent, LifecycleState};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// The exit code of a start that failed.
const START_FAILED_EXIT_CODE: u8 = 2;

/// The phase of the process, and the services that it runs.
pub struct Lifecycle {
    /// The phase, and the state from which it is derived.
    state: Mutex<LifecycleState>,
    counters: Arc<Counters>,
    /// The running services. Set once, when all of them run.
    services: OnceLock<RunningServices>,
    hot_restart: Arc<HotRestart>,
    /// The operators' endpoint. Set only if one is configured.
    admin: OnceLock<Arc<AdminServer>>,
    /// This process's part in its fleet. Set only if a fleet is configured.
    fleet: OnceLock<Arc<Fleet>>,
    /// This process's part in the common policy. Set only if a common policy is configured.
    policy: OnceLock<Arc<Policy>>,
}

/// The services of a running proxy, on which signals, operators and the peer process act.
struct RunningServices {
    dispatcher: Arc<Dispatcher>,
    clients: Arc<ClientService>,
    backends: Arc<BackendService>,
    discovery: Arc<DiscoveryTarget>,
    budget: ProcessBudget,
}

/// Runs the program from start to exit, and returns its exit code.
pub fn run() -> ExitCode {
    match Lifecycle::new().run_until_exit() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(&format!("cannot start: {error}"));
            ExitCode::from(START_FAILED_EXIT_CODE)
        }
    }
}

impl Lifecycle {
    fn new() -> Arc<Lifecycle> {
        Arc::new(Lifecycle {
            state: Mutex::default(),
            counters: Arc::default(),
            services: OnceLock::new(),
            hot_restart: HotRestart::new(),
            admin: OnceLock::new(),
            fleet: OnceLock::new(),
            policy: OnceLock::new(),
        })
    }

    /// Returns whether this process accepts clients, even if only to direct them to other proxies,
    /// and is not fenced.
    pub fn is_ready(&self) -> bool {
        self.accepts_clients() && !self.is_fenced()
    }

    /// Decides whether operators and load balancers see this process as ready, which requires that
    /// it accepts clients and is not fenced.
    ///
    /// Inputs: the phase, and whether the process is fenced.
    /// Reason: a process without an admission lease accepts connections, but no requests.
    ///
    /// # Errors
    ///
    /// Returns [`NotReady`] with the reason while the process does not accept clients, or is
    /// fenced.
    pub fn readiness(&self) -> Result<(), NotReady> {
        let accepts_clients = self.accepts_clients();
        if accepts_clients && !self.is_fenced() {
            return Ok(());
        }
        match self.policy() {
            Some(policy) if accepts_clients => Err(NotReady::Fenced(policy.not_ready_reason())),
            Some(policy) => Err(NotReady::CatchingUp(policy.not_ready_reason())),
            None => Err(NotReady::StartingOrStopping),
        }
    }

    /// Puts the proxy in service or out of it. Setting the same state again changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`NotServing`] while the process starts or stops.
    pub fn set_service(&self, service: ServiceState) -> Result<(), NotServing> {
        let accepts_clients = {
            let mut state = self.state();
            state.apply(LifecycleEvent::ServiceSet(service));
            state.accepts_clients()
        };
        if !accepts_clients {
            return Err(NotServing);
        }
        if let Some(services) = self.services.get() {
            match service {
                ServiceState::InService => services.clients.stop_disconnecting(),
                ServiceState::OutOfService => {
                    services.clients.start_disconnecting(DisconnectSchedule::OUT_OF_SERVICE);
                }
            }
        }
        Ok(())
    }

    /// Returns this process's side of a hot restart.
    pub fn hot_restart(&self) -> &HotRestart {
        &self.hot_restart
    }

    /// Returns this process's part in its fleet, if it belongs to one.
    pub fn fleet(&self) -> Option<&Arc<Fleet>> {
        self.fleet.get()
    }

    /// Returns this process's part in the fleet's common policy, if there is one.
    pub fn policy(&self) -> Option<&Arc<Policy>> {
        self.policy.get()
    }

    fn accepts_clients(&self) -> bool {
        self.state().accepts_clients()
    }

    /// Returns whether the fleet's common policy forbids this process to admit requests.
    fn is_fenced(&self) -> bool {
        self.services.get().is_some_and(|services| services.dispatcher.is_fenced())
    }

    fn apply(&self, event: LifecycleEvent) {
        self.state().apply(event);
    }

    fn state(&self) -> MutexGuard<'_, LifecycleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_until_exit(self: &Arc<Self>) -> Result<(), StartError> {
        // Handlers are registered before anything listens: a signal kills the process until then.
        let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT, SIGUSR1]).map_err(StartError::Signals)?;
        // Dropping this guard flushes the request log.
        let _request_log = request_log::init()?;
        let mut config = Config::from_env()?;
        let handover = hot_restart::request_handover(config.listen)?;
        let services = match self.start(&config, handover, &mut signals)? {
            StartOutcome::Running(services) => services,
            StartOutcome::StopRequested => {
                log("asked to stop before the start was complete; exiting");
                if let Some(fleet) = self.fleet() {
                    fleet.leave();
                }
                return Ok(());
            }
        };
        log(&format!("{} listens on {}", config.name, services.clients.address()));
        self.handle_signals_until_stop(&mut signals, &mut config, services);
        self.shut_down(&config.settings, services);
        Ok(())
    }
}
