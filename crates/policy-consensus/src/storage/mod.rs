//! The persistent state of a voter: what it promised and accepted. It is on the disk before the
//! voter sends an answer that rests on it.
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

/// Where a voter keeps its state.
pub trait Storage: Send + 'static {
    /// Reads the state that was stored last, if there is any.
    ///
    /// # Errors
    ///
    /// What reading fails with.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Replaces the state as a whole. It is on the disk once this returns.
    ///
    /// # Errors
    ///
    /// What writing fails with; the state from before is still there then.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Sets a state that cannot be decoded aside, under a name that tells why.
    ///
    /// # Errors
    ///
    /// What moving it fails with.
    fn set_aside(&mut self, reason: DecodeError) -> io::Result<()>;
}

/// What was found when a voter loaded its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// There is none.
    Empty,
    /// The state that was stored last.
    Loaded(Box<DurableState>),
    /// Bytes that cannot be decoded, for this reason; they were set aside.
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
