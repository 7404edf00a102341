//! Puts versions of the policy in force at this proxy, and says of each proposal whether it could.

use super::{digest, text};
use crate::net::backend::BackendService;
use crate::net::config::{nearest, Rules};
use crate::net::dispatcher::Dispatcher;
use crate::net::log::log;
use pinetrail_drift::Approved;
use pinetrail_peer_transport::Process;
use pinetrail_policy_consensus::{PolicyApplier, PolicyRejected};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// This proxy, as far as policies are concerned.
pub(super) struct App {
    exchange: Arc<Dispatcher>,
    providers: Arc<BackendService>,
    /// What its own file says at the start.
    own: Value,
    /// No call may run longer than this, in ms, where the fleet shares.
    calls: Option<u64>,
    /// The text of the version in force.
    text: Mutex<Option<String>>,
    /// The longest that a class in force waits, in ms.
    longest_wait: Mutex<Option<f64>>,
    /// Who hears what other processes say of drift.
    hears: OnceLock<Hears>,
}

/// Takes what a process of the fleet says of drift.
pub(super) type Hears = Box<dyn Fn(&Process, &[u8]) + Send + Sync>;

impl App {
    /// A proxy whose file says this.
    pub(super) fn new(
        exchange: Arc<Dispatcher>,
        providers: Arc<BackendService>,
        settings: &Value,
        calls: Option<u64>,
    ) -> App {
        App {
            exchange,
            providers,
            own: settings.clone(),
            calls,
            text: Mutex::new(None),
            longest_wait: Mutex::new(None),
            hears: OnceLock::new(),
        }
    }

    /// Whether what its own file says could be a policy: it may have to be the first one.
    pub(super) fn first_is_good(&self) -> Result<(), String> {
        known_keys(&self.own).map_err(|why| format!("settings cannot be the fleet's policy: {why}"))
    }

    /// Whether these settings are those in force.
    pub(super) fn is_in_force(&self, settings: &Value) -> bool {
        self.text.lock().unwrap_or_else(PoisonError::into_inner).as_deref() == Some(&text::common(settings))
    }

    /// The longest that a class in force waits, in ms; none before any is.
    pub(super) fn longest_wait(&self) -> Option<f64> {
        *self.longest_wait.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who hears of drift from now on; the first that is told counts.
    pub(super) fn heard_by(&self, hears: Hears) {
        let _ = self.hears.set(hears);
    }

    /// Digests of what is in force, made anew from the objects that decide.
    pub(super) fn in_force(&self) -> BTreeMap<String, u64> {
        let timeout = self.providers.connect_timeout();
        self.exchange.in_force(|settings, names| digest::parts(settings, names, timeout))
    }

    /// A version as it would be in force here.
    pub(super) fn approved(&self, version: u64, text: &str) -> Option<Approved> {
        let given = text::with_own(&serde_json::from_str(text).ok()?, &self.own);
        let rules = Rules::of(&given).ok()?;
        let parts = digest::parts(&rules.settings, &rules.names, rules.connect_timeout);
        Some(Approved { version, parts })
    }

    fn rules(&self, text: &str) -> Result<Rules, String> {
        let given: Value = serde_json::from_str(text).map_err(|error| format!("settings: {error}"))?;
        if !given.is_object() {
            return Err("settings: no object".to_owned());
        }
        known_keys(&given)?;
        let given = text::with_own(&given, &self.own);
        let before = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let before = before.as_deref().and_then(|text| serde_json::from_str::<Value>(text).ok());
        let rules = match before {
            Some(before) => Rules::after(&given, &before),
            None => Rules::of(&given),
        };
        let rules = rules.map_err(|error| error.to_string())?;
        // Danger: what is leased is free a call after its end; calls that run longer would be in use by two.
        let longest = rules.settings.classes.iter().map(|class| class.give_up).fold(0.0, f64::max);
        match self.calls.filter(|calls| (*calls as f64) < longest) {
            Some(calls) => {
                Err(format!("Grades: the longest GiveUp, {longest}, is over fleet.call_ms, {calls}"))
            }
            None => Ok(rules),
        }
    }
}

fn known_keys(given: &Value) -> Result<(), String> {
    let mut keys = given.as_object().into_iter().flat_map(|given| given.keys());
    match keys.find(|key| !text::KNOWN.contains(&key.as_str())) {
        Some(unknown) => {
            let near = nearest(unknown, &text::KNOWN);
            Err(format!(
                "settings.{unknown}: this program does not know it; the nearest known one is {near:?}"
            ))
        }
        None => Ok(()),
    }
}

impl PolicyApplier for App {
    fn validate(&self, text: &str) -> Result<(), PolicyRejected> {
        self.rules(text).map(drop).map_err(PolicyRejected::new)
    }

    fn apply(&self, version: u64, text: &str) {
        match self.rules(text) {
            Ok(rules) => {
                let idle = Duration::from_secs_f64(
                    rules.settings.limits.conn_idle.clamp(1000.0, 86_400_000.0) / 1000.0,
                );
                self.providers.retune(rules.connect_timeout, idle);
                let longest = rules.settings.classes.iter().map(|class| class.give_up).fold(0.0, f64::max);
                *self.longest_wait.lock().unwrap_or_else(PoisonError::into_inner) = Some(longest);
                self.exchange.apply_policy(version, rules.settings, rules.names);
                *self.text.lock().unwrap_or_else(PoisonError::into_inner) = Some(text.to_owned());
            }
            // It was checked before.
            Err(why) => log(&format!("ERROR: policy: version {version} is not in force: {why}")),
        }
    }

    fn on_peer_message(&self, from: &Process, floor: u8, body: &[u8]) {
        if let Some(hears) = self.hears.get().filter(|_| floor == super::drift::FLOOR) {
            hears(from, body);
        }
    }

    fn log(&self, line: &str) {
        log(&format!("policy: {line}"));
    }
}
