//! A folder of the file system as a founder's disk: written aside, synced, renamed, the folder synced too.

use super::Storage;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

const NAME: &str = "rulebook";
const ASIDE: &str = "rulebook.new";
const LOCK: &str = "rulebook.lock";
/// No file of a founder is longer.
const LONGEST: u64 = 64 << 20;

/// A folder, held by one process at a time.
#[derive(Debug)]
pub struct FileStorage {
    path: PathBuf,
    _lock: File,
}

impl FileStorage {
    /// Takes a folder, which is made if it is not there. [`ErrorKind::WouldBlock`] says that another process has it.
    pub fn take(path: PathBuf) -> io::Result<FileStorage> {
        fs::create_dir_all(&path)?;
        let lock = File::options().create(true).append(true).open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(FileStorage { path, _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(ErrorKind::WouldBlock.into()),
            Err(fs::TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Storage for FileStorage {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        match File::open(self.path.join(NAME)) {
            Ok(file) => {
                let mut bytes = Vec::new();
                file.take(LONGEST).read_to_end(&mut bytes)?;
                Ok(Some(bytes))
            }
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let aside = self.path.join(ASIDE);
        let mut file = File::create(&aside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        drop(file);
        // Danger: what a full disk has taken of it must not take the place of what was said.
        if fs::metadata(&aside)?.len() != bytes.len() as u64 {
            return Err(ErrorKind::WriteZero.into());
        }
        fs::rename(&aside, self.path.join(NAME))?;
        File::open(&self.path)?.sync_all()
    }

    fn set_aside(&mut self, why: &str) -> io::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        fs::rename(self.path.join(NAME), self.path.join(format!("{NAME}.{why}-{now}")))
    }
}

#[cfg(test)]
mod tests;
