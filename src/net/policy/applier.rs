//! [`ProxyPolicyApplier`]: validates versions of the policy and makes them active at this proxy.

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

/// The channel of drift messages on the connections of policy consensus, a part of the message
/// format.
pub(super) const DRIFT_CHANNEL: u8 = 1;

/// A handler of drift messages from other processes.
pub(super) type DriftMessageHandler = Box<dyn Fn(&Process, &[u8]) + Send + Sync>;

/// Applies policies to the dispatcher and the backends of this proxy.
pub(super) struct ProxyPolicyApplier {
    dispatcher: Arc<Dispatcher>,
    backends: Arc<BackendService>,
    /// The settings in the file of this process. Policies take only the local keys from them.
    local_settings: Value,
    /// The longest duration of an attempt (`fleet.call_ms`), in ms; `None` if the fleet has no
    /// quota.
    call_limit_ms: Option<u64>,
    /// The active policy. Its lock is not held while the dispatcher or the backends are called.
    active: Mutex<ActivePolicy>,
    drift_handler: OnceLock<DriftMessageHandler>,
}

#[derive(Default)]
struct ActivePolicy {
    /// The text of the policy; `None` before a policy is active.
    text: Option<String>,
    /// The longest client timeout of the policy's classes; `None` before a policy is active.
    longest_client_timeout: Option<TimeSpan>,
}

impl ProxyPolicyApplier {
    /// Creates an applier without an active policy. `local_settings` are the settings in the file
    /// of this process, and `call_limit_ms` is `fleet.call_ms` if the fleet has a quota.
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

    /// Checks whether the settings in the file have only known keys, so that they can be the
    /// initial policy of a fleet.
    pub(super) fn check_initial_policy(&self) -> Result<(), PolicyTextError> {
        check_keys(&self.local_settings)
    }

    /// Returns whether these settings, apart from local keys, are those of the active policy.
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

    /// Returns the digests of the settings that the dispatcher and the backends use now.
    pub(super) fn active_digests(&self) -> PartDigests {
        let connect_timeout = self.backends.connect_timeout();
        self.dispatcher
            .with_active_settings(|settings, names| digest::part_digests(settings, names, connect_timeout))
    }

    /// Returns the digests that the active settings would have with this version applied; `None` if
    /// the version is invalid at this process.
    pub(super) fn approved_digests(&self, version: u64, text: &str) -> Option<ApprovedPolicy> {
        let policy = serde_json::from_str(text).ok()?;
        let settings = text::with_local_keys(&policy, &self.local_settings);
        let parsed = ParsedSettings::parse(&settings).ok()?;
        let part_digests = digest::part_digests(&parsed.settings, &parsed.names, parsed.connect_timeout);
        Some(ApprovedPolicy { version, part_digests })
    }

    /// Decides whether a policy is valid at this process after the active one, and returns its
    /// settings.
    ///
    /// Inputs: the text of the policy, the local settings, the active policy, and the longest
    /// duration of an attempt, in ms.
    /// Reason: a version becomes active at all processes or at none, so each process has to accept
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

    /// Decides whether settings are rejected because a client timeout exceeds the longest duration
    /// of an attempt, so that attempts could outlive their leases.
    ///
    /// Inputs: the settings, and that duration in ms.
    /// Reason: leased quota is granted again when that duration has passed after the end of its
    /// lease. A longer attempt would use quota that another process already holds.
    fn check_call_limit(&self, settings: &Settings) -> Result<(), PolicyTextError> {
        let client_timeout = settings.longest_client_timeout();
        match self.call_limit_ms {
            Some(call_limit_ms) if TimeSpan::from_ms(call_limit_ms as f64) < client_timeout => {
                Err(PolicyTextError::ClientTimeoutOverCallLimit { client_timeout, call_limit_ms })
            }
            _ => Ok(()),
        }
    }

    /// Returns the active policy as JSON; `None` before a policy is active.
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
            // The version was validated before, so this is a fault of the program.
            Err(error) => {
                log(&format!(
                    "ERROR: policy: version {version} cannot be applied: {error}; settings unchanged"
                ));
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
