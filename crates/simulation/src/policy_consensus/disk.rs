//! The simulated disk of a host.

use super::plan::DiskSpace;
use super::shared::lock;
use pinetrail_policy_consensus::{DecodeError, Storage};
use std::io;
use std::sync::{Arc, Mutex};

/// A disk whose contents survive the crashes of its host. Clones share one disk.
#[derive(Clone)]
pub(super) struct SimulatedDisk {
    /// The stored bytes, and their lock.
    bytes: Arc<Mutex<Option<Vec<u8>>>>,
    /// Whether the disk has free space, and the lock of this state.
    space: Arc<Mutex<DiskSpace>>,
}

impl SimulatedDisk {
    /// Creates an empty disk with free space.
    pub(super) fn new() -> SimulatedDisk {
        SimulatedDisk { bytes: Arc::default(), space: Arc::new(Mutex::new(DiskSpace::Free)) }
    }

    /// Sets whether the disk has free space.
    pub(super) fn set_space(&self, space: DiskSpace) {
        *lock(&self.space) = space;
    }

    /// Erases what is stored.
    pub(super) fn erase(&self) {
        *lock(&self.bytes) = None;
    }
}

impl Storage for SimulatedDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(lock(&self.bytes).clone())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if *lock(&self.space) == DiskSpace::Full {
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
