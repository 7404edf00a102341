//! What a founder has on its disk. What was not synced was not said.

mod file;
mod format;

pub use file::Folder;

use crate::Durable;
use std::io;

/// A disk, as far as a founder uses one.
pub trait Disk: Send + 'static {
    /// What it has, if anything.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Has this instead, whole, once it returns; after an error it has what it had.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Puts what it has aside under a name that tells why.
    fn put_aside(&mut self, why: &str) -> io::Result<()>;
}

/// What was found on a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Loaded {
    /// Nothing.
    Nothing,
    /// What was synced last.
    Kept(Box<Durable>),
    /// Something that cannot be read, which was put aside; why.
    Aside(&'static str),
}

/// Reads what a disk has.
pub(crate) fn load(disk: &mut dyn Disk, fleet: &str, seat: u8) -> io::Result<Loaded> {
    let Some(bytes) = disk.read()? else { return Ok(Loaded::Nothing) };
    match format::open(&bytes, fleet, seat) {
        Ok(durable) => Ok(Loaded::Kept(Box::new(durable))),
        Err(why) => {
            disk.put_aside(why)?;
            Ok(Loaded::Aside(why))
        }
    }
}

/// Puts it on the disk.
pub(crate) fn keep(disk: &mut dyn Disk, fleet: &str, seat: u8, durable: &Durable) -> io::Result<()> {
    disk.replace(&format::seal(durable, fleet, seat))
}
