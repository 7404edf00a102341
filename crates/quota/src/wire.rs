//! Words about shares in bytes. What is said under other settings is not heard: two that divide differently must
//! neither vote for nor lease to each other.

use crate::message::Message;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why words are not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// They are none.
    #[error("no words about shares")]
    Spoilt,
    /// Founders, size or times there are others than here.
    #[error("other founders, size or times")]
    OtherSettings,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    settings: u64,
    message: T,
}

/// A message in bytes.
pub fn encode(settings: &Settings, message: &Message) -> Vec<u8> {
    let said = Envelope { settings: settings.digest(), message };
    // Numbers, addresses and lists have a form in postcard: nothing here fails.
    postcard::to_allocvec(&said).unwrap_or_default()
}

/// Reads one.
pub fn decode(settings: &Settings, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (said, rest): (Envelope<Message>, _) =
        postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Spoilt)?;
    match (rest, said.settings == settings.digest()) {
        ([], true) => Ok(said.message),
        ([], false) => Err(DecodeError::OtherSettings),
        _ => Err(DecodeError::Spoilt),
    }
}

#[cfg(test)]
mod tests;
