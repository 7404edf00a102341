//! Stores the durable state of a voter: its promise and the state that it accepted. The state is on
//! the disk before the voter sends a reply that rests on it.
//!
//! Read [`Storage`] first; [`FileStorage`] keeps the state in a directory, `format` has its
//! encoding.

mod error;
mod file;
mod format;

pub use error::DecodeError;
pub use file::FileStorage;

use crate::{DurableState, VoterId};
use std::io;

/// The storage of a voter's state.
pub trait Storage: Send + 'static {
    /// Reads the state that was stored last. Returns `None` if no state was stored.
    ///
    /// # Errors
    ///
    /// The error of the read.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Replaces the complete state. The new state is on the disk when this function returns.
    ///
    /// # Errors
    ///
    /// The error of the write; the previous state is still in place then.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Renames a state file that cannot be decoded; the new name has the reason as a suffix.
    ///
    /// # Errors
    ///
    /// The error of the rename.
    fn set_aside(&mut self, reason: DecodeError) -> io::Result<()>;
}

/// The outcome of loading a voter's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// No state is stored.
    Empty,
    /// The state that was stored last was loaded.
    Loaded(Box<DurableState>),
    /// The state file cannot be decoded for this reason, and was set aside.
    SetAside(DecodeError),
}

/// Loads the state of a voter.
pub(crate) fn load(storage: &mut dyn Storage, cluster: &str, voter: VoterId) -> io::Result<LoadOutcome> {
    let Some(bytes) = storage.read()? else {
        return Ok(LoadOutcome::Empty);
    };
    match format::decode(&bytes, cluster, voter) {
        Ok(durable) => Ok(LoadOutcome::Loaded(Box::new(durable))),
        Err(reason) => {
            storage.set_aside(reason)?;
            Ok(LoadOutcome::SetAside(reason))
        }
    }
}

/// Stores the state of a voter.
pub(crate) fn save(
    storage: &mut dyn Storage,
    cluster: &str,
    voter: VoterId,
    durable: &DurableState,
) -> io::Result<()> {
    storage.replace(&format::encode(durable, cluster, voter))
}
