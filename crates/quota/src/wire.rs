//! The encoding of messages about the quota: [`encode`] and [`decode`]. Messages of processes with
//! other settings are rejected, since processes that divide the quota differently must not vote for
//! each other or grant each other leases.

use crate::message::Message;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reasons why received bytes are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are not a message about the quota.
    #[error("the bytes are not a message about the quota")]
    Malformed(#[source] postcard::Error),
    /// Further bytes follow the message.
    #[error("{0} bytes follow the message about the quota")]
    TrailingBytes(usize),
    /// The sender's founders, size, durations or clock skew differ from those of this process.
    #[error("the sender has other quota settings: founders, size, durations or clock skew")]
    SettingsMismatch,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    settings_digest: u64,
    message: T,
}

/// Encodes a message with the digest of the settings.
pub fn encode(settings: &Settings, message: &Message) -> Vec<u8> {
    let envelope = Envelope { settings_digest: settings.digest(), message };
    // Postcard cannot fail here: it encodes numbers, addresses and lists into memory.
    postcard::to_allocvec(&envelope).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
///
/// [`DecodeError`] if the bytes are not exactly one message of a process with equal settings.
pub fn decode(settings: &Settings, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (envelope, rest): (Envelope<Message>, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(DecodeError::Malformed)?;
    if !rest.is_empty() {
        return Err(DecodeError::TrailingBytes(rest.len()));
    }
    if envelope.settings_digest != settings.digest() {
        return Err(DecodeError::SettingsMismatch);
    }
    Ok(envelope.message)
}

#[cfg(test)]
mod tests;
