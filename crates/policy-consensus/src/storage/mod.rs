//! What a founder has on its disk. What was not synced was not said.

mod file;
mod format;

pub use file::FileStorage;

use crate::DurableState;
use std::io;

/// A disk, as far as a founder uses one.
pub trait Storage: Send + 'static {
    /// What it has, if anything.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Has this instead, whole, once it returns; after an error it has what it had.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Puts what it has aside under a name that tells why.
    fn set_aside(&mut self, why: &str) -> io::Result<()>;
}

/// What was found on a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// Nothing.
    Nothing,
    /// What was synced last.
    Loaded(Box<DurableState>),
    /// Something that cannot be read, which was put aside; why.
    SetAside(&'static str),
}

/// Reads what a disk has.
pub(crate) fn load(disk: &mut dyn Storage, fleet: &str, seat: u8) -> io::Result<LoadOutcome> {
    let Some(bytes) = disk.read()? else { return Ok(LoadOutcome::Nothing) };
    match format::decode(&bytes, fleet, seat) {
        Ok(durable) => Ok(LoadOutcome::Loaded(Box::new(durable))),
        Err(why) => {
            disk.set_aside(why)?;
            Ok(LoadOutcome::SetAside(why))
        }
    }
}

/// Puts it on the disk.
pub(crate) fn save(disk: &mut dyn Storage, fleet: &str, seat: u8, durable: &DurableState) -> io::Result<()> {
    disk.replace(&format::encode(durable, fleet, seat))
}
