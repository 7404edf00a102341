//! The simulated disk of a host.

use super::lock;
use pinetrail_policy_consensus::{DecodeError, Storage};
use std::io;
use std::sync::{Arc, Mutex};

/// A disk that outlives the crashes of its host. Clones are the same disk.
#[derive(Clone, Default)]
pub(super) struct SimulatedDisk {
    /// Guards what is stored.
    bytes: Arc<Mutex<Option<Vec<u8>>>>,
    /// Guards whether it takes nothing more.
    is_full: Arc<Mutex<bool>>,
}

impl SimulatedDisk {
    /// From now on it takes nothing more, or does again.
    pub(super) fn set_full(&self, is_full: bool) {
        *lock(&self.is_full) = is_full;
    }

    /// Loses what is stored.
    pub(super) fn erase(&self) {
        *lock(&self.bytes) = None;
    }
}

impl Storage for SimulatedDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(lock(&self.bytes).clone())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if *lock(&self.is_full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        *lock(&self.bytes) = Some(bytes.to_vec());
        Ok(())
    }

    fn set_aside(&mut self, _reason: DecodeError) -> io::Result<()> {
        self.erase();
        Ok(())
    }
}
