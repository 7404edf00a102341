//! Validates versions of the policy and makes them active at this proxy: [`ProxyPolicyApplier`].

use super::digest;
use super::error::PolicyTextError;
use super::text;
use crate::net::backend::BackendService;
use crate::net::dispatcher::Dispatcher;
use crate::net::log::log;
use crate::settings::Settings;
use crate::time::TimeSpan;
use pinetrail_config::{nearest_key, ParsedSettings};
use pinetrail_drift::{ApprovedPolicy, PartDigests};
use pinetrail_peer_transport::Process;
use pinetrail_policy_consensus::{PolicyApplier, PolicyRejected};
use serde_json::Value;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

/// The channel of drift messages on the connections of policy consensus. It is part of the
/// messages' format.
pub(super) const DRIFT_CHANNEL: u8 = 1;

/// Receives the drift messages of other processes.
pub(super) type DriftMessageHandler = Box<dyn Fn(&Process, &[u8]) + Send + Sync>;

/// Applies policies to the dispatcher and the backends of this proxy.
pub(super) struct ProxyPolicyApplier {
    dispatcher: Arc<Dispatcher>,
    backends: Arc<BackendService>,
    /// The settings in this process's file; only their local keys are used.
    local_settings: Value,
    /// The longest time that a call may run, in ms, if the fleet leases quota.
    call_limit_ms: Option<u64>,
    /// Guards the active policy. It is not held while the dispatcher or the backends are called.
    active: Mutex<ActivePolicy>,
    drift_handler: OnceLock<DriftMessageHandler>,
}

#[derive(Default)]
struct ActivePolicy {
    /// Its text; `None` before a policy is active.
    text: Option<String>,
    /// The longest client timeout of its classes; `None` before a policy is active.
    longest_client_timeout: Option<TimeSpan>,
}

impl ProxyPolicyApplier {
    /// Creates an applier for a proxy whose file has these settings; no policy is active yet.
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        backends: Arc<BackendService>,
        local_settings: Value,
        call_limit_ms: Option<u64>,
    ) -> ProxyPolicyApplier {
        ProxyPolicyApplier {
            dispatcher,
            backends,
            local_settings,
            call_limit_ms,
            active: Mutex::default(),
            drift_handler: OnceLock::new(),
        }
    }

    /// Checks whether the settings in the file are valid as the first policy of a fleet.
    pub(super) fn check_initial_policy(&self) -> Result<(), PolicyTextError> {
        check_keys(&self.local_settings)
    }

    /// Whether these settings are those of the active policy.
    pub(super) fn is_active(&self, settings: &Value) -> bool {
        self.active().text.as_deref() == Some(&text::to_policy_text(settings))
    }

    /// Returns the longest client timeout of the classes of the active policy.
    pub(super) fn longest_client_timeout(&self) -> Option<TimeSpan> {
        self.active().longest_client_timeout
    }

    /// Sets the handler of drift messages; only the first call has an effect.
    pub(super) fn set_drift_handler(&self, handler: DriftMessageHandler) {
        let _ = self.drift_handler.set(handler);
    }

    /// Returns the digests of the settings that the dispatcher uses now.
    pub(super) fn active_digests(&self) -> PartDigests {
        let connect_timeout = self.backends.connect_timeout();
        self.dispatcher
            .with_active_settings(|settings, names| digest::part_digests(settings, names, connect_timeout))
    }

    /// Returns the digests that a version would have as the active one here; `None` if it is not
    /// valid here.
    pub(super) fn approved_digests(&self, version: u64, text: &str) -> Option<ApprovedPolicy> {
        let policy = serde_json::from_str(text).ok()?;
        let settings = text::with_local_keys(&policy, &self.local_settings);
        let parsed = ParsedSettings::parse(&settings).ok()?;
        let part_digests = digest::part_digests(&parsed.settings, &parsed.names, parsed.connect_timeout);
        Some(ApprovedPolicy { version, part_digests })
    }

    /// Decides: whether a policy is valid here after the active one; if so, returns its settings.
    /// Inputs: the text of the policy, the local settings, the active policy, and the longest time
    /// that a call may run, in ms.
    /// Reason: a version becomes active at all processes or at none, so that each one has to accept
    /// it before it is committed.
    fn parse_policy(&self, text: &str) -> Result<ParsedSettings, PolicyTextError> {
        let policy: Value = serde_json::from_str(text).map_err(PolicyTextError::Json)?;
        if !policy.is_object() {
            return Err(PolicyTextError::NotAnObject);
        }
        check_keys(&policy)?;
        let settings = text::with_local_keys(&policy, &self.local_settings);
        let parsed = match self.active_policy() {
            Some(active) => ParsedSettings::parse_after(&settings, &active)?,
            None => ParsedSettings::parse(&settings)?,
        };
        self.check_call_limit(&parsed.settings)?;
        Ok(parsed)
    }

    /// Decides: whether the client timeouts fit into the longest time that a call may run.
    /// Inputs: the settings, and that time in ms.
    /// Reason: leased quota is free again one call after the end of its lease. A longer call would
    /// use it while another process already holds it.
    fn check_call_limit(&self, settings: &Settings) -> Result<(), PolicyTextError> {
        let client_timeout = settings.longest_client_timeout();
        match self.call_limit_ms {
            Some(call_limit_ms) if TimeSpan::from_ms(call_limit_ms as f64) < client_timeout => {
                Err(PolicyTextError::ClientTimeoutOverCallLimit { client_timeout, call_limit_ms })
            }
            _ => Ok(()),
        }
    }

    /// Returns the active policy, if there is one.
    fn active_policy(&self) -> Option<Value> {
        serde_json::from_str(self.active().text.as_deref()?).ok()
    }

    fn active(&self) -> MutexGuard<'_, ActivePolicy> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn check_keys(settings: &Value) -> Result<(), PolicyTextError> {
    let mut keys = settings.as_object().into_iter().flat_map(|settings| settings.keys());
    match keys.find(|key| !text::SETTINGS_KEYS.contains(&key.as_str())) {
        Some(unknown) => Err(PolicyTextError::UnknownKey {
            key: unknown.clone(),
            nearest: nearest_key(unknown, &text::SETTINGS_KEYS),
        }),
        None => Ok(()),
    }
}

impl PolicyApplier for ProxyPolicyApplier {
    fn validate(&self, text: &str) -> Result<(), PolicyRejected> {
        match self.parse_policy(text) {
            Ok(_) => Ok(()),
            Err(error) => Err(PolicyRejected::new(error.to_string())),
        }
    }

    fn apply(&self, version: u64, text: &str) {
        let parsed = match self.parse_policy(text) {
            Ok(parsed) => parsed,
            // It was validated before, so that this is a fault of the program.
            Err(error) => {
                log(&format!("ERROR: policy: version {version} cannot be applied: {error}"));
                return;
            }
        };
        self.backends.set_timeouts(parsed.connect_timeout, parsed.settings.idle_connection_timeout());
        self.active().longest_client_timeout = Some(parsed.settings.longest_client_timeout());
        self.dispatcher.apply_policy(version, parsed.settings, parsed.names);
        self.active().text = Some(text.to_owned());
    }

    fn on_peer_message(&self, from: &Process, channel: u8, body: &[u8]) {
        if channel != DRIFT_CHANNEL {
            return;
        }
        if let Some(handler) = self.drift_handler.get() {
            handler(from, body);
        }
    }

    fn log(&self, line: &str) {
        log(&format!("policy: {line}"));
    }
}
