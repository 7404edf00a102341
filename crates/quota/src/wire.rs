//! [`encode`] and [`decode`]: messages about the quota as bytes. Messages under other settings are
//! rejected: two processes that divide the quota differently must not vote for each other or grant
//! each other leases.

use crate::message::Message;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why bytes are not accepted as a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// They are not a message.
    #[error("no message about the quota")]
    Malformed(#[source] postcard::Error),
    /// A message ends before the bytes do.
    #[error("{0} bytes after the message about the quota")]
    TrailingBytes(usize),
    /// The sender's founders, size or times are not this process's.
    #[error("other founders, size or times")]
    SettingsMismatch,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    settings_digest: u64,
    message: T,
}

/// Encodes a message.
pub fn encode(settings: &Settings, message: &Message) -> Vec<u8> {
    let envelope = Envelope { settings_digest: settings.digest(), message };
    // Postcard encodes numbers, addresses and lists without failure.
    postcard::to_allocvec(&envelope).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
///
/// [`DecodeError`] if the bytes are not one whole message of a process with equal settings.
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
