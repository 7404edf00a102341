//! Handles the signals of a running process on the main thread: SIGUSR1 prints the counters, SIGHUP
//! reloads the configuration, SIGTERM and SIGINT end the wait.

use super::{Lifecycle, RunningServices};
use crate::net::log::{log, print};
use pinetrail_config::Config;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::collections::BTreeSet;
use std::ffi::c_int;

impl Lifecycle {
    /// Handles signals in the order of their arrival, until one asks the process to stop.
    pub(super) fn handle_signals_until_stop(
        &self,
        signals: &mut Signals,
        config: &mut Config,
        services: &RunningServices,
    ) {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => print(&self.counters.line()),
                SIGHUP => self.reload(config, services),
                _ => return,
            }
        }
    }
}

/// The signals that arrived while the process was starting and could not handle them yet.
#[derive(Debug, Default)]
pub(super) struct DeferredSignals(BTreeSet<c_int>);

impl DeferredSignals {
    /// Collects the pending signals without blocking. Returns whether any signal collected so far
    /// asks the process to stop.
    pub(super) fn collect(&mut self, signals: &mut Signals) -> bool {
        self.0.extend(signals.pending());
        self.0.contains(&SIGTERM) || self.0.contains(&SIGINT)
    }

    /// Raises the collected signals again, once this process can handle them.
    pub(super) fn reraise(self) {
        for signal in self.0 {
            if let Err(error) = signal_hook::low_level::raise(signal) {
                log(&format!("signal {signal}, received during the start, is lost: raise failed: {error}"));
            }
        }
    }
}
