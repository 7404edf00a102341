//! Parses a client's command and its labels into a [`ClientRequest`]: [`parse_request`].

use crate::net::dispatcher::{ClientPresence, ClientRequest, Dispatcher};
use crate::time::TimeSpan;
use pinetrail_codec::memcache::{Labels, RequestCommand};
use std::collections::HashSet;
use std::sync::Arc;
use thiserror::Error;

/// The longest budget of a request. A longer deadline of a client is reduced to it.
const MAX_BUDGET: TimeSpan = TimeSpan::from_ms(60_000.0);

// The labels of the clients' protocol.
const CLASS_LABEL: &str = "c";
const IDEMPOTENCY_KEY_LABEL: &str = "k";
const TENANT_LABEL: &str = "t";
/// The label of the client's deadline, in ms.
const DEADLINE_LABEL: &str = "d";
/// The label of the expected work, in microseconds.
const HINT_LABEL: &str = "h";
const REPEAT_LABEL: &str = "r";
/// The value of [`REPEAT_LABEL`] that marks a repeat.
const REPEAT_VALUE: &str = "1";
const US_PER_MS: f64 = 1000.0;

/// The reason why a request is malformed. Clients receive the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// A label occurs twice, so its value is ambiguous.
    #[error("a name given twice")]
    DuplicateLabel,
    /// The settings have no such class, or none is named.
    #[error("unknown class")]
    UnknownClass,
    /// A keyed write has no key, so a backend could not distinguish a repeat from a second write.
    #[error("no key for a keyed write")]
    MissingKey,
    /// The settings have no such tenant.
    #[error("unknown tenant")]
    UnknownTenant,
    /// The deadline is missing, or is not a number of ms.
    #[error("no deadline")]
    NoDeadline,
    /// The hint is not a number of microseconds.
    #[error("bad hint")]
    BadHint,
    /// The id is that of another open request, so the two responses would be indistinguishable.
    #[error("the id is in use")]
    IdInUse,
}

/// Parses a client's command and its labels by the names of the active settings. Decides whether
/// the command is a valid request, and the request's class, tenant, budget in ms and hint.
///
/// Inputs: the labels of the command (deadline in ms, hint in microseconds), and the names of the
/// active settings.
/// Reason: a malformed request is rejected before it uses any capacity.
///
/// # Errors
///
/// Returns an error if the command is malformed; the error says why.
pub(super) fn parse_request(
    dispatcher: &Dispatcher,
    client: Arc<dyn ClientPresence>,
    command: RequestCommand,
) -> Result<ClientRequest, RequestError> {
    let labels = &command.labels;
    if has_repeated_name(labels) {
        return Err(RequestError::DuplicateLabel);
    }
    let names = dispatcher.names();
    let class =
        labels.get(CLASS_LABEL).and_then(|name| names.class(name)).ok_or(RequestError::UnknownClass)?;
    let has_no_key = labels.get(IDEMPOTENCY_KEY_LABEL).is_none_or(str::is_empty);
    if command.value.is_some() && names.is_keyed(class) && has_no_key {
        return Err(RequestError::MissingKey);
    }
    let tenant = match labels.get(TENANT_LABEL) {
        Some(name) => names.tenant(name).ok_or(RequestError::UnknownTenant)?,
        None => 0,
    };
    let deadline_ms = labels.get(DEADLINE_LABEL).and_then(parse_number).ok_or(RequestError::NoDeadline)?;
    let hint = match labels.get(HINT_LABEL) {
        Some(text) => {
            let hint_us = parse_number(text).ok_or(RequestError::BadHint)?;
            Some(TimeSpan::from_ms(hint_us / US_PER_MS))
        }
        None => None,
    };
    let repeat = labels.get(REPEAT_LABEL) == Some(REPEAT_VALUE);
    Ok(ClientRequest {
        client,
        opaque: command.opaque,
        key: command.key,
        class,
        tenant,
        version: names.version,
        // A timer lasts as long as its request's budget, so without a limit timers would
        // accumulate.
        budget: TimeSpan::from_ms(deadline_ms).min(MAX_BUDGET),
        hint,
        repeat,
        labels: command.labels,
        value: command.value,
        delivery: Arc::default(),
        lost_at: None,
    })
}

fn has_repeated_name(labels: &Labels) -> bool {
    let mut names = HashSet::new();
    labels.iter().any(|(name, _)| !names.insert(name))
}

/// Parses a decimal number without sign or exponent.
fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = text.parse().ok()?;
    (is_plain && number.is_finite() && number >= 0.0).then_some(number)
}
